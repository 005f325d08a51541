package commander

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/merger"
	"catkindyke/pkg/parser"
	"catkindyke/pkg/publisher"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
)

func (c *Commander) checkCommand() *ffcli.Command {
	fs := flag.NewFlagSet("check", flag.ContinueOnError)
	show := fs.Bool("print", false, "print the merged configuration")
	return c.command(ffcli.Command{
		Name: "check", ShortUsage: "catkindyke check [flags] BASE [OVERLAY...]",
		ShortHelp: "Checks a base file and overlays without a store.", FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			cfg, err := loadConfig(args)
			if err != nil {
				return err
			}
			if *show {
				fmt.Fprintln(c.stdout, protojson.MarshalOptions{Multiline: true, UseProtoNames: true}.Format(cfg))
			}
			return nil
		},
	})
}

func (c *Commander) diffCommand() *ffcli.Command {
	fs := flag.NewFlagSet("diff", flag.ContinueOnError)
	store := storeFlag(fs)
	return c.command(ffcli.Command{
		Name: "diff", ShortUsage: "catkindyke diff [flags] BASE [OVERLAY...]",
		ShortHelp: "Shows whether an apply would change the configuration in force.", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			cfg, err := loadConfig(args)
			if err != nil {
				return err
			}
			head, content, err := publisher.New(newStore(*store)).Read(ctx, replicator.Config)
			if err != nil {
				return err
			}
			value, err := encodeConfig(cfg)
			if err != nil {
				return err
			}
			if bytes.Equal(value, content) {
				fmt.Fprintf(c.stdout, "no change against version %d\n", head.GetVersion())
				return nil
			}
			fmt.Fprintf(c.stdout, "version %d would change\n", head.GetVersion())
			return nil
		},
	})
}

func (c *Commander) applyCommand() *ffcli.Command {
	fs := flag.NewFlagSet("apply", flag.ContinueOnError)
	store := storeFlag(fs)
	return c.command(ffcli.Command{
		Name: "apply", ShortUsage: "catkindyke apply [flags] BASE [OVERLAY...]",
		ShortHelp: "Puts a base file and overlays in force.", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			cfg, err := loadConfig(args)
			if err != nil {
				return err
			}
			value, err := encodeConfig(cfg)
			if err != nil {
				return err
			}
			p := publisher.New(newStore(*store))
			head, _, err := p.Read(ctx, replicator.Config)
			if err != nil {
				return err
			}
			written, err := p.Write(ctx, replicator.Config, value, head.GetVersion(), "apply "+fmt.Sprint(args))
			if err != nil {
				return err
			}
			fmt.Fprintf(c.stdout, "version %d accepted\n", written.GetVersion())
			return nil
		},
	})
}

// storeFlag adds the flag for the address of the object API.
func storeFlag(fs *flag.FlagSet) *string {
	return fs.String("store", "http://127.0.0.1:7000", "URL of the platform's object API")
}

func newStore(url string) *storeclient.Client {
	return storeclient.New(storeclient.Config{BaseURL: url})
}

func encodeConfig(cfg *schema.Config) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(cfg)
}

// loadConfig reads and merges a base file and its overlays.
func loadConfig(files []string) (*schema.Config, error) {
	if len(files) == 0 {
		return nil, usageError("a base file is missing")
	}
	var parsed []*schema.Config
	for _, name := range files {
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		cfg, err := parser.Parse(name, content)
		if err != nil {
			return nil, err
		}
		parsed = append(parsed, cfg)
	}
	return merger.Merge(parsed[0], parsed[1:]...)
}
