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
	// maxLineBytes is the longest line in bytes.
	maxLineBytes = 4096
	// maxNesting is the deepest nesting in brackets or in "-" marks on one line.
	maxNesting = 16
	// maxStartColumn is the largest indentation in columns, which bounds the nesting of blocks.
	maxStartColumn = 64
	// maxMappingFields is the largest number of fields in one block mapping.
	maxMappingFields = 64
)

// unsupportedTokens are parts of YAML that make a file's meaning depend on more
// than the line that sets a field.
var unsupportedTokens = map[token.Type]string{
	token.AnchorType:     "an anchor",
	token.AliasType:      "an alias",
	token.MergeKeyType:   "a merge key",
	token.TagType:        "a tag",
	token.DirectiveType:  "a directive",
	token.MappingKeyType: "a complex key",
}

// checkLineLengths refuses lines that are too long and reports whether all are short enough.
func (d *decoder) checkLineLengths(content []byte) bool {
	line := 0
	for lineBytes := range bytes.Lines(content) {
		line++
		if len(lineBytes) > maxLineBytes {
			d.addProblemAt(line, Problem{Text: fmt.Sprintf("the line has %d bytes", len(lineBytes)), Allowed: fmt.Sprintf("at most %d bytes", maxLineBytes)})
			return false
		}
	}
	return true
}

// nestingLimiter follows the depth of tokens.
type nestingLimiter struct {
	// openBrackets counts open brackets, dashesOnLine the "-" dashesOnLine on the line.
	openBrackets, dashesOnLine, line int
	// fieldsByColumn counts the fieldsByColumn of the open block mappings by column.
	fieldsByColumn [maxStartColumn + 1]int
}

// checkTokens refuses what must not reach the YAML parser.
func (d *decoder) checkTokens(tokens token.Tokens) {
	var n nestingLimiter
	for _, tk := range tokens {
		line := tk.Position.Line
		if construct := unsupportedTokens[tk.Type]; construct != "" {
			d.addProblemAt(line, Problem{Value: tk.Value, Text: construct + " is not supported", Allowed: "plain fields and values"})
		}
		if text, allowed := n.addToken(tk); text != "" {
			d.addProblemAt(line, Problem{Text: text, Allowed: allowed})
			return
		}
	}
}

// addToken follows one token and says what is too much about it.
func (n *nestingLimiter) addToken(tk *token.Token) (text, allowed string) {
	if tk.Position.Line != n.line {
		n.line, n.dashesOnLine = tk.Position.Line, 0
		if n.openBrackets == 0 && tk.Position.Column > maxStartColumn {
			return fmt.Sprintf("the line is indented by %d columns", tk.Position.Column-1), fmt.Sprintf("at most %d columns", maxStartColumn-1)
		}
		n.close(tk.Position.Column)
	}
	switch tk.Type {
	case token.SequenceStartType, token.MappingStartType:
		n.openBrackets++
	case token.SequenceEndType, token.MappingEndType:
		n.openBrackets--
	case token.SequenceEntryType:
		n.dashesOnLine++
		n.close(tk.Position.Column)
	case token.MappingValueType:
		if n.tooManyFields(tk) {
			return "the mapping has too many fields", fmt.Sprintf("at most %d fields", maxMappingFields)
		}
	}
	if n.openBrackets > maxNesting || n.dashesOnLine > maxNesting {
		return "the nesting is too deep", fmt.Sprintf("at most %d levels", maxNesting)
	}
	return "", ""
}

// close ends the block mappings whose fields are to the right of a column.
func (n *nestingLimiter) close(column int) {
	if column < maxStartColumn {
		clear(n.fieldsByColumn[max(column, 0)+1:])
	}
}

func (n *nestingLimiter) tooManyFields(tk *token.Token) bool {
	if n.openBrackets > 0 || tk.Prev == nil || tk.Prev.Position.Column > maxStartColumn || tk.Prev.Position.Column < 0 {
		return false
	}
	column := tk.Prev.Position.Column
	n.fieldsByColumn[column]++
	return n.fieldsByColumn[column] > maxMappingFields
}
