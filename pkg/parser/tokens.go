package parser

import (
	"bytes"
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// These limits protect the YAML parser, whose run time and stack depth can grow
// faster than its input: a 1 MB file took 23 s when it was a single line and
// 17 s when it was a mapping of 90000 fields.
const (
	// maxLineBytes includes the line's newline.
	maxLineBytes = 4096
	// maxNesting limits the open brackets and the "-" list markers on one line.
	maxNesting = 16
	// maxStartColumn is the last column, counted from 1, in which a line outside
	// brackets may start. It also limits the nesting of blocks.
	maxStartColumn = 64
	// maxMappingFields limits the fields of one block mapping.
	maxMappingFields = 64
)

// unsupportedTokens are YAML features with which the value of a field depends on
// more than the line that sets it.
var unsupportedTokens = map[token.Type]string{
	token.AnchorType:     "an anchor",
	token.AliasType:      "an alias",
	token.MergeKeyType:   "a merge key",
	token.TagType:        "a tag",
	token.DirectiveType:  "a directive",
	token.MappingKeyType: "a complex key",
}

// checkLineLengths reports whether every line is short enough, and records a
// problem for the first that is not.
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

// nestingLimiter checks the nesting of tokens and the size of block mappings.
type nestingLimiter struct {
	// dashesOnLine counts the "-" list markers on the current line.
	openBrackets, dashesOnLine, line int
	// fieldsByColumn counts the fields of each open block mapping, by its column.
	fieldsByColumn [maxStartColumn + 1]int
}

// checkTokens records a problem for each unsupported token and for the first
// limit that is exceeded.
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

// addToken counts a token. If it exceeds a limit, addToken returns the problem
// and what is allowed.
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

// close resets the counts of block mappings to the right of a column.
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
