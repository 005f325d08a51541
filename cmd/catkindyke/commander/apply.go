package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"catkindyke/pkg/differ"
	"catkindyke/pkg/publisher"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
)

// anyVersion disables the check of the current version.
const anyVersion = -1

// applyFlags holds the flags of the apply command.
type applyFlags struct {
	confirmFlags
	store         string
	expectVersion int64
}

func (c *Commander) applyCommand() *ffcli.Command {
	fs := flag.NewFlagSet("apply", flag.ContinueOnError)
	f := &applyFlags{}
	fs.StringVar(&f.store, "store", "http://127.0.0.1:7000", "URL of the platform's object API")
	fs.Int64Var(&f.expectVersion, "expect-version", anyVersion, "version that must be in force, as printed by diff; -1 accepts any")
	f.register(fs)
	return c.buildCommand(ffcli.Command{
		Name: "apply", ShortUsage: "catkindyke apply [flags] BASE [OVERLAY...]",
		ShortHelp: "Applies a base file and overlays as the new configuration.", FlagSet: fs,
		LongHelp: "The change is refused if another change is accepted first. The exit status is 1 if the version is not in force on all hosts after the wait; the change stays accepted.",
		Exec: func(ctx context.Context, args []string) error {
			if f.expectVersion < anyVersion {
				return usageError("-expect-version must be -1 or more")
			}
			if err := f.validate(); err != nil {
				return err
			}
			return c.runApply(ctx, f, args)
		},
	})
}

func (c *Commander) runApply(ctx context.Context, f *applyFlags, args []string) error {
	merged, err := c.loadConfig(args)
	if err != nil {
		return err
	}
	store := newStore(f.store)
	version, err := c.writeConfig(ctx, publisher.New(store), merged.Config(), f.expectVersion)
	if err != nil {
		return err
	}
	return f.confirm(ctx, store, replicator.KindConfig, version, c.stdout)
}

// writeConfig writes the configuration unless the store has changed since it was
// read. It returns the version that is in force afterwards.
func (c *Commander) writeConfig(ctx context.Context, p *publisher.Publisher, cfg *schema.Config, expectVersion int64) (uint64, error) {
	head, current, err := readConfig(ctx, p)
	if err != nil {
		return 0, err
	}
	changes := differ.Diff(current, cfg)
	if expectVersion != anyVersion && uint64(expectVersion) != head.GetVersion() {
		c.printChanges(head.GetVersion(), changes)
		return 0, fmt.Errorf("%w: version %d was expected, version %d is in force: %s", publisher.ErrConflict, expectVersion, head.GetVersion(), head.GetSummary())
	}
	c.printChanges(head.GetVersion(), changes)
	if len(changes) == 0 && head.GetVersion() > 0 {
		return head.GetVersion(), nil
	}
	value, err := encodeConfig(cfg)
	if err != nil {
		return 0, err
	}
	written, err := p.Write(ctx, replicator.KindConfig, value, head.GetVersion(), differ.Summary(changes))
	if errors.Is(err, publisher.ErrConflict) {
		return 0, c.explainConflict(ctx, p, current, err)
	}
	if err != nil {
		return 0, err
	}
	fmt.Fprintf(c.stdout, "version %d accepted\n", written.GetVersion())
	return written.GetVersion(), nil
}

// explainConflict adds the changes of the conflicting version to a conflict error.
func (c *Commander) explainConflict(ctx context.Context, p *publisher.Publisher, current *schema.Config, conflict error) error {
	head, latest, err := readConfig(ctx, p)
	if err != nil {
		return conflict
	}
	var lines []string
	for _, change := range differ.Diff(current, latest) {
		lines = append(lines, change.String())
	}
	return fmt.Errorf("%w\nversion %d changed since it was read:\n%s", conflict, head.GetVersion(), strings.Join(lines, "\n"))
}
