package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/checker"
	"catkindyke/pkg/differ"
	"catkindyke/pkg/merger"
	"catkindyke/pkg/parser"
	"catkindyke/pkg/publisher"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
)

func (c *Commander) checkCommand() *ffcli.Command {
	fs := flag.NewFlagSet("check", flag.ContinueOnError)
	printMerged := fs.Bool("print", false, "print the merged configuration as YAML, with the origin of each field that is not from the base")
	return c.buildCommand(ffcli.Command{
		Name: "check", ShortUsage: "catkindyke check [flags] BASE [OVERLAY...]",
		ShortHelp: "Checks a base file and overlays without a store.", FlagSet: fs,
		LongHelp: "Warnings and errors are printed to the standard error output. docs/configuration.md lists all fields and checks.",
		Exec: func(_ context.Context, args []string) error {
			merged, err := c.loadConfig(args)
			if err != nil {
				return err
			}
			if *printMerged {
				fmt.Fprint(c.stdout, merged.YAML())
			}
			return nil
		},
	})
}

func (c *Commander) diffCommand() *ffcli.Command {
	fs := flag.NewFlagSet("diff", flag.ContinueOnError)
	store := storeFlag(fs)
	return c.buildCommand(ffcli.Command{
		Name: "diff", ShortUsage: "catkindyke diff [flags] BASE [OVERLAY...]",
		ShortHelp: "Shows what an apply would change in the configuration in force.", FlagSet: fs,
		LongHelp: "Changes of a workspace's rate and removals of workspaces and backend servers are marked with ! and listed first.",
		Exec: func(ctx context.Context, args []string) error {
			merged, err := c.loadConfig(args)
			if err != nil {
				return err
			}
			head, current, err := readConfig(ctx, publisher.New(newStore(*store)))
			if err != nil {
				return err
			}
			c.printChanges(head.GetVersion(), differ.Diff(current, merged.Config()))
			return nil
		},
	})
}

func (c *Commander) printChanges(version uint64, changes []differ.Change) {
	if len(changes) == 0 {
		fmt.Fprintf(c.stdout, "no change against version %d\n", version)
		return
	}
	fmt.Fprintf(c.stdout, "%d changes against version %d\n", len(changes), version)
	for _, change := range changes {
		fmt.Fprintln(c.stdout, change)
	}
}

// storeFlag adds the flag for the URL of the object API.
func storeFlag(fs *flag.FlagSet) *string {
	return fs.String("store", "http://127.0.0.1:7000", "URL of the platform's object API")
}

func newStore(url string) *storeclient.Client {
	return storeclient.New(storeclient.Config{BaseURL: url})
}

func encodeConfig(cfg *schema.Config) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(cfg)
}

// readConfig returns the configuration in the store and its head.
func readConfig(ctx context.Context, p *publisher.Publisher) (*schema.Head, *schema.Config, error) {
	head, content, err := p.Read(ctx, replicator.KindConfig)
	if err != nil {
		return nil, nil, err
	}
	cfg := &schema.Config{}
	if err := proto.Unmarshal(content, cfg); err != nil {
		return nil, nil, fmt.Errorf("%w: config version %d: %v", replicator.ErrCorrupt, head.GetVersion(), err)
	}
	return head, cfg, nil
}

// errConfig is returned when configuration files were read but are invalid.
var errConfig = errors.New("invalid configuration")

// loadConfig reads, merges and checks a base file and its overlays. It reports the
// syntax errors of all files together.
func (c *Commander) loadConfig(names []string) (*merger.Result, error) {
	if len(names) == 0 {
		return nil, usageError("a base file is missing")
	}
	files, err := parseFiles(names)
	if err != nil {
		return nil, err
	}
	merged, err := merger.Merge(files[0], files[1:]...)
	if err != nil {
		return nil, fmt.Errorf("%w\n%w", errConfig, err)
	}
	findings := checker.Check(checker.Config{Config: merged.Config(), Position: merged.Position})
	for _, f := range findings {
		fmt.Fprintln(c.stderr, f)
	}
	if checker.HasErrors(findings) {
		return nil, errConfig
	}
	return merged, nil
}

func parseFiles(names []string) ([]*parser.File, error) {
	var files []*parser.File
	var problems parser.Problems
	for _, name := range names {
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		f, err := parser.ParseFile(name, content)
		var fileProblems parser.Problems
		if errors.As(err, &fileProblems) {
			problems = append(problems, fileProblems...)
		}
		files = append(files, f)
	}
	if len(problems) > 0 {
		return nil, fmt.Errorf("%w\n%w", errConfig, problems)
	}
	return files, nil
}
