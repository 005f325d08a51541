package merger

import (
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"catkindyke/pkg/parser"
)

// formatValue formats a scalar as YAML.
func formatValue(fd protoreflect.FieldDescriptor, v protoreflect.Value) string {
	switch fd.Kind() {
	case protoreflect.StringKind:
		return strconv.Quote(v.String())
	case protoreflect.DoubleKind:
		return strconv.FormatFloat(v.Float(), 'f', -1, 64)
	default:
		return strconv.FormatUint(v.Uint(), 10)
	}
}

// YAML formats the merged configuration as a base file. Fields that the base does
// not set have a comment that names their origin.
func (m *Result) YAML() string {
	var b strings.Builder
	m.writeMessage(&b, "", "", m.cfg.ProtoReflect())
	return b.String()
}

// writeMessage writes the fields that are set in a message, indented by indent.
func (m *Result) writeMessage(b *strings.Builder, path, indent string, msg protoreflect.Message) {
	fields := msg.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		if !msg.Has(fd) {
			continue
		}
		fieldPath := joinPath(path, fd)
		fmt.Fprintf(b, "%s%s:", indent, fd.Name())
		switch {
		case fd.IsList():
			b.WriteString("\n")
			m.writeList(b, fieldPath, indent+"  ", msg.Get(fd).List(), fd)
		case fd.Message() != nil:
			b.WriteString("\n")
			m.writeMessage(b, fieldPath, indent+"  ", msg.Get(fd).Message())
		default:
			fmt.Fprintf(b, " %s%s\n", formatValue(fd, msg.Get(fd)), m.originComment(fieldPath, fd))
		}
	}
}

func (m *Result) writeList(b *strings.Builder, path, indent string, list protoreflect.List, fd protoreflect.FieldDescriptor) {
	for i := range list.Len() {
		v := list.Get(i)
		entryPath := path + "[" + parser.EntryKey(fd, v) + "]"
		if fd.Message() == nil {
			fmt.Fprintf(b, "%s- %s%s\n", indent, formatValue(fd, v), m.originComment(entryPath, fd))
			continue
		}
		var entry strings.Builder
		m.writeMessage(&entry, entryPath, indent+"  ", v.Message())
		b.WriteString(indent + "- " + strings.TrimPrefix(entry.String(), indent+"  "))
	}
}

// originComment returns the comment with a field's origin, "" for fields of the base.
func (m *Result) originComment(path string, fd protoreflect.FieldDescriptor) string {
	p := m.Position(path)
	if p.File == m.baseName {
		return ""
	}
	if baseOrigin, ok := m.overriddenBase[path]; ok {
		return fmt.Sprintf(" # %s; was %s at %s", p, formatValue(fd, baseOrigin.value), baseOrigin.position)
	}
	return " # " + p.String()
}
