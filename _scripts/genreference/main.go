// Command genreference writes docs/operations/reference.md, which describes every metric,
// log event and header in the code. It fails if a name lacks a description or a described
// name is not in the code.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
)

const descriptionsFile = "_scripts/genreference/descriptions.txt"

// kinds are the kinds of names, in the order of the page.
var kinds = []string{"metric", "event", "header"}

type key struct{ kind, name string }

func main() {
	out := flag.String("out", "docs/operations/reference.md", "file to write")
	flag.Parse()
	if err := run(*out); err != nil {
		fmt.Fprintln(os.Stderr, "genreference:", err)
		os.Exit(1)
	}
}

func run(out string) error {
	found, err := collectFromSources("pkg", "service")
	if err != nil {
		return err
	}
	descriptions, err := readDescriptions()
	if err != nil {
		return err
	}
	if err := checkDescriptions(found, descriptions); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(out), 0o755); err != nil {
		return err
	}
	return os.WriteFile(out, []byte(renderPage(found, descriptions)), 0o644)
}

// collectFromSources collects the names in all non-test source files.
func collectFromSources(roots ...string) (map[key]string, error) {
	found := make(map[key]string)
	for _, root := range roots {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			pkg := filepath.Dir(path)
			ast.Inspect(file, func(n ast.Node) bool {
				collectNames(n, pkg, found)
				return true
			})
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return found, nil
}

// collectNames finds names in Meter.Add("x", ...), Meter.Set("x", ...), .Msg("x") and
// constants whose names end in Header or Metric, and the events of pkg/leaser.
func collectNames(n ast.Node, pkg string, found map[key]string) {
	switch n := n.(type) {
	case *ast.CallExpr:
		sel, ok := n.Fun.(*ast.SelectorExpr)
		if !ok || len(n.Args) == 0 {
			return
		}
		name, dynamic := stringLiteral(n.Args[0])
		if name == "" {
			return
		}
		if dynamic {
			name += "*"
		}
		switch sel.Sel.Name {
		case "Msg":
			found[key{"event", name}] = pkg
		case "event", "note":
			// pkg/leaser logs and counts its events under the same name.
			found[key{"event", name}] = pkg
			found[key{"metric", name}] = pkg
		case "Add", "Set":
			if strings.Contains(strings.ToLower(receiverName(sel.X)), "meter") {
				found[key{"metric", name}] = pkg
			}
		}
	case *ast.ValueSpec:
		for i, id := range n.Names {
			if i >= len(n.Values) {
				continue
			}
			name, _ := stringLiteral(n.Values[i])
			switch {
			case name == "":
			case strings.HasSuffix(id.Name, "Header"):
				found[key{"header", name}] = pkg
			case strings.HasSuffix(id.Name, "Metric"):
				found[key{"metric", name + "*"}] = pkg
			}
		}
	case *ast.KeyValueExpr:
		// The default event of a ledger write is a field of a composite literal.
		if id, ok := n.Key.(*ast.Ident); ok && id.Name == "kind" && pkg == "pkg/leaser" {
			if name, _ := stringLiteral(n.Value); name != "" {
				found[key{"event", name}] = pkg
				found[key{"metric", name}] = pkg
			}
		}
	}
}

// stringLiteral returns a string literal, or the literal at the start of a concatenation.
func stringLiteral(e ast.Expr) (name string, dynamic bool) {
	switch e := e.(type) {
	case *ast.BasicLit:
		if e.Kind == token.STRING {
			s, _ := strconv.Unquote(e.Value)
			return s, false
		}
	case *ast.BinaryExpr:
		s, _ := stringLiteral(e.X)
		return s, true
	}
	return "", false
}

func receiverName(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return e.Sel.Name
	case *ast.CallExpr:
		return receiverName(e.Fun)
	}
	return ""
}

func readDescriptions() (map[key]string, error) {
	file, err := os.Open(descriptionsFile)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	descriptions := make(map[key]string)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.SplitN(lines.Text(), "\t", 3)
		if len(fields) != 3 {
			return nil, fmt.Errorf("%s: line %q is not kind, name and text separated by tabs", descriptionsFile, lines.Text())
		}
		descriptions[key{fields[0], fields[1]}] = fields[2]
	}
	return descriptions, lines.Err()
}

func checkDescriptions(found, descriptions map[key]string) error {
	var problems []string
	for k, pkg := range found {
		if descriptions[k] == "" {
			problems = append(problems, fmt.Sprintf("%s\t%s\tneeds a description (%s)", k.kind, k.name, pkg))
		}
	}
	for k := range descriptions {
		if _, ok := found[k]; !ok {
			problems = append(problems, fmt.Sprintf("%s\t%s\tis described but not in the code", k.kind, k.name))
		}
	}
	sort.Strings(problems)
	if len(problems) > 0 {
		return fmt.Errorf("%s and the code differ:\n%s", descriptionsFile, strings.Join(problems, "\n"))
	}
	return nil
}

func renderPage(found, descriptions map[key]string) string {
	var b strings.Builder
	b.WriteString("# Reference of metrics, log events and headers\n\nGenerated by `make docs` from the code. Metrics are on the operator listener under `/debug/vars`; each log event is one key=value line with `event=NAME`. A `*` stands for a variable part.\n")
	for _, kind := range kinds {
		fmt.Fprintf(&b, "\n## %ss\n\n| name | meaning | package |\n|---|---|---|\n", strings.ToUpper(kind[:1])+kind[1:])
		var names []string
		for k := range found {
			if k.kind == kind {
				names = append(names, k.name)
			}
		}
		sort.Strings(names)
		for _, name := range names {
			k := key{kind, name}
			fmt.Fprintf(&b, "| `%s` | %s | `%s` |\n", name, descriptions[k], found[k])
		}
	}
	return b.String()
}
