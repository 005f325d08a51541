package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/publisher"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
)

// errUnknownTarget is returned for a name that the current configuration lacks.
var errUnknownTarget = errors.New("no such target in the configuration in force")

// drainTargetKinds lists the kinds of target of drain and undrain.
const drainTargetKinds = "host|backend_server|availability_zone|region"

func (c *Commander) drainCommand() *ffcli.Command {
	return c.changeDrainsCommand("drain", true,
		"Takes a host, backend server, availability zone or region out of service.",
		"the host, or every host of the region, has stopped permanently; other hosts take over its share slots. If one still runs, a workspace can exceed its rate")
}

func (c *Commander) undrainCommand() *ffcli.Command {
	return c.changeDrainsCommand("undrain", false, "Puts a drained target back in service.", "no longer treat the host, or every host of the region, as lost")
}

func (c *Commander) changeDrainsCommand(name string, add bool, help, lostHelp string) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	store := storeFlag(fs)
	lost := fs.Bool("lost", false, lostHelp)
	f := &confirmFlags{}
	f.register(fs)
	return c.buildCommand(ffcli.Command{
		Name: name, ShortUsage: "catkindyke " + name + " [flags] " + drainTargetKinds + " NAME",
		ShortHelp: help, FlagSet: fs,
		LongHelp: "New requests stop within a few seconds; requests in flight finish. A drained host keeps running and serves callers with cached look-up answers.",
		Exec: func(ctx context.Context, args []string) error {
			return c.changeDrains(ctx, f, *store, args, *lost, add)
		},
	})
}

func (c *Commander) changeDrains(ctx context.Context, f *confirmFlags, store string, args []string, lost, add bool) error {
	if len(args) != 2 {
		return usageError("a kind (%s) and a name are needed", drainTargetKinds)
	}
	kind, name := args[0], args[1]
	if lost && kind != "host" && kind != "region" {
		return usageError("-lost is for hosts and regions only")
	}
	if drainList(&schema.Drains{}, kind, lost) == nil {
		return usageError("unknown kind %q; use %s", kind, drainTargetKinds)
	}
	if err := f.validate(); err != nil {
		return err
	}
	client := newStore(store)
	p := publisher.New(client)
	if add {
		if err := checkTarget(ctx, p, kind, name); err != nil {
			return err
		}
	}
	names := []string{name}
	if lost && kind == "region" {
		var err error
		if names, err = ledgerHosts(ctx, client, name); err != nil {
			return err
		}
	}
	verb := map[bool]string{true: "drain", false: "undrain"}[add]
	head, err := publisher.Change(ctx, p, replicator.KindDrains, verb+" "+kind+" "+name, func(d *schema.Drains) error {
		list := drainList(d, kind, lost)
		*list = slices.DeleteFunc(*list, func(existing string) bool { return slices.Contains(names, existing) })
		if add {
			*list = append(*list, names...)
		}
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.stdout, "version %d accepted\n", head.GetVersion())
	return f.confirm(ctx, client, replicator.KindDrains, head.GetVersion(), c.stdout)
}

// ledgerHosts returns the hosts of a region that are in the share ledger. These
// include hosts that the platform has already removed from its list.
func ledgerHosts(ctx context.Context, store *storeclient.Client, region string) ([]string, error) {
	obj, err := store.Get(ctx, replicator.LedgerName)
	if err != nil {
		return nil, err
	}
	ledger := &schema.Ledger{}
	if err := proto.Unmarshal(obj.Value, ledger); err != nil {
		return nil, err
	}
	var names []string
	for _, m := range ledger.GetMembers() {
		if m.GetRegion() == region {
			names = append(names, m.GetHost())
		}
	}
	return names, nil
}

// drainList returns the list for a kind of target, or nil for an unknown kind.
func drainList(d *schema.Drains, kind string, lost bool) *[]string {
	switch {
	case lost && (kind == "host" || kind == "region"):
		return &d.LostHosts
	case kind == "host":
		return &d.Hosts
	case kind == "backend_server":
		return &d.BackendServers
	case kind == "availability_zone":
		return &d.AvailabilityZones
	case kind == "region":
		return &d.Regions
	}
	return nil
}

// checkTarget rejects names that the current configuration lacks. Host names are not
// checked, because hosts are not part of the configuration.
func checkTarget(ctx context.Context, p *publisher.Publisher, kind, name string) error {
	if kind == "host" {
		return nil
	}
	cfg, err := readConfigInForce(ctx, p)
	if err != nil {
		return err
	}
	names := targetNames(cfg, kind)
	if !slices.Contains(names, name) {
		return fmt.Errorf("%w: %s %q; allowed: %s", errUnknownTarget, kind, name, strings.Join(names, ", "))
	}
	return nil
}

// readConfigInForce returns the configuration in the store.
func readConfigInForce(ctx context.Context, p *publisher.Publisher) (*schema.Config, error) {
	_, content, err := p.Read(ctx, replicator.KindConfig)
	if err != nil {
		return nil, err
	}
	cfg := &schema.Config{}
	return cfg, proto.Unmarshal(content, cfg)
}

func targetNames(cfg *schema.Config, kind string) []string {
	var names []string
	for _, r := range cfg.GetRegions() {
		switch kind {
		case "region":
			names = append(names, r.GetName())
		case "availability_zone":
			names = append(names, r.GetAvailabilityZones()...)
		}
	}
	if kind == "backend_server" {
		for _, s := range cfg.GetServices() {
			for _, b := range s.GetBackendServers() {
				names = append(names, b.GetName())
			}
		}
	}
	return names
}
