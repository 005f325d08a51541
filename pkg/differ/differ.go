// Package differ compares two configurations.
package differ

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"catkindyke/pkg/parser"
	"catkindyke/pkg/schema"
)

// Kind is the kind of a change to a field or list entry.
type Kind string

// The kinds of changes.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Change is one difference. Old is empty for an addition, New for a removal.
type Change struct {
	Kind Kind
	Path string
	Old  string
	New  string
	// Important marks changes that callers notice: a change of a workspace's
	// rate and the removal of a workspace or backend server.
	Important bool
}

// String formats the change on one line.
func (c Change) String() string {
	marker := " "
	if c.Important {
		marker = "!"
	}
	switch c.Kind {
	case Added:
		return fmt.Sprintf("%s added   %s: %s", marker, c.Path, c.New)
	case Removed:
		return fmt.Sprintf("%s removed %s: %s", marker, c.Path, c.Old)
	default:
		return fmt.Sprintf("%s changed %s: %s -> %s", marker, c.Path, c.Old, c.New)
	}
}

// Diff returns the changes from one configuration to another: important ones
// first, then in the order of the schema's fields and of entry keys. The order
// of list entries is ignored.
func Diff(from, to *schema.Config) []Change {
	var d differ
	d.diffMessage("", from.ProtoReflect(), to.ProtoReflect())
	slices.SortStableFunc(d.changes, func(a, b Change) int {
		switch {
		case a.Important == b.Important:
			return 0
		case a.Important:
			return -1
		default:
			return 1
		}
	})
	return d.changes
}

// Summary returns the number of changes by kind and the first three changes.
func Summary(changes []Change) string {
	count := make(map[Kind]int)
	var shown []string
	for _, c := range changes {
		count[c.Kind]++
		if len(shown) < 3 {
			shown = append(shown, strings.TrimSpace(strings.TrimPrefix(c.String(), "!")))
		}
	}
	text := fmt.Sprintf("%d added, %d removed, %d changed", count[Added], count[Removed], count[Changed])
	if len(shown) > 0 {
		text += ": " + strings.Join(shown, "; ")
	}
	if len(changes) > len(shown) {
		text += "; ..."
	}
	return text
}

type differ struct {
	changes []Change
}

func (d *differ) addChange(c Change) {
	c.Important = isImportant(c)
	d.changes = append(d.changes, c)
}

func isImportant(c Change) bool {
	workspace := strings.HasPrefix(c.Path, "workspaces[")
	switch {
	case workspace:
		return c.Kind == Removed || strings.HasSuffix(c.Path, "].rate_per_s")
	case c.Kind != Removed:
		return false
	default:
		// Removing a service removes its backend servers.
		return strings.HasPrefix(c.Path, "services[") &&
			(strings.Contains(c.Path, "].backend_servers[") || strings.HasSuffix(c.Path, "]") && !strings.Contains(c.Path, "]."))
	}
}

func (d *differ) diffMessage(path string, from, to protoreflect.Message) {
	fields := from.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		fieldPath := strings.TrimPrefix(path+"."+string(fd.Name()), ".")
		a, b := from.Get(fd), to.Get(fd)
		switch {
		case fd.IsList():
			d.diffList(fieldPath, a.List(), b.List(), fd)
		case fd.Message() != nil:
			d.diffMessage(fieldPath, a.Message(), b.Message())
		case !a.Equal(b):
			d.addChange(scalarChange(fieldPath, fd, a, b, from.Has(fd), to.Has(fd)))
		}
	}
}

func scalarChange(path string, fd protoreflect.FieldDescriptor, a, b protoreflect.Value, inFrom, inTo bool) Change {
	switch {
	case !inFrom:
		return Change{Kind: Added, Path: path, New: formatValue(fd, b)}
	case !inTo:
		return Change{Kind: Removed, Path: path, Old: formatValue(fd, a)}
	default:
		return Change{Kind: Changed, Path: path, Old: formatValue(fd, a), New: formatValue(fd, b)}
	}
}

// diffList compares the entries that have the same key, in the order of keys.
func (d *differ) diffList(path string, from, to protoreflect.List, fd protoreflect.FieldDescriptor) {
	before, after := entriesByKey(from, fd), entriesByKey(to, fd)
	names := make([]string, 0, len(before)+len(after))
	for name := range before {
		names = append(names, name)
	}
	for name := range after {
		if _, ok := before[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		a, inFrom := before[name]
		b, inTo := after[name]
		entryPath := path + "[" + name + "]"
		switch {
		case !inFrom:
			d.addChange(Change{Kind: Added, Path: entryPath, New: formatValue(fd, b)})
		case !inTo:
			d.addChange(Change{Kind: Removed, Path: entryPath, Old: formatValue(fd, a)})
		case fd.Message() != nil:
			d.diffMessage(entryPath, a.Message(), b.Message())
		}
	}
}

func entriesByKey(list protoreflect.List, fd protoreflect.FieldDescriptor) map[string]protoreflect.Value {
	out := make(map[string]protoreflect.Value, list.Len())
	for i := range list.Len() {
		out[parser.EntryKey(fd, list.Get(i))] = list.Get(i)
	}
	return out
}

// formatValue formats a value on one line. A nested list of messages is shown as
// its number of entries.
func formatValue(fd protoreflect.FieldDescriptor, v protoreflect.Value) string {
	switch fd.Kind() {
	case protoreflect.MessageKind:
		return formatMessage(v.Message())
	case protoreflect.StringKind:
		return strconv.Quote(v.String())
	case protoreflect.DoubleKind:
		return strconv.FormatFloat(v.Float(), 'f', -1, 64)
	default:
		return fmt.Sprint(v.Interface())
	}
}

func formatMessage(msg protoreflect.Message) string {
	var parts []string
	fields := msg.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		switch {
		case !msg.Has(fd) || fd.Name() == "name":
		case fd.IsList() && fd.Message() != nil:
			parts = append(parts, fmt.Sprintf("%s: %d entries", fd.Name(), msg.Get(fd).List().Len()))
		case fd.IsList():
			var values []string
			for j := range msg.Get(fd).List().Len() {
				values = append(values, formatValue(fd, msg.Get(fd).List().Get(j)))
			}
			parts = append(parts, fmt.Sprintf("%s: [%s]", fd.Name(), strings.Join(values, ", ")))
		default:
			parts = append(parts, fmt.Sprintf("%s: %s", fd.Name(), formatValue(fd, msg.Get(fd))))
		}
	}
	return "{" + strings.Join(parts, ", ") + "}"
}
