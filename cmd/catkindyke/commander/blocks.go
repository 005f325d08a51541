package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/locator"
	"catkindyke/pkg/publisher"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
)

func (c *Commander) blocksCommand() *ffcli.Command {
	return c.buildCommand(ffcli.Command{
		Name: "blocks", ShortUsage: "catkindyke blocks apply [flags] FILE",
		ShortHelp:   "Changes the table of client blocks.",
		Subcommands: []*ffcli.Command{c.blocksApplyCommand()},
	})
}

func (c *Commander) blocksApplyCommand() *ffcli.Command {
	fs := flag.NewFlagSet("apply", flag.ContinueOnError)
	store := storeFlag(fs)
	return c.buildCommand(ffcli.Command{
		Name: "apply", ShortUsage: "catkindyke blocks apply [flags] FILE",
		ShortHelp: "Replaces the table of client blocks.", FlagSet: fs,
		LongHelp: "Each line of the file has a CIDR block and the name of a site in the configuration in force. " +
			"Text after # is skipped. Only pieces of the table that change are written.",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("blocks apply takes one file")
			}
			f, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer f.Close()
			res, err := applyBlocks(ctx, publisher.New(newStore(*store)), args[0], f)
			if err != nil {
				return err
			}
			if !res.Changed {
				fmt.Fprintf(c.stdout, "no change against version %d\n", res.Head.GetVersion())
				return nil
			}
			fmt.Fprintf(c.stdout, "version %d accepted, %d of %d pieces written, %d bytes\n",
				res.Head.GetVersion(), res.PiecesWritten, len(res.Head.GetPieces()), res.BytesWritten)
			return nil
		},
	})
}

// applyBlocks parses a block file and replaces the table of client blocks.
func applyBlocks(ctx context.Context, p *publisher.Publisher, name string, r io.Reader) (publisher.BlocksResult, error) {
	_, content, err := p.Read(ctx, replicator.KindConfig)
	if err != nil {
		return publisher.BlocksResult{}, err
	}
	cfg := &schema.Config{}
	if err := proto.Unmarshal(content, cfg); err != nil {
		return publisher.BlocksResult{}, err
	}
	siteNames := make(map[string]bool)
	for _, s := range cfg.GetSites() {
		siteNames[s.GetName()] = true
	}
	oldHead, err := p.ReadBlocksHead(ctx)
	if err != nil {
		return publisher.BlocksResult{}, err
	}
	sites := locator.NewSiteIndex(oldHead.GetSites())
	blocks, err := locator.ParseBlockFile(name, r, sites, func(site string) bool { return siteNames[site] })
	if err != nil {
		return publisher.BlocksResult{}, err
	}
	return p.WriteBlocks(ctx, oldHead, sites.Names(), blocks, "blocks apply "+name)
}
