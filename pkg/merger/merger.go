// Package merger merges a base file with the overlays of sites. The result does
// not depend on the order of the overlays.
package merger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"catkindyke/pkg/parser"
	"catkindyke/pkg/schema"
)

// Result is a merged configuration with the origin of each field.
type Result struct {
	cfg       *schema.Config
	baseName  string
	positions map[string]parser.Position
	// overriddenBase holds the base values that an overlay replaced, by path.
	overriddenBase map[string]origin
	// overlayValues holds the values set by overlays, by path, to detect conflicts.
	overlayValues map[string]origin
	problems      parser.Problems
}

// origin is a value and the position that set it.
type origin struct {
	position parser.Position
	value    protoreflect.Value
}

// Config returns the merged configuration including defaults.
func (m *Result) Config() *schema.Config { return m.cfg }

// Position returns the position that set a field or its nearest enclosing field.
func (m *Result) Position(path string) parser.Position {
	return parser.NearestPosition(m.positions, path, parser.Position{File: m.baseName, Line: 1})
}

// Merge applies overlays to a base file and fills in defaults. The error is of
// type parser.Problems.
func Merge(base *parser.File, overlays ...*parser.File) (*Result, error) {
	m := &Result{
		cfg: proto.Clone(base.Config()).(*schema.Config), baseName: base.Name(),
		positions:      maps.Clone(base.Positions()),
		overriddenBase: make(map[string]origin), overlayValues: make(map[string]origin),
	}
	overlays = slices.Clone(overlays)
	slices.SortStableFunc(overlays, func(a, b *parser.File) int {
		return cmp.Or(cmp.Compare(siteOf(a).GetName(), siteOf(b).GetName()), cmp.Compare(a.Name(), b.Name()))
	})
	m.checkOverlays(base, overlays)
	if err := m.problems.Err(); err != nil {
		return nil, err
	}
	for _, o := range overlays {
		m.mergeMessage("", m.cfg.ProtoReflect(), o.Config().ProtoReflect(), o)
	}
	if err := m.problems.Err(); err != nil {
		return nil, err
	}
	if m.cfg.Settings == nil {
		m.cfg.Settings = &schema.Settings{}
	}
	m.fillDefaults("", m.cfg.ProtoReflect())
	return m, nil
}

// mergeMessage copies the fields that an overlay sets from src to dst.
func (m *Result) mergeMessage(path string, dst, src protoreflect.Message, o *parser.File) {
	fields := src.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		if !src.Has(fd) {
			continue
		}
		fieldPath := joinPath(path, fd)
		switch {
		case fd.IsList():
			m.mergeList(fieldPath, dst.Mutable(fd).List(), src.Get(fd).List(), fd, o)
		case fd.Message() != nil:
			m.mergeMessage(fieldPath, dst.Mutable(fd).Message(), src.Get(fd).Message(), o)
		default:
			m.mergeScalar(fieldPath, dst, src.Get(fd), fd, o)
		}
	}
}

func joinPath(path string, fd protoreflect.FieldDescriptor) string {
	if path == "" {
		return string(fd.Name())
	}
	return path + "." + string(fd.Name())
}

func (m *Result) mergeScalar(path string, dst protoreflect.Message, v protoreflect.Value, fd protoreflect.FieldDescriptor, o *parser.File) {
	current := origin{position: o.Position(path), value: v}
	if earlier, ok := m.overlayValues[path]; ok {
		if !earlier.value.Equal(v) {
			m.problems = append(m.problems, parser.Problem{
				Position: current.position, Path: path, Value: formatValue(fd, v),
				Text: fmt.Sprintf("another overlay sets %s at %s", formatValue(fd, earlier.value), earlier.position),
			})
		}
		return
	}
	if dst.Has(fd) && dst.Get(fd).Equal(v) {
		// An overlay may repeat the base value. That still conflicts with another
		// overlay that sets a different value. Every overlay repeats key fields.
		if !isKeyField(fd) {
			m.overlayValues[path] = current
		}
		return
	}
	if dst.Has(fd) {
		m.overriddenBase[path] = origin{position: m.positions[path], value: dst.Get(fd)}
	}
	dst.Set(fd, v)
	m.positions[path], m.overlayValues[path] = current.position, current
}

func isKeyField(fd protoreflect.FieldDescriptor) bool {
	return slices.Contains(parser.KeyFields(fd.ContainingMessage()), fd.Name())
}

// mergeList merges the entries that both lists have and appends the others from
// src to dst.
func (m *Result) mergeList(path string, dst, src protoreflect.List, fd protoreflect.FieldDescriptor, o *parser.File) {
	indexByKey := make(map[string]int)
	for i := range dst.Len() {
		indexByKey[parser.EntryKey(fd, dst.Get(i))] = i
	}
	for i := range src.Len() {
		v := src.Get(i)
		key := parser.EntryKey(fd, v)
		entryPath := path + "[" + key + "]"
		index, ok := indexByKey[key]
		if !ok {
			m.positions[entryPath] = o.Position(entryPath)
			index, indexByKey[key] = dst.Len(), dst.Len()
			if fd.Message() == nil {
				dst.Append(v)
			} else {
				dst.AppendMutable()
			}
		}
		if fd.Message() != nil {
			m.mergeMessage(entryPath, dst.Get(index).Message(), v.Message(), o)
		}
	}
}

// fillDefaults sets the unset fields that have a default.
func (m *Result) fillDefaults(path string, msg protoreflect.Message) {
	fields := msg.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		fieldPath := joinPath(path, fd)
		switch {
		case fd.IsList() && fd.Message() != nil:
			list := msg.Get(fd).List()
			for j := range list.Len() {
				m.fillDefaults(fieldPath+"["+parser.EntryKey(fd, list.Get(j))+"]", list.Get(j).Message())
			}
		case fd.IsList():
		case fd.Message() != nil:
			m.fillDefaults(fieldPath, msg.Mutable(fd).Message())
		case !msg.Has(fd):
			if v, ok := parser.DefaultOf(fd); ok {
				msg.Set(fd, v)
				m.positions[fieldPath] = parser.Position{}
			}
		}
	}
}
