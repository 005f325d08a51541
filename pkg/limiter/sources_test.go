package limiter

import (
	"net/netip"
	"testing"

	"catkindyke/pkg/clock"
)

var sourceLimit = Limit{RatePerSecond: 20, Burst: 40}

// TestSources guards against a source that gets more or less than its rate, and
// against sources that share a bucket.
func TestSources(t *testing.T) {
	s := NewSourceLimiter()
	a, b := netip.MustParseAddr("192.0.2.1"), netip.MustParseAddr("192.0.2.2")
	now := clock.Millis(1000)
	count := func(addr netip.Addr, tries int) (n int) {
		for range tries {
			ok, wait := s.Admit(addr, sourceLimit, now)
			if ok {
				n++
			} else if wait <= 0 || wait > 60 {
				t.Fatalf("wait of %d ms for a token, want 1 to 60 with a token every 50 ms", wait)
			}
		}
		return n
	}
	if got := count(a, 100); got != 40 {
		t.Errorf("burst of %d, want 40", got)
	}
	now += clock.Second
	if got := count(a, 100); got != 20 {
		t.Errorf("%d admitted after a second, want 20", got)
	}
	if got := count(b, 100); got != 40 {
		t.Errorf("burst of %d for another source, want 40", got)
	}
	now += 100 * clock.Second
	if got := count(a, 100); got != 40 {
		t.Errorf("burst of %d after 100 s, want 40", got)
	}
}

// TestSourcesIPv6Prefix guards against a caller that evades the limit by using
// many addresses of its /64.
func TestSourcesIPv6Prefix(t *testing.T) {
	s, n := NewSourceLimiter(), 0
	addr := netip.MustParseAddr("2001:db8::")
	for range 100 {
		addr = addr.Next()
		if ok, _ := s.Admit(addr, sourceLimit, 0); ok {
			n++
		}
	}
	if n != 40 {
		t.Errorf("%d admitted, want 40", n)
	}
}

// TestSourcesFlood guards against a source that is refused because many others
// are active.
func TestSourcesFlood(t *testing.T) {
	s := NewSourceLimiter()
	quiet, flood := netip.MustParseAddr("192.0.2.1"), netip.MustParseAddr("10.0.0.0")
	for n := range 200_000 {
		flood = flood.Next()
		_, _ = s.Admit(flood, sourceLimit, clock.Millis(n))
		if n%100 == 0 {
			if ok, _ := s.Admit(quiet, sourceLimit, clock.Millis(n)); !ok {
				t.Fatalf("quiet source refused after %d others", n)
			}
		}
	}
}
