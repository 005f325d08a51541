package commander

import (
	"bytes"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/publisher"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
)

// TestDrainLostRegion checks that one command marks all hosts of a region as lost, so
// that other hosts can take over their share slots.
func TestDrainLostRegion(t *testing.T) {
	d, err := startDemo(t.Context(), 3, "error", New(&bytes.Buffer{}, &bytes.Buffer{}))
	assertNoError(t, err, "start")
	defer d.stop()
	t.Setenv(EnvName("store"), d.storeURL)
	t.Setenv(EnvName("operator"), d.hosts[0].OperatorAddress())
	region, name := d.hosts[2].Snapshot().Self().Region, d.hosts[2].Snapshot().Self().Name
	d.hosts[2].Kill()
	d.platform.RemoveHost(name)
	var out, errOut bytes.Buffer
	if got := New(&out, &errOut).Run(t.Context(), []string{"drain", "-lost", "region", region}); got != exitOK {
		t.Fatalf("exit status %d: %s%s", got, out.String(), errOut.String())
	}
	_, content, err := publisher.New(newStore(d.storeURL)).Read(t.Context(), replicator.KindDrains)
	assertNoError(t, err, "read drains")
	drains := &schema.Drains{}
	assertNoError(t, proto.Unmarshal(content, drains), "decode drains")
	if !slices.Equal(drains.GetLostHosts(), []string{name}) || len(drains.GetRegions()) > 0 {
		t.Errorf("lost hosts %v and drained regions %v, want %s alone", drains.GetLostHosts(), drains.GetRegions(), name)
	}
}

// TestDrainArguments checks that drain and undrain reject invalid arguments.
func TestDrainArguments(t *testing.T) {
	for _, args := range [][]string{
		{"drain"},
		{"drain", "planet", "fyn"},
		{"drain", "-lost", "availability_zone", "fyn-a"},
		{"undrain", "region"},
		{"drain", "-wait", "-1s", "host", "a"},
	} {
		var out, errOut bytes.Buffer
		if got := New(&out, &errOut).Run(t.Context(), args); got != exitUsage {
			t.Errorf("%v: exit status %d, want %d: %s", args, got, exitUsage, errOut.String())
		}
	}
}
