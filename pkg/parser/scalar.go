package parser

import (
	"math"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// decodeScalar converts a value to the field's kind and checks it against the
// field's rule.
func (d *decoder) decodeScalar(path string, n ast.Node, fd protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	if fd.Kind() == protoreflect.StringKind {
		return d.decodeString(path, n, fd)
	}
	v, reason := numberOf(n)
	integer := fd.Kind() != protoreflect.DoubleKind
	rule := RuleOf(fd)
	switch {
	case reason != "":
	case integer && v != math.Trunc(v):
		reason = "not a whole number"
	case v < 0:
		reason = "the number is negative"
	case v < rule.Min || v > rule.Max:
		reason = "the number is out of range"
	}
	if reason != "" {
		d.addProblem(n, Problem{Path: path, Value: describeNode(n), Text: reason, Allowed: AllowedOf(fd)})
		return protoreflect.Value{}, false
	}
	switch fd.Kind() {
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(v)), true
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(uint64(v)), true
	default:
		return protoreflect.ValueOfFloat64(v), true
	}
}

// numberOf returns the number in a node, or the reason why it is not a valid
// number. All ranges end below 2^53, so that float64 represents every allowed
// whole number exactly.
func numberOf(n ast.Node) (float64, string) {
	switch n := n.(type) {
	case *ast.IntegerNode:
		switch v := n.Value.(type) {
		case int64:
			return float64(v), ""
		case uint64:
			return float64(v), ""
		}
	case *ast.FloatNode:
		if math.IsInf(n.Value, 0) || math.IsNaN(n.Value) {
			return 0, "the number is not finite"
		}
		return n.Value, ""
	case *ast.InfinityNode, *ast.NanNode:
		return 0, "the number is not finite"
	}
	return 0, "not a number"
}

func (d *decoder) decodeString(path string, n ast.Node, fd protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	s, ok := stringOf(n)
	format := RuleOf(fd).Format
	p := Problem{Path: path, Value: describeNode(n), Allowed: AllowedOf(fd)}
	switch {
	case !ok:
		p.Text = "not a string"
	case format.matches(s):
		return protoreflect.ValueOfString(s), true
	case format == FormatName:
		p.Text = "invalid name"
	case format == FormatAddress:
		p.Text = "invalid address"
	case format == FormatBlock:
		p.Text = "invalid address block"
	case format == FormatPath:
		p.Text = "invalid path"
	default:
		p.Text, p.Suggestion = "unknown method", SuggestName(strings.ToUpper(s), methods)
	}
	d.addProblem(n, p)
	return protoreflect.Value{}, false
}

// stringOf returns the string in a node and whether the node is a string. As in
// YAML, numbers and booleans are strings only when quoted.
func stringOf(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	}
	return "", false
}

// describeNode formats a value for a message.
func describeNode(n ast.Node) string {
	switch n := n.(type) {
	case nil:
		return ""
	case *ast.MappingNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode:
		return strconv.Quote(n.Value)
	case *ast.LiteralNode:
		return strconv.Quote(n.Value.Value)
	}
	return strings.TrimSpace(n.String())
}

// AllowedOf describes the values that a field, or each entry of a list, may have.
func AllowedOf(fd protoreflect.FieldDescriptor) string {
	rule := RuleOf(fd)
	switch {
	case fd.Message() != nil:
		return "fields " + strings.Join(fieldNames(fd.Message()), ", ")
	case fd.Kind() == protoreflect.StringKind:
		return rule.Format.describe()
	case fd.Kind() == protoreflect.DoubleKind:
		return "a number from " + rule.Range()
	default:
		return "a whole number from " + rule.Range()
	}
}
