// Package commander builds the command tree, for the main program, for tests and for
// the generator of the command reference.
package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// EnvPrefix is the prefix of the environment variables that set flags.
const EnvPrefix = "CATKINDYKE"

// ErrUsage is returned when a command is called with invalid arguments.
var ErrUsage = errors.New("bad usage")

// Exit statuses.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Commander holds the command tree and its outputs.
type Commander struct {
	stdout, stderr io.Writer
	root           *ffcli.Command
}

// New returns a Commander that writes to the given outputs.
func New(stdout, stderr io.Writer) *Commander {
	c := &Commander{stdout: stdout, stderr: stderr}
	c.root = c.buildCommand(ffcli.Command{
		Name:       "catkindyke",
		ShortUsage: "catkindyke <command> [flags] [arguments]",
		ShortHelp:  "Steers traffic from callers to backend servers over a fleet of entry hosts.",
		Subcommands: []*ffcli.Command{
			c.serveCommand(), c.hostCommand(), c.demoCommand(), c.checkCommand(), c.diffCommand(), c.applyCommand(),
			c.keyCommand(), c.blocksCommand(), c.drainCommand(), c.undrainCommand(), c.snapshotCommand(), c.statusCommand(),
			c.explainCommand(), c.lookupCommand(), c.emulateCommand(),
		},
	})
	return c
}

// Root returns the command tree.
func (c *Commander) Root() *ffcli.Command { return c.root }

// Run executes the command named by the arguments and returns its exit status.
func (c *Commander) Run(ctx context.Context, args []string) int {
	err := c.root.ParseAndRun(ctx, args)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.Is(err, ErrUsage):
		fmt.Fprintln(c.stderr, "catkindyke:", err)
		return exitUsage
	case isFlagError(err):
		return exitUsage
	default:
		fmt.Fprintln(c.stderr, "catkindyke:", err)
		return exitFailure
	}
}

// isFlagError reports whether an error comes from parsing flags or environment
// variables. The flag set has already printed it.
func isFlagError(err error) bool {
	s := err.Error()
	return strings.HasPrefix(s, "error parsing commandline") || strings.HasPrefix(s, "error setting flag")
}

// buildCommand fills in the defaults of a command: flags can be set in the
// environment, and the usage text lists defaults and variables.
func (c *Commander) buildCommand(cmd ffcli.Command) *ffcli.Command {
	if cmd.FlagSet == nil {
		cmd.FlagSet = flag.NewFlagSet(cmd.Name, flag.ContinueOnError)
	}
	cmd.FlagSet.SetOutput(c.stderr)
	cmd.Options = []ff.Option{ff.WithEnvVarPrefix(EnvPrefix)}
	cmd.UsageFunc = Usage
	if cmd.Exec == nil {
		cmd.Exec = func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("%w: unknown command %q; %s -h lists the commands", ErrUsage, args[0], cmd.ShortUsage)
			}
			return fmt.Errorf("%w: missing command; -h lists the commands", ErrUsage)
		}
	}
	return &cmd
}

// Usage returns the usage text of a command.
func Usage(cmd *ffcli.Command) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n\nUsage:\n  %s\n", cmd.ShortHelp, cmd.ShortUsage)
	if cmd.LongHelp != "" {
		fmt.Fprintf(&b, "\n%s\n", strings.TrimSpace(cmd.LongHelp))
	}
	if len(cmd.Subcommands) > 0 {
		b.WriteString("\nCommands:\n")
		tw := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
		for _, sub := range cmd.Subcommands {
			fmt.Fprintf(tw, "  %s\t%s\n", sub.Name, sub.ShortHelp)
		}
		_ = tw.Flush()
	}
	first := true
	cmd.FlagSet.VisitAll(func(f *flag.Flag) {
		if first {
			b.WriteString("\nFlags:\n")
			first = false
		}
		fmt.Fprintf(&b, "  -%s\n      %s\n      default %q, environment %s\n", f.Name, f.Usage, f.DefValue, EnvName(f.Name))
	})
	return b.String()
}

// EnvName returns the environment variable that sets a flag.
func EnvName(name string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// usageError returns an error that wraps ErrUsage.
func usageError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrUsage, fmt.Sprintf(format, args...))
}
