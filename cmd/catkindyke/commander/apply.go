package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"catkindyke/pkg/differ"
	"catkindyke/pkg/publisher"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
	"catkindyke/service/apiserver"
)

const (
	// anyVersion accepts whatever version is in force when apply reads it.
	anyVersion = -1
	// defaultApplyWait is the requirement for a change to be in force everywhere.
	defaultApplyWait = 14 * time.Second
)

// applyFlags are the flags of apply.
type applyFlags struct {
	store, operator string
	expect          int64
	wait            time.Duration
}

func (c *Commander) applyCommand() *ffcli.Command {
	fs := flag.NewFlagSet("apply", flag.ContinueOnError)
	f := &applyFlags{}
	fs.StringVar(&f.store, "store", "http://127.0.0.1:7000", "URL of the platform's object API")
	fs.StringVar(&f.operator, "operator", "127.0.0.1:7002", "operator address of any host, host:port, to ask which hosts have the version in force")
	fs.Int64Var(&f.expect, "expect-version", anyVersion, "version that must be in force, as printed by diff; -1 accepts any")
	fs.DurationVar(&f.wait, "wait", defaultApplyWait, "longest wait until the version is in force on all hosts, as a duration such as 14s; 0 does not wait")
	return c.command(ffcli.Command{
		Name: "apply", ShortUsage: "catkindyke apply [flags] BASE [OVERLAY...]",
		ShortHelp: "Puts a base file and overlays in force.", FlagSet: fs,
		LongHelp: "The change is refused when another change is accepted first. The exit status is 1 when the version is not in force on all hosts after the wait; the change is accepted all the same.",
		Exec: func(ctx context.Context, args []string) error {
			if f.expect < anyVersion || f.wait < 0 {
				return usageError("-expect-version must be -1 or more and -wait must not be negative")
			}
			return c.apply(ctx, f, args)
		},
	})
}

func (c *Commander) apply(ctx context.Context, f *applyFlags, args []string) error {
	merged, err := c.loadConfig(args)
	if err != nil {
		return err
	}
	store := newStore(f.store)
	version, err := c.writeConfig(ctx, publisher.New(store), merged.Config(), f.expect)
	if err != nil || f.wait == 0 {
		return err
	}
	return confirmation{
		version: version, wait: f.wait, out: c.stdout,
		status: func(ctx context.Context) (st apiserver.Status, err error) {
			err = getJSON(ctx, "http://"+f.operator+"/v1/status", &st)
			return st, err
		},
		platform: store.Hosts,
	}.run(ctx)
}

// writeConfig writes the configuration if the store still holds the version
// that it was compared with. It returns the version that is then in force.
func (c *Commander) writeConfig(ctx context.Context, p *publisher.Publisher, cfg *schema.Config, expect int64) (uint64, error) {
	head, current, err := readConfig(ctx, p)
	if err != nil {
		return 0, err
	}
	changes := differ.Diff(current, cfg)
	if expect != anyVersion && uint64(expect) != head.GetVersion() {
		c.printChanges(head.GetVersion(), changes)
		return 0, fmt.Errorf("%w: version %d was expected, version %d is in force: %s", publisher.ErrConflict, expect, head.GetVersion(), head.GetSummary())
	}
	c.printChanges(head.GetVersion(), changes)
	if len(changes) == 0 && head.GetVersion() > 0 {
		return head.GetVersion(), nil
	}
	value, err := encodeConfig(cfg)
	if err != nil {
		return 0, err
	}
	written, err := p.Write(ctx, replicator.Config, value, head.GetVersion(), differ.Summary(changes))
	if errors.Is(err, publisher.ErrConflict) {
		return 0, c.explainConflict(ctx, p, current, err)
	}
	if err != nil {
		return 0, err
	}
	fmt.Fprintf(c.stdout, "version %d accepted\n", written.GetVersion())
	return written.GetVersion(), nil
}

// explainConflict names what the other change did to the configuration that
// was read.
func (c *Commander) explainConflict(ctx context.Context, p *publisher.Publisher, current *schema.Config, conflict error) error {
	head, now, err := readConfig(ctx, p)
	if err != nil {
		return conflict
	}
	var lines []string
	for _, change := range differ.Diff(current, now) {
		lines = append(lines, change.String())
	}
	return fmt.Errorf("%w\nversion %d changed since it was read:\n%s", conflict, head.GetVersion(), strings.Join(lines, "\n"))
}

// errNotInForce says that hosts did not report an accepted version in time.
var errNotInForce = errors.New("the version is accepted, but not in force on all hosts")

// confirmInterval is the time between two questions for the hosts' versions.
const confirmInterval = 250 * time.Millisecond

// confirmation waits until a version is in force on all hosts.
type confirmation struct {
	version uint64
	wait    time.Duration
	out     io.Writer
	// status asks one host what it knows of all hosts.
	status func(context.Context) (apiserver.Status, error)
	// platform returns the platform's list, which shows hosts that the asked one does not hear.
	platform func(context.Context) ([]storeclient.Host, error)
}

// hostVersion is the version that a host reports.
type hostVersion struct {
	name    string
	version uint64
	heard   bool
}

func (c confirmation) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	var hosts []hostVersion
	last := errors.New("no host answered")
	for {
		found, err := c.poll(ctx)
		if err == nil {
			hosts, last = found, nil
		} else if ctx.Err() == nil {
			last = err
		}
		if err == nil && c.inForce(hosts) {
			c.print(hosts)
			return nil
		}
		select {
		case <-ctx.Done():
			c.print(hosts)
			if last != nil {
				return fmt.Errorf("%w: %w", errNotInForce, last)
			}
			return errNotInForce
		case <-time.After(confirmInterval):
		}
	}
}

// poll joins what one host knows with the platform's list. The list is only a
// hint: when it cannot be read, the host's knowledge is used alone.
func (c confirmation) poll(ctx context.Context) ([]hostVersion, error) {
	st, err := c.status(ctx)
	if err != nil {
		return nil, err
	}
	var hosts []hostVersion
	heard := make(map[string]bool)
	for _, h := range st.Hosts {
		heard[h.Name] = true
		hosts = append(hosts, hostVersion{name: h.Name, version: h.Versions[replicator.Config], heard: true})
	}
	listed, err := c.platform(ctx)
	if err != nil {
		listed = nil
	}
	for _, h := range listed {
		if !heard[h.Name] && h.State == storeclient.HostLive {
			hosts = append(hosts, hostVersion{name: h.Name})
		}
	}
	return hosts, nil
}

func (c confirmation) inForce(hosts []hostVersion) bool {
	for _, h := range hosts {
		if !h.heard || h.version < c.version {
			return false
		}
	}
	return len(hosts) > 0
}

func (c confirmation) print(hosts []hostVersion) {
	for _, h := range hosts {
		switch {
		case !h.heard:
			fmt.Fprintf(c.out, "%s: not heard by the asked host\n", h.name)
		case h.version < c.version:
			fmt.Fprintf(c.out, "%s: version %d is not in force, it has version %d\n", h.name, c.version, h.version)
		default:
			fmt.Fprintf(c.out, "%s: version %d is in force\n", h.name, h.version)
		}
	}
}
