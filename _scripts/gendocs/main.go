// Command gendocs writes a usage page for each command.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"catkindyke/cmd/catkindyke/commander"
)

func main() {
	out := flag.String("out", "docs/cli", "directory for the pages")
	flag.Parse()
	if err := os.MkdirAll(*out, 0o755); err != nil {
		fail(err)
	}
	if err := writePages(*out, "", commander.New(io.Discard, io.Discard).Root()); err != nil {
		fail(err)
	}
}

func writePages(dir, parent string, cmd *ffcli.Command) error {
	name := strings.TrimSpace(parent + " " + cmd.Name)
	content := "# " + name + "\n\n```\n" + commander.Usage(cmd) + "```\n"
	file := filepath.Join(dir, strings.ReplaceAll(name, " ", "_")+".md")
	if err := os.WriteFile(file, []byte(content), 0o644); err != nil {
		return err
	}
	for _, sub := range cmd.Subcommands {
		if err := writePages(dir, name, sub); err != nil {
			return err
		}
	}
	return nil
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "gendocs:", err)
	os.Exit(1)
}
