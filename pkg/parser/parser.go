// Package parser parses YAML base files and overlays. It walks the syntax tree
// against the schema, so that each error names the file, line and field.
package parser

import (
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	yamlparser "github.com/goccy/go-yaml/parser"

	"catkindyke/pkg/schema"
)

// MaxFileBytes limits the size of a file. A merged configuration must fit into
// one value of the store, which holds 1 MB.
const MaxFileBytes = 1 << 20

// Position is a file and a line. The zero Position stands for a default value.
type Position struct {
	File string
	Line int
}

// String formats the position as file:line.
func (p Position) String() string {
	if p.File == "" {
		return "default"
	}
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}

// File is a parsed base file or overlay.
type File struct {
	name      string
	cfg       *schema.Config
	positions map[string]Position
}

// Name returns the file name passed to ParseFile.
func (f *File) Name() string { return f.name }

// Config returns the parsed content. Fields that the file does not set are empty.
func (f *File) Config() *schema.Config { return f.cfg }

// Positions returns the position of each field, by path. The map must not be modified.
func (f *File) Positions() map[string]Position { return f.positions }

// Position returns the position of a field, or of the nearest enclosing field
// if the file does not set it. Paths contain the keys of list entries, as in
// services[dispatch].slots.
func (f *File) Position(path string) Position {
	return NearestPosition(f.positions, path, Position{File: f.name, Line: 1})
}

// NearestPosition returns the position of a path or of the nearest enclosing
// path, or fallback if positions has neither.
func NearestPosition(positions map[string]Position, path string, fallback Position) Position {
	for path != "" {
		if p, ok := positions[path]; ok {
			return p
		}
		path = ParentPath(path)
	}
	return fallback
}

// ParentPath returns the path that encloses a path.
func ParentPath(path string) string {
	if strings.HasSuffix(path, "]") {
		return path[:strings.LastIndexByte(path, '[')]
	}
	// Keys in brackets contain no dot, except address blocks, which always end
	// the path.
	return path[:max(strings.LastIndexByte(path, '.'), 0)]
}

// Parse parses the content of one file. The name appears in errors.
func Parse(name string, content []byte) (*schema.Config, error) {
	f, err := ParseFile(name, content)
	if err != nil {
		return nil, err
	}
	return f.cfg, nil
}

// ParseFile parses the content of one file and records the position of each
// field. The error is of type Problems and lists every problem of the file.
func ParseFile(name string, content []byte) (*File, error) {
	d := &decoder{file: &File{name: name, cfg: &schema.Config{}, positions: map[string]Position{}}}
	d.parseContent(content)
	if err := d.problems.Err(); err != nil {
		return nil, err
	}
	return d.file, nil
}

func (d *decoder) parseContent(content []byte) {
	if len(content) > MaxFileBytes {
		d.addProblemAt(1, Problem{Text: fmt.Sprintf("the file has %d bytes", len(content)), Allowed: fmt.Sprintf("at most %d bytes", MaxFileBytes)})
		return
	}
	if !utf8.Valid(content) {
		d.addProblemAt(1, Problem{Text: "the file is not UTF-8"})
		return
	}
	if !d.checkLineLengths(content) {
		return
	}
	tokens := lexer.Tokenize(string(content))
	if d.checkTokens(tokens); len(d.problems) > 0 {
		return
	}
	tree, err := yamlparser.Parse(tokens, 0, yamlparser.AllowDuplicateMapKey())
	if err != nil {
		d.addSyntaxError(err)
		return
	}
	docs := make([]*ast.DocumentNode, 0, 1)
	for _, doc := range tree.Docs {
		if doc.Body != nil {
			docs = append(docs, doc)
		}
	}
	if len(docs) != 1 {
		d.addProblemAt(1, Problem{Text: fmt.Sprintf("the file holds %d documents", len(docs)), Allowed: "one document"})
		return
	}
	d.decodeMessage("", docs[0].Body, d.file.cfg.ProtoReflect())
}

func (d *decoder) addSyntaxError(err error) {
	line, text := 1, err.Error()
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		text = syntax.GetMessage()
		if tk := syntax.GetToken(); tk != nil {
			line = tk.Position.Line
		}
	}
	d.addProblemAt(line, Problem{Text: "invalid YAML: " + text})
}
