package commander

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/differ"
	"catkindyke/pkg/publisher"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
)

// snapshotFile is the format of "snapshot save": the documents and the share ledger
// of the store, without hashes of keys.
type snapshotFile struct {
	Documents map[string]snapshotDocument `json:"documents"`
	Ledger    json.RawMessage             `json:"ledger,omitempty"`
}

type snapshotDocument struct {
	Version uint64          `json:"version"`
	Summary string          `json:"summary"`
	Content json.RawMessage `json:"content"`
}

func (c *Commander) snapshotCommand() *ffcli.Command {
	return c.buildCommand(ffcli.Command{
		Name: "snapshot", ShortUsage: "catkindyke snapshot save|diff [flags]",
		ShortHelp:   "Saves the contents of the store to a file, and compares two such files.",
		Subcommands: []*ffcli.Command{c.snapshotSaveCommand(), c.snapshotDiffCommand()},
	})
}

func (c *Commander) snapshotSaveCommand() *ffcli.Command {
	fs := flag.NewFlagSet("save", flag.ContinueOnError)
	store := storeFlag(fs)
	return c.buildCommand(ffcli.Command{
		Name: "save", ShortUsage: "catkindyke snapshot save [flags] FILE",
		ShortHelp: "Writes all documents and the share ledger to a JSON file.", FlagSet: fs,
		LongHelp: "Hashes of keys are left out, so a snapshot can be attached to a bug report.",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("snapshot save takes a file")
			}
			snap, err := readSnapshot(ctx, newStore(*store))
			if err != nil {
				return err
			}
			value, err := json.MarshalIndent(snap, "", "  ")
			if err != nil {
				return err
			}
			return os.WriteFile(args[0], append(value, '\n'), 0o644)
		},
	})
}

// readSnapshot reads the documents and the share ledger from the store.
func readSnapshot(ctx context.Context, store *storeclient.Client) (*snapshotFile, error) {
	snap := &snapshotFile{Documents: make(map[string]snapshotDocument)}
	p := publisher.New(store)
	for kind, msg := range documentMessages() {
		head, content, err := p.Read(ctx, kind)
		if err != nil {
			return nil, err
		}
		if err := proto.Unmarshal(content, msg); err != nil {
			return nil, err
		}
		if keys, ok := msg.(*schema.Keys); ok {
			for _, k := range keys.GetKeys() {
				k.Sha256 = ""
			}
		}
		value, err := encodeJSON(msg)
		if err != nil {
			return nil, err
		}
		snap.Documents[kind] = snapshotDocument{head.GetVersion(), head.GetSummary(), value}
	}
	obj, err := store.Get(ctx, replicator.LedgerName)
	if errors.Is(err, storeclient.ErrNotFound) {
		return snap, nil
	}
	if err != nil {
		return nil, err
	}
	ledger := &schema.Ledger{}
	if err := proto.Unmarshal(obj.Value, ledger); err != nil {
		return nil, err
	}
	snap.Ledger, err = encodeJSON(ledger)
	return snap, err
}

// documentMessages returns an empty message for each kind of document.
func documentMessages() map[string]proto.Message {
	return map[string]proto.Message{
		replicator.KindConfig: &schema.Config{}, replicator.KindKeys: &schema.Keys{},
		replicator.KindDrains: &schema.Drains{}, replicator.KindPlan: &schema.Plan{},
	}
}

func encodeJSON(msg proto.Message) (json.RawMessage, error) {
	return protojson.MarshalOptions{UseProtoNames: true}.Marshal(msg)
}

func (c *Commander) snapshotDiffCommand() *ffcli.Command {
	return c.buildCommand(ffcli.Command{
		Name: "diff", ShortUsage: "catkindyke snapshot diff OLD NEW",
		ShortHelp: "Shows document versions and configuration changes between two snapshots.",
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 2 {
				return usageError("snapshot diff takes two files")
			}
			before, err := loadSnapshot(args[0])
			if err != nil {
				return err
			}
			after, err := loadSnapshot(args[1])
			if err != nil {
				return err
			}
			return c.printSnapshotDiff(before, after)
		},
	})
}

func loadSnapshot(name string) (*snapshotFile, error) {
	value, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	snap := &snapshotFile{}
	if err := json.Unmarshal(value, snap); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return snap, nil
}

func (c *Commander) printSnapshotDiff(before, after *snapshotFile) error {
	for _, kind := range replicator.Kinds {
		fmt.Fprintf(c.stdout, "%s: version %d to %d\n", kind, before.Documents[kind].Version, after.Documents[kind].Version)
	}
	from, err := before.config()
	if err != nil {
		return err
	}
	to, err := after.config()
	if err != nil {
		return err
	}
	for _, change := range differ.Diff(from, to) {
		fmt.Fprintln(c.stdout, change)
	}
	return nil
}

func (f *snapshotFile) config() (*schema.Config, error) {
	cfg := &schema.Config{}
	content := f.Documents[replicator.KindConfig].Content
	if len(content) == 0 {
		return cfg, nil
	}
	return cfg, protojson.Unmarshal(content, cfg)
}
