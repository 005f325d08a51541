package logger

import (
	"strings"
	"testing"
	"time"
)

// blockedWriter is an output that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// A blocked output must not hold up the requests that are logged.
func TestAsyncNeverBlocks(t *testing.T) {
	release := make(chan struct{})
	out := NewAsync(blockedWriter{release})
	log, err := New(Config{Output: out, Level: "info"})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		l := log.For(Traffic)
		for range 4 * asyncBufferLines {
			l.Info().Str("request", "r1").Msg("request")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Error("logging blocks on its output")
	}
	close(release)
}

// Lines whose number grows with the load are limited, and dropped ones are counted.
func TestRateLimited(t *testing.T) {
	var b strings.Builder
	log, err := New(Config{Output: &b, Level: "info"})
	if err != nil {
		t.Fatal(err)
	}
	dropped := 0
	l := RateLimited(log.For(Traffic), func() { dropped++ })
	for range 5 * infoBurst {
		l.Info().Msg("request")
	}
	written := strings.Count(b.String(), "event=request")
	if written+dropped != 5*infoBurst {
		t.Errorf("%d lines written and %d dropped of %d", written, dropped, 5*infoBurst)
	}
	if written > 3*infoBurst || written < infoBurst {
		t.Errorf("%d lines written at once, want about %d a second", written, infoBurst)
	}
}
