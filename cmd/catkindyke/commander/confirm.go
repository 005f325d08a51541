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

// defaultWait is the required time for a change to be in force on all hosts.
const defaultWait = 14 * time.Second

// confirmFlags holds the flags of commands that wait until a change is in force.
type confirmFlags struct {
	operator string
	wait     time.Duration
}

func (f *confirmFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.operator, "operator", "127.0.0.1:7002", "operator address of any host, host:port, queried for the versions in force on all hosts")
	fs.DurationVar(&f.wait, "wait", defaultWait, "maximum wait until the change is in force on all hosts, as a duration such as 14s; 0 does not wait")
}

func (f *confirmFlags) validate() error {
	if f.wait < 0 {
		return usageError("-wait must not be negative, got %s", f.wait)
	}
	return nil
}

// confirm waits until a document version is in force on all hosts and prints the
// version of each host.
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

// errNotInForce is returned when some host did not report the version in time.
var errNotInForce = errors.New("the version is accepted, but not in force on all hosts")

// confirmInterval is the time between two polls of the hosts' versions.
const confirmInterval = 250 * time.Millisecond

// confirmation waits until a document version is in force on all hosts.
type confirmation struct {
	kind    string
	version uint64
	wait    time.Duration
	out     io.Writer
	// readStatus returns one host's status, which includes the reports of the others.
	readStatus func(context.Context) (apiserver.Status, error)
	// listHosts returns the platform's host list. It contains hosts whose reports do
	// not reach the queried host.
	listHosts func(context.Context) ([]storeclient.Host, error)
}

// hostVersion is the version of one host, if the queried host has its report.
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

// pollVersions merges the queried host's status with the platform's host list. If
// the list cannot be read, the status alone is used.
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
			fmt.Fprintf(c.out, "%s: no report at the queried host\n", h.name)
		case h.version < c.version:
			fmt.Fprintf(c.out, "%s: version %d is not in force, it has version %d\n", h.name, c.version, h.version)
		default:
			fmt.Fprintf(c.out, "%s: version %d is in force\n", h.name, h.version)
		}
	}
}
