package publisher

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"catkindyke/pkg/emulator"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
)

// withPublishers runs f in virtual time with two publishers and a client of the same store.
func withPublishers(t *testing.T, f func(platform *emulator.Platform, a, b *Publisher, store *storeclient.Client)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		network := emulator.NewNetwork(emulator.NetworkConfig{})
		platform := emulator.NewPlatform(emulator.Budget{})
		place := emulator.Place{Region: "north", AvailabilityZone: "north-a"}
		network.Listen("store:1", place, platform)
		newClient := func() *storeclient.Client {
			return storeclient.New(storeclient.Config{BaseURL: "http://store:1", Transport: network.Transport(place)})
		}
		f(platform, New(newClient()), New(newClient()), newClient())
	})
}

// TestDroppedWriteResponse checks that a write whose responses are lost is
// reported as successful if the store applied it.
func TestDroppedWriteResponse(t *testing.T) {
	for dropped := 1; dropped <= 3; dropped++ {
		t.Run(fmt.Sprintf("%d answers lost", dropped), func(t *testing.T) {
			withPublishers(t, func(platform *emulator.Platform, a, _ *Publisher, _ *storeclient.Client) {
				platform.SetFaults(emulator.Faults{DropWriteResponses: dropped})
				head, err := a.Write(context.Background(), replicator.KindConfig, []byte("one"), 0, "one")
				assertNoError(t, err, "write")
				stored, content, err := a.Read(context.Background(), replicator.KindConfig)
				assertNoError(t, err, "read")
				if stored.GetVersion() != 1 || head.GetVersion() != 1 || string(content) != "one" {
					t.Errorf("stored version %d, reported %d, content %q", stored.GetVersion(), head.GetVersion(), content)
				}
			})
		})
	}
}

// TestConcurrentWriters checks that only one of two operators who change the
// same version is told that the change was accepted.
func TestConcurrentWriters(t *testing.T) {
	withPublishers(t, func(_ *emulator.Platform, a, b *Publisher, _ *storeclient.Client) {
		_, err := a.Write(context.Background(), replicator.KindConfig, []byte("one"), 0, "change by a")
		assertNoError(t, err, "first write")
		_, err = b.Write(context.Background(), replicator.KindConfig, []byte("two"), 0, "change by b")
		if !errors.Is(err, ErrConflict) || !strings.Contains(err.Error(), "change by a") {
			t.Errorf("second write: %v, want a conflict that names the first change", err)
		}
	})
}

// TestRetryAfterLaterChange checks that a write is not reported as a conflict
// when the store applied it, its response was lost and another change followed
// before the retry.
func TestRetryAfterLaterChange(t *testing.T) {
	withPublishers(t, func(_ *emulator.Platform, a, b *Publisher, _ *storeclient.Client) {
		head, err := a.Write(context.Background(), replicator.KindConfig, []byte("one"), 0, "one")
		assertNoError(t, err, "first write")
		_, err = b.Write(context.Background(), replicator.KindConfig, []byte("two"), 1, "two")
		assertNoError(t, err, "second write")
		retried, err := a.writeHead(context.Background(), replicator.KindConfig, head, nil, 0)
		assertNoError(t, err, "retry of the first write")
		if retried.GetAttemptId() != head.GetAttemptId() {
			t.Error("the retry was mistaken for another attempt")
		}
	})
}

// TestUnavailableStore checks that neither success nor failure is claimed for a
// head whose write got no response.
func TestUnavailableStore(t *testing.T) {
	withPublishers(t, func(platform *emulator.Platform, a, _ *Publisher, _ *storeclient.Client) {
		platform.SetFaults(emulator.Faults{Down: true})
		_, err := a.Write(context.Background(), replicator.KindConfig, []byte("one"), 0, "one")
		if !errors.Is(err, storeclient.ErrUnavailable) {
			t.Errorf("write to a store that is down: %v", err)
		}
		_, err = a.writeHead(context.Background(), replicator.KindConfig, &schema.Head{Version: 1}, nil, 0)
		if !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("head written to a store that is down: %v, want ErrOutcomeUnknown", err)
		}
	})
}

// TestExpiredContentDeleted checks that old contents are deleted, so that the
// store does not grow with every change.
func TestExpiredContentDeleted(t *testing.T) {
	withPublishers(t, func(_ *emulator.Platform, a, _ *Publisher, store *storeclient.Client) {
		for n := range uint64(40) {
			_, err := a.Write(context.Background(), replicator.KindConfig, []byte("same"), n, "change")
			assertNoError(t, err, "write")
		}
		list, err := store.List(context.Background(), "contents/")
		assertNoError(t, err, "list")
		if len(list) != maxEarlierAttemptIDs+1 {
			t.Errorf("%d contents in the store, want %d", len(list), maxEarlierAttemptIDs+1)
		}
		_, _, err = a.Read(context.Background(), replicator.KindConfig)
		assertNoError(t, err, "read")
	})
}

func assertNoError(t *testing.T, err error, step string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: %v", step, err)
	}
}
