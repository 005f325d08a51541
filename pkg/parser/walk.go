package parser

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// decoder decodes a YAML syntax tree into a configuration and collects problems.
type decoder struct {
	file     *File
	problems Problems
}

func (d *decoder) addProblemAt(line int, p Problem) {
	p.Position = Position{File: d.file.name, Line: line}
	d.problems = append(d.problems, p)
}

func (d *decoder) addProblem(n ast.Node, p Problem) { d.addProblemAt(lineOf(n), p) }

func (d *decoder) recordPosition(path string, n ast.Node) {
	d.file.positions[path] = Position{File: d.file.name, Line: lineOf(n)}
}

func lineOf(n ast.Node) int {
	if tk := n.GetToken(); tk != nil && tk.Position != nil {
		return tk.Position.Line
	}
	return 1
}

// decodeMessage decodes a mapping into a message.
func (d *decoder) decodeMessage(path string, n ast.Node, msg protoreflect.Message) {
	m, ok := n.(*ast.MappingNode)
	if !ok {
		d.addProblem(n, Problem{Path: path, Value: describeNode(n), Text: "not a mapping", Allowed: "fields " + strings.Join(fieldNames(msg.Descriptor()), ", ")})
		return
	}
	firstLine := make(map[string]int)
	for _, entry := range m.Values {
		key := keyName(entry.Key)
		fieldPath := joinPath(path, key)
		fd := msg.Descriptor().Fields().ByName(protoreflect.Name(key))
		switch {
		case fd == nil:
			names := fieldNames(msg.Descriptor())
			d.addProblem(entry.Key, Problem{Path: fieldPath, Text: "unknown field", Allowed: strings.Join(names, ", "), Suggestion: SuggestName(key, names)})
		case firstLine[key] > 0:
			d.addProblem(entry.Key, Problem{Path: fieldPath, Text: fmt.Sprintf("the field is already set on line %d", firstLine[key])})
		default:
			firstLine[key] = lineOf(entry.Key)
			d.recordPosition(fieldPath, entry.Key)
			d.decodeField(fieldPath, entry.Value, msg, fd)
		}
	}
}

// keyName returns the name of a field, quoted if it is not a plain name.
func keyName(key ast.MapKeyNode) string {
	name := key.GetToken().Value
	if !isPlainName(name) {
		return strconv.Quote(truncate(name))
	}
	return name
}

// isPlainName reports whether a name can appear in a path without quotes.
func isPlainName(name string) bool {
	return name != "" && len(name) <= maxShownBytes && !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r > '~' || r == '[' || r == ']' })
}

func fieldNames(md protoreflect.MessageDescriptor) []string {
	names := make([]string, md.Fields().Len())
	for i := range names {
		names[i] = string(md.Fields().Get(i).Name())
	}
	return names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (d *decoder) decodeField(path string, n ast.Node, msg protoreflect.Message, fd protoreflect.FieldDescriptor) {
	switch {
	case n == nil || n.Type() == ast.NullType:
		d.addProblemAt(d.file.positions[path].Line, Problem{Path: path, Text: "the field has no value", Allowed: AllowedOf(fd)})
	case fd.IsList():
		d.decodeList(path, n, msg, fd)
	case fd.Message() != nil:
		d.decodeMessage(path, n, msg.Mutable(fd).Message())
	default:
		if v, ok := d.decodeScalar(path, n, fd); ok {
			msg.Set(fd, v)
		}
	}
}

func (d *decoder) decodeList(path string, n ast.Node, msg protoreflect.Message, fd protoreflect.FieldDescriptor) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addProblem(n, Problem{Path: path, Value: describeNode(n), Text: "not a list", Allowed: "a list, each entry " + AllowedOf(fd)})
		return
	}
	firstLine := make(map[string]int)
	list := msg.Mutable(fd).List()
	for i, entry := range seq.Values {
		key := nodeEntryKey(entry, fd)
		entryPath := fmt.Sprintf("%s[%d]", path, i)
		switch {
		case firstLine[key] > 0:
			d.addProblem(entry, Problem{Path: path, Value: strconv.Quote(key), Text: fmt.Sprintf("the list already has this entry on line %d", firstLine[key])})
		case isPlainName(key):
			entryPath = path + "[" + key + "]"
			fallthrough
		case key != "":
			firstLine[key] = lineOf(entry)
		}
		d.recordPosition(entryPath, entry)
		d.checkKeyFields(entryPath, entry, fd)
		d.decodeElement(entryPath, entry, list, fd)
	}
}

// checkKeyFields records a problem for each key field that a list entry lacks.
func (d *decoder) checkKeyFields(path string, n ast.Node, fd protoreflect.FieldDescriptor) {
	m, ok := n.(*ast.MappingNode)
	if !ok || fd.Message() == nil {
		return
	}
	for _, field := range KeyFields(fd.Message()) {
		if !slices.ContainsFunc(m.Values, func(v *ast.MappingValueNode) bool { return keyName(v.Key) == string(field) }) {
			d.addProblem(n, Problem{Path: joinPath(path, string(field)), Text: "the field is missing", Allowed: FormatName.describe()})
		}
	}
}

func (d *decoder) decodeElement(path string, n ast.Node, list protoreflect.List, fd protoreflect.FieldDescriptor) {
	if fd.Message() != nil {
		d.decodeMessage(path, n, list.AppendMutable().Message())
		return
	}
	if v, ok := d.decodeScalar(path, n, fd); ok {
		list.Append(v)
	}
}

// nodeEntryKey returns the key of a list entry (see EntryKey), or "" if it has none.
func nodeEntryKey(n ast.Node, fd protoreflect.FieldDescriptor) string {
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

// KeyFields returns the names of the fields that identify a message in a list.
func KeyFields(md protoreflect.MessageDescriptor) []protoreflect.Name {
	if md.Fields().ByName("name") == nil {
		return []protoreflect.Name{"from", "to"}
	}
	return []protoreflect.Name{"name"}
}

// EntryKey returns the key that identifies a list entry: its name, "from>to" for
// a link, or the value itself for a scalar.
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
