package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"time"

	"catkindyke/pkg/storeclient"
	"catkindyke/service/apiserver"
)

// defaultWait is the requirement for a change to be in force everywhere.
const defaultWait = 14 * time.Second

// confirmFlags are the flags of commands that wait until a change is in force.
type confirmFlags struct {
	operator string
	wait     time.Duration
}

func (f *confirmFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.operator, "operator", "127.0.0.1:7002", "operator address of any host, host:port, to ask which hosts have the change in force")
	fs.DurationVar(&f.wait, "wait", defaultWait, "longest wait until the change is in force on all hosts, as a duration such as 14s; 0 does not wait")
}

func (f *confirmFlags) validate() error {
	if f.wait < 0 {
		return usageError("-wait must not be negative, got %s", f.wait)
	}
	return nil
}

// confirm waits until a version of a document is in force on all hosts and
// prints the result for each.
func (f *confirmFlags) confirm(ctx context.Context, store *storeclient.Client, kind string, version uint64, out io.Writer) error {
	if f.wait == 0 {
		return nil
	}
	return confirmation{
		kind: kind, version: version, wait: f.wait, out: out,
		readStatus: func(ctx context.Context) (st apiserver.Status, err error) {
			err = getJSON(ctx, "http://"+f.operator+"/v1/status", &st)
			return st, err
		},
		listHosts: store.Hosts,
	}.run(ctx)
}

// errNotInForce says that hosts did not report an accepted version in time.
var errNotInForce = errors.New("the version is accepted, but not in force on all hosts")

// confirmInterval is the time between two questions for the hosts' versions.
const confirmInterval = 250 * time.Millisecond

// confirmation waits until a version is in force on all hosts.
type confirmation struct {
	kind    string
	version uint64
	wait    time.Duration
	out     io.Writer
	// readStatus asks one host what it knows of all hosts.
	readStatus func(context.Context) (apiserver.Status, error)
	// listHosts returns the listHosts's list, which shows hosts that the asked one does not hear.
	listHosts func(context.Context) ([]storeclient.Host, error)
}

// hostVersion is the version that a host reports.
type hostVersion struct {
	name     string
	version  uint64
	reported bool
}

func (c confirmation) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	var hosts []hostVersion
	lastErr := errors.New("no host answered")
	for {
		polled, err := c.pollVersions(ctx)
		if err == nil {
			hosts, lastErr = polled, nil
		} else if ctx.Err() == nil {
			lastErr = err
		}
		if err == nil && c.isInForce(hosts) {
			c.print(hosts)
			return nil
		}
		select {
		case <-ctx.Done():
			c.print(hosts)
			if lastErr != nil {
				return fmt.Errorf("%w: %w", errNotInForce, lastErr)
			}
			return errNotInForce
		case <-time.After(confirmInterval):
		}
	}
}

// pollVersions joins what one host knows with the platform's list. The list is only a
// hint: when it cannot be read, the host's knowledge is used alone.
func (c confirmation) pollVersions(ctx context.Context) ([]hostVersion, error) {
	st, err := c.readStatus(ctx)
	if err != nil {
		return nil, err
	}
	var hosts []hostVersion
	reported := make(map[string]bool)
	for _, h := range st.Hosts {
		reported[h.Name] = true
		hosts = append(hosts, hostVersion{name: h.Name, version: h.Versions[c.kind], reported: true})
	}
	listed, err := c.listHosts(ctx)
	if err != nil {
		listed = nil
	}
	for _, h := range listed {
		if !reported[h.Name] && h.State == storeclient.HostLive {
			hosts = append(hosts, hostVersion{name: h.Name})
		}
	}
	return hosts, nil
}

func (c confirmation) isInForce(hosts []hostVersion) bool {
	for _, h := range hosts {
		if !h.reported || h.version < c.version {
			return false
		}
	}
	return len(hosts) > 0
}

func (c confirmation) print(hosts []hostVersion) {
	for _, h := range hosts {
		switch {
		case !h.reported:
			fmt.Fprintf(c.out, "%s: not heard by the asked host\n", h.name)
		case h.version < c.version:
			fmt.Fprintf(c.out, "%s: version %d is not in force, it has version %d\n", h.name, c.version, h.version)
		default:
			fmt.Fprintf(c.out, "%s: version %d is in force\n", h.name, h.version)
		}
	}
}
