package commander

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/authenticator"
	"catkindyke/pkg/publisher"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
)

// errKeyNotFound is returned when no key has the given workspace and label.
var errKeyNotFound = errors.New("no key with this workspace and label")

func (c *Commander) keyCommand() *ffcli.Command {
	return c.buildCommand(ffcli.Command{
		Name: "key", ShortUsage: "catkindyke key grant|withdraw|list [flags]",
		ShortHelp:   "Grants, withdraws and lists workspace keys.",
		Subcommands: []*ffcli.Command{c.keyGrantCommand(), c.keyWithdrawCommand(), c.keyListCommand()},
	})
}

func (c *Commander) keyGrantCommand() *ffcli.Command {
	fs := flag.NewFlagSet("grant", flag.ContinueOnError)
	store := storeFlag(fs)
	f := &confirmFlags{}
	f.register(fs)
	return c.buildCommand(ffcli.Command{
		Name: "grant", ShortUsage: "catkindyke key grant [flags] WORKSPACE LABEL",
		ShortHelp: "Creates a key for a workspace and prints it once.", FlagSet: fs,
		LongHelp: "The key is printed on standard output, the hosts on which it is in force on standard error.",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return usageError("key grant takes a workspace and a label")
			}
			if err := f.validate(); err != nil {
				return err
			}
			client := newStore(*store)
			p := publisher.New(client)
			if err := checkWorkspace(ctx, p, args[0]); err != nil {
				return err
			}
			key, version, err := grantKey(ctx, p, args[0], args[1])
			if err != nil {
				return err
			}
			fmt.Fprintln(c.stdout, key)
			return f.confirm(ctx, client, replicator.KindKeys, version, c.stderr)
		},
	})
}

// checkWorkspace rejects a workspace that the current configuration lacks.
func checkWorkspace(ctx context.Context, p *publisher.Publisher, name string) error {
	cfg, err := readConfigInForce(ctx, p)
	if err != nil {
		return err
	}
	var names []string
	for _, w := range cfg.GetWorkspaces() {
		if w.GetName() == name {
			return nil
		}
		names = append(names, w.GetName())
	}
	return fmt.Errorf("%w: workspace %q; allowed: %s", errUnknownTarget, name, strings.Join(names, ", "))
}

// grantKey generates a key and stores its hash. It returns the key and the new
// version of the keys document.
func grantKey(ctx context.Context, p *publisher.Publisher, workspace, label string) (string, uint64, error) {
	var raw [24]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return "", 0, err
	}
	key := base64.RawURLEncoding.EncodeToString(raw[:])
	entry := &schema.Key{Sha256: authenticator.Hash(key), Workspace: workspace, Label: label}
	head, err := publisher.Change(ctx, p, replicator.KindKeys, "grant "+workspace+" "+label, func(keys *schema.Keys) error {
		for _, k := range keys.GetKeys() {
			if k.GetWorkspace() == workspace && k.GetLabel() == label {
				return fmt.Errorf("workspace %s already has a key with label %q", workspace, label)
			}
		}
		keys.Keys = append(keys.Keys, entry)
		return nil
	})
	return key, head.GetVersion(), err
}

func (c *Commander) keyWithdrawCommand() *ffcli.Command {
	fs := flag.NewFlagSet("withdraw", flag.ContinueOnError)
	store := storeFlag(fs)
	f := &confirmFlags{}
	f.register(fs)
	return c.buildCommand(ffcli.Command{
		Name: "withdraw", ShortUsage: "catkindyke key withdraw [flags] WORKSPACE LABEL",
		ShortHelp: "Withdraws a key and names the hosts on which it still works.", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return usageError("key withdraw takes a workspace and a label")
			}
			if err := f.validate(); err != nil {
				return err
			}
			client := newStore(*store)
			head, err := publisher.Change(ctx, publisher.New(client), replicator.KindKeys,
				"withdraw "+args[0]+" "+args[1], func(keys *schema.Keys) error {
					n := len(keys.GetKeys())
					keys.Keys = slices.DeleteFunc(keys.Keys, func(k *schema.Key) bool {
						return k.GetWorkspace() == args[0] && k.GetLabel() == args[1]
					})
					if len(keys.Keys) == n {
						return errKeyNotFound
					}
					return nil
				})
			if err != nil {
				return err
			}
			fmt.Fprintf(c.stdout, "version %d accepted\n", head.GetVersion())
			return f.confirm(ctx, client, replicator.KindKeys, head.GetVersion(), c.stdout)
		},
	})
}

func (c *Commander) keyListCommand() *ffcli.Command {
	fs := flag.NewFlagSet("list", flag.ContinueOnError)
	store := storeFlag(fs)
	return c.buildCommand(ffcli.Command{
		Name: "list", ShortUsage: "catkindyke key list [flags]",
		ShortHelp: "Lists workspaces and labels of the granted keys.", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("key list takes no arguments, got %q", args[0])
			}
			_, content, err := publisher.New(newStore(*store)).Read(ctx, replicator.KindKeys)
			if err != nil {
				return err
			}
			keys := &schema.Keys{}
			if err := proto.Unmarshal(content, keys); err != nil {
				return err
			}
			tw := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(tw, "WORKSPACE\tLABEL")
			for _, k := range keys.GetKeys() {
				fmt.Fprintf(tw, "%s\t%s\n", k.GetWorkspace(), k.GetLabel())
			}
			return tw.Flush()
		},
	})
}
