package controller

import (
	"context"
	"testing"

	"github.com/rs/zerolog"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/snapshotter"
)

// TestHeartbeatCanceled guards against a response that the control goroutine writes
// while a canceled Heartbeat call returns it. The race detector reports this.
func TestHeartbeatCanceled(t *testing.T) {
	c := New(Config{
		Self: snapshotter.Host{Name: "a"}, Clock: clock.New(), Log: zerolog.Nop(), Meter: meter.New(),
		PoolLoads: func() []*schema.PoolLoad { return nil },
	})
	ctx, cancel := context.WithCancel(t.Context())
	ran := make(chan struct{})
	go func() {
		f := <-c.tasks
		cancel()
		f()
		close(ran)
	}()
	_, _ = c.Heartbeat(ctx, &schema.HeartbeatRequest{Sender: &schema.HostInfo{}})
	<-ran
}
