package parser

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// walker fills a configuration from a syntax tree.
type walker struct {
	file     *File
	problems Problems
}

func (w *walker) addAt(line int, p Problem) {
	p.Position = Position{File: w.file.name, Line: line}
	w.problems = append(w.problems, p)
}

func (w *walker) add(n ast.Node, p Problem) { w.addAt(lineOf(n), p) }

func (w *walker) note(path string, n ast.Node) {
	w.file.positions[path] = Position{File: w.file.name, Line: lineOf(n)}
}

func lineOf(n ast.Node) int {
	if tk := n.GetToken(); tk != nil && tk.Position != nil {
		return tk.Position.Line
	}
	return 1
}

// message fills a message from a mapping.
func (w *walker) message(path string, n ast.Node, msg protoreflect.Message) {
	m, ok := n.(*ast.MappingNode)
	if !ok {
		w.add(n, Problem{Path: path, Value: valueOf(n), Text: "not a mapping", Allowed: "fields " + strings.Join(fieldNames(msg.Descriptor()), ", ")})
		return
	}
	seen := make(map[string]int)
	for _, entry := range m.Values {
		key := keyName(entry.Key)
		at := join(path, key)
		fd := msg.Descriptor().Fields().ByName(protoreflect.Name(key))
		switch {
		case fd == nil:
			names := fieldNames(msg.Descriptor())
			w.add(entry.Key, Problem{Path: at, Text: "unknown field", Allowed: strings.Join(names, ", "), Suggestion: SuggestName(key, names)})
		case seen[key] > 0:
			w.add(entry.Key, Problem{Path: at, Text: fmt.Sprintf("the field is already set on line %d", seen[key])})
		default:
			seen[key] = lineOf(entry.Key)
			w.note(at, entry.Key)
			w.field(at, entry.Value, msg, fd)
		}
	}
}

// keyName returns the name of a field as a message can show it.
func keyName(key ast.MapKeyNode) string {
	name := key.GetToken().Value
	if !printable(name) {
		return strconv.Quote(shorten(name))
	}
	return name
}

// printable reports whether a name can stand in a path without quotes.
func printable(name string) bool {
	return name != "" && len(name) <= maxValue && !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r > '~' || r == '[' || r == ']' })
}

func fieldNames(md protoreflect.MessageDescriptor) []string {
	names := make([]string, md.Fields().Len())
	for i := range names {
		names[i] = string(md.Fields().Get(i).Name())
	}
	return names
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (w *walker) field(path string, n ast.Node, msg protoreflect.Message, fd protoreflect.FieldDescriptor) {
	switch {
	case n == nil || n.Type() == ast.NullType:
		w.addAt(w.file.positions[path].Line, Problem{Path: path, Text: "the field has no value", Allowed: AllowedOf(fd)})
	case fd.IsList():
		w.list(path, n, msg, fd)
	case fd.Message() != nil:
		w.message(path, n, msg.Mutable(fd).Message())
	default:
		if v, ok := w.scalar(path, n, fd); ok {
			msg.Set(fd, v)
		}
	}
}

func (w *walker) list(path string, n ast.Node, msg protoreflect.Message, fd protoreflect.FieldDescriptor) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		w.add(n, Problem{Path: path, Value: valueOf(n), Text: "not a list", Allowed: "a list, each entry " + AllowedOf(fd)})
		return
	}
	seen := make(map[string]int)
	list := msg.Mutable(fd).List()
	for i, entry := range seq.Values {
		key := entryKey(entry, fd)
		at := fmt.Sprintf("%s[%d]", path, i)
		switch {
		case seen[key] > 0:
			w.add(entry, Problem{Path: path, Value: strconv.Quote(key), Text: fmt.Sprintf("the list already has this entry on line %d", seen[key])})
		case printable(key):
			at = path + "[" + key + "]"
			fallthrough
		case key != "":
			seen[key] = lineOf(entry)
		}
		w.note(at, entry)
		w.requireKeys(at, entry, fd)
		w.element(at, entry, list, fd)
	}
}

// requireKeys refuses an entry without the fields that identify it.
func (w *walker) requireKeys(path string, n ast.Node, fd protoreflect.FieldDescriptor) {
	m, ok := n.(*ast.MappingNode)
	if !ok || fd.Message() == nil {
		return
	}
	for _, field := range KeyFields(fd.Message()) {
		if !slices.ContainsFunc(m.Values, func(v *ast.MappingValueNode) bool { return keyName(v.Key) == string(field) }) {
			w.add(n, Problem{Path: join(path, string(field)), Text: "the field is missing", Allowed: FormatName.describe()})
		}
	}
}

func (w *walker) element(path string, n ast.Node, list protoreflect.List, fd protoreflect.FieldDescriptor) {
	if fd.Message() != nil {
		w.message(path, n, list.AppendMutable().Message())
		return
	}
	if v, ok := w.scalar(path, n, fd); ok {
		list.Append(v)
	}
}

// entryKey returns the name that identifies a list entry, or nothing when it has none.
func entryKey(n ast.Node, fd protoreflect.FieldDescriptor) string {
	if fd.Message() == nil {
		s, _ := stringOf(n)
		return s
	}
	m, ok := n.(*ast.MappingNode)
	if !ok {
		return ""
	}
	var parts []string
	for _, field := range KeyFields(fd.Message()) {
		for _, entry := range m.Values {
			if s, ok := stringOf(entry.Value); ok && keyName(entry.Key) == string(field) && s != "" {
				parts = append(parts, s)
				break
			}
		}
	}
	if len(parts) != len(KeyFields(fd.Message())) {
		return ""
	}
	return strings.Join(parts, ">")
}

// KeyFields returns the fields that identify a message in a list.
func KeyFields(md protoreflect.MessageDescriptor) []protoreflect.Name {
	if md.Fields().ByName("name") == nil {
		return []protoreflect.Name{"from", "to"}
	}
	return []protoreflect.Name{"name"}
}

// EntryKey returns what identifies a list entry: its name, "from>to" for links, or
// the value itself.
func EntryKey(fd protoreflect.FieldDescriptor, v protoreflect.Value) string {
	if fd.Message() == nil {
		return v.String()
	}
	var parts []string
	for _, name := range KeyFields(fd.Message()) {
		parts = append(parts, v.Message().Get(fd.Message().Fields().ByName(name)).String())
	}
	return strings.Join(parts, ">")
}
