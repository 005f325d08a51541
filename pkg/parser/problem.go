package parser

import (
	"cmp"
	"slices"
	"strings"
)

// Problem is one error in a file. It is printed as
// "FILE:LINE: PATH: got VALUE: TEXT; allowed: ALLOWED; did you mean SUGGESTION?".
type Problem struct {
	Position Position
	// Path is the field's path, empty if the problem concerns the whole file.
	Path string
	// Value is the rejected value, empty if the field is missing.
	Value   string
	Text    string
	Allowed string
	// Suggestion is the known name closest to the rejected one, if any is close.
	Suggestion string
}

// Error formats the problem on one line.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.Position.String())
	b.WriteString(": ")
	if p.Path != "" {
		b.WriteString(p.Path + ": ")
	}
	if p.Value != "" {
		b.WriteString("got " + truncate(p.Value) + ": ")
	}
	b.WriteString(p.Text)
	if p.Allowed != "" {
		b.WriteString("; allowed: " + p.Allowed)
	}
	if p.Suggestion != "" {
		b.WriteString("; did you mean " + p.Suggestion + "?")
	}
	return b.String()
}

// maxShownBytes limits the part of a value that appears in a message.
const maxShownBytes = 80

func truncate(v string) string {
	if len(v) <= maxShownBytes {
		return v
	}
	return strings.ToValidUTF8(v[:maxShownBytes], "") + "..."
}

// Problems is the error returned for one or more problems.
type Problems []Problem

// Error formats the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems sorted by file and line, or nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Position.File, b.Position.File),
			cmp.Compare(a.Position.Line, b.Position.Line), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Text, b.Text))
	})
	return ps
}

// SuggestName returns the known name with the smallest edit distance to name,
// or "" if every distance exceeds half the length of name.
func SuggestName(name string, known []string) string {
	best, bestDistance := "", max(len(name)/2, 1)+1
	for _, k := range known {
		if len(name) > maxShownBytes {
			break
		}
		if d := editDistance(name, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = 1 + min(diagonal, row[j], row[j+1])
			}
			diagonal, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}
