package parser

import (
	"bytes"
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// The bounds below keep input from the parts of the YAML parser whose time or
// stack grows faster than the input. Trials with 1 MB files took 23 s for a
// single line and 17 s for a mapping of 90000 fields.
const (
	// maxLine is the longest line in bytes.
	maxLine = 4096
	// maxDepth is the deepest nesting in brackets or in "-" marks on one line.
	maxDepth = 16
	// maxIndent is the largest indentation in columns, which bounds the nesting of blocks.
	maxIndent = 64
	// maxFields is the largest number of fields in one block mapping.
	maxFields = 64
)

// refusedTokens are parts of YAML that make a file's meaning depend on more
// than the line that sets a field.
var refusedTokens = map[token.Type]string{
	token.AnchorType:     "an anchor",
	token.AliasType:      "an alias",
	token.MergeKeyType:   "a merge key",
	token.TagType:        "a tag",
	token.DirectiveType:  "a directive",
	token.MappingKeyType: "a complex key",
}

// checkLines refuses lines that are too long and reports whether all are short enough.
func (w *walker) checkLines(content []byte) bool {
	line := 0
	for text := range bytes.Lines(content) {
		line++
		if len(text) > maxLine {
			w.addAt(line, Problem{Text: fmt.Sprintf("the line has %d bytes", len(text)), Allowed: fmt.Sprintf("at most %d bytes", maxLine)})
			return false
		}
	}
	return true
}

// nesting follows the depth of tokens.
type nesting struct {
	// flow counts open brackets, marks the "-" marks on the line.
	flow, marks, line int
	// fields counts the fields of the open block mappings by column.
	fields [maxIndent + 1]int
}

// checkTokens refuses what must not reach the YAML parser.
func (w *walker) checkTokens(tokens token.Tokens) {
	var n nesting
	for _, tk := range tokens {
		line := tk.Position.Line
		if what := refusedTokens[tk.Type]; what != "" {
			w.addAt(line, Problem{Value: tk.Value, Text: what + " is not supported", Allowed: "plain fields and values"})
		}
		if text, allowed := n.add(tk); text != "" {
			w.addAt(line, Problem{Text: text, Allowed: allowed})
			return
		}
	}
}

// add follows one token and says what is too much about it.
func (n *nesting) add(tk *token.Token) (text, allowed string) {
	if tk.Position.Line != n.line {
		n.line, n.marks = tk.Position.Line, 0
		if n.flow == 0 && tk.Position.Column > maxIndent {
			return fmt.Sprintf("the line is indented by %d columns", tk.Position.Column-1), fmt.Sprintf("at most %d columns", maxIndent-1)
		}
		n.close(tk.Position.Column)
	}
	switch tk.Type {
	case token.SequenceStartType, token.MappingStartType:
		n.flow++
	case token.SequenceEndType, token.MappingEndType:
		n.flow--
	case token.SequenceEntryType:
		n.marks++
		n.close(tk.Position.Column)
	case token.MappingValueType:
		if n.tooManyFields(tk) {
			return "the mapping has too many fields", fmt.Sprintf("at most %d fields", maxFields)
		}
	}
	if n.flow > maxDepth || n.marks > maxDepth {
		return "the nesting is too deep", fmt.Sprintf("at most %d levels", maxDepth)
	}
	return "", ""
}

// close ends the block mappings whose fields are to the right of a column.
func (n *nesting) close(column int) {
	if column < maxIndent {
		clear(n.fields[max(column, 0)+1:])
	}
}

func (n *nesting) tooManyFields(tk *token.Token) bool {
	if n.flow > 0 || tk.Prev == nil || tk.Prev.Position.Column > maxIndent || tk.Prev.Position.Column < 0 {
		return false
	}
	column := tk.Prev.Position.Column
	n.fields[column]++
	return n.fields[column] > maxFields
}
