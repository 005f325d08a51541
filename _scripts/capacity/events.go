package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"catkindyke/pkg/emulator"
	"catkindyke/pkg/runner"
)

// shareSlots is the fleet-wide number of share slots.
const shareSlots = 120

// partitionTransport fails a host's store calls while its region is isolated.
type partitionTransport struct {
	http.RoundTripper
	f    *fleet
	host string
}

// RoundTrip implements http.RoundTripper.
func (t *partitionTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if cut := t.f.isolatedRegion.Load(); cut != nil && t.f.regions[t.host] == *cut {
		return nil, errors.New("region cut off")
	}
	return t.RoundTripper.RoundTrip(r)
}

// partitioned reports whether two hosts cannot reach each other.
func (f *fleet) partitioned(a, b string) bool {
	cut := f.isolatedRegion.Load()
	return cut != nil && (f.regions[a] == *cut) != (f.regions[b] == *cut)
}

// counters are totals over all hosts started so far, including those killed since.
type counters struct{ bytes, messages, reads, writes float64 }

func (f *fleet) counters() counters {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := counters{bytes: float64(f.bytesSent.Load()), messages: float64(f.messages.Load())}
	for _, h := range f.everStarted {
		c.reads += float64(h.Store().Reads())
		c.writes += float64(h.Store().Writes())
	}
	return c
}

// measureEvent triggers event, waits for done and for at least minDuration, and prints
// the fleet's average rates since just before the event and their highest values in one second.
func (f *fleet) measureEvent(name string, minDuration time.Duration, event func() error, done func() bool) error {
	const step, timeout = 100 * time.Millisecond, 40 * time.Second
	start, cpu := time.Now(), cpuTime()
	samples := []counters{f.counters()}
	if err := event(); err != nil {
		return err
	}
	var doneAfter time.Duration
	for time.Since(start) < timeout && (doneAfter == 0 || time.Since(start) < minDuration) {
		time.Sleep(step)
		samples = append(samples, f.counters())
		if doneAfter == 0 && done() {
			doneAfter = time.Since(start)
		}
	}
	elapsed := time.Since(start).Seconds()
	first, last := samples[0], samples[len(samples)-1]
	var peak counters
	for i := range samples {
		s, e := samples[max(0, i-10)], samples[i]
		peak.messages = max(peak.messages, e.messages-s.messages)
		peak.reads = max(peak.reads, e.reads-s.reads)
		peak.writes = max(peak.writes, e.writes-s.writes)
	}
	state := fmt.Sprintf("%6.1f", doneAfter.Seconds())
	if doneAfter == 0 {
		state = "  none"
	}
	fmt.Printf("%-42s %s %6.1f %10.0f %10.0f %7.1f %7.0f %7.1f %7.0f %6.1f\n", name, state, elapsed,
		(last.messages-first.messages)/elapsed, (last.bytes-first.bytes)/elapsed, (last.reads-first.reads)/elapsed, peak.reads,
		(last.writes-first.writes)/elapsed, peak.writes, (cpuTime()-cpu).Seconds()/elapsed*100)
	return nil
}

const eventHeader = "                                           done_s took_s messages/s     sent_B/s reads/s  peak_r writes/s peak_w  cpu_%"

// allSee reports whether each given host is ready and has exactly n hosts in its snapshot.
func allSee(hosts []*runner.Host, n int) bool {
	for _, h := range hosts {
		if !h.Snapshot().Ready() || len(h.Snapshot().Hosts()) != n {
			return false
		}
	}
	return true
}

// usableShareSlots returns the total number of share slots that the given hosts may use.
func usableShareSlots(hosts []*runner.Host) int {
	n := 0
	for _, h := range hosts {
		n += int(h.Meter().Get("share_slots"))
	}
	return n
}

func (f *fleet) kill(n int) {
	f.mu.Lock()
	delete(f.byPeerAddress, f.hosts[n].PeerAddress())
	f.mu.Unlock()
	f.hosts[n].Kill()
}

// measureEvents prints what single events cost a fleet of the given size. Each row is for
// the whole fleet; done_s is the time until the state named in the row was reached.
func measureEvents(ctx context.Context, size int) error {
	fmt.Printf("\nevents, %d hosts, whole fleet\n%s\n", size, eventHeader)
	f, err := startFleet(ctx, setup{hosts: size, workspaces: 8})
	defer f.close()
	if err != nil {
		return err
	}
	allSlotsInUse := func() bool { return allSee(f.hosts, size) && usableShareSlots(f.hosts) == shareSlots }
	always := func() bool { return true }
	isolated, _ := placeOf(size - 1)
	_, lostZone := placeOf(0)
	var remaining []*runner.Host
	for _, e := range []struct {
		name        string
		minDuration time.Duration
		event       func()
		done        func() bool
	}{
		{"calm", 10 * time.Second, func() {}, always},
		{"20 hosts restarted: all slots in use", 10 * time.Second, func() { err = f.restartHosts(20) }, allSlotsInUse},
		{"store away", 12 * time.Second, func() { f.platform.SetFaults(emulator.Faults{Down: true}) }, always},
		{"store back: all slots in use", 10 * time.Second, func() { f.platform.SetFaults(emulator.Faults{}) }, allSlotsInUse},
		{"region cut off", 12 * time.Second, func() { f.isolatedRegion.Store(&isolated) }, always},
		{"region back: all hosts seen, slots in use", 10 * time.Second, func() { f.isolatedRegion.Store(nil) }, allSlotsInUse},
		{"zone lost: no longer seen", 0, func() { remaining = f.killZone(lostZone) }, func() bool { return allSee(remaining, len(remaining)) }},
		{"zone lost: its slots reclaimed, after that", 0, func() {}, func() bool { return usableShareSlots(remaining) == shareSlots }},
	} {
		if measureErr := f.measureEvent(e.name, e.minDuration, func() error { e.event(); return err }, e.done); measureErr != nil {
			return measureErr
		}
	}
	return nil
}

// restartHosts kills the first n hosts and starts them again under the same names.
func (f *fleet) restartHosts(n int) error {
	for i := range n {
		f.kill(i)
	}
	for i := range n {
		if err := f.start(i); err != nil {
			return err
		}
	}
	return nil
}

// killZone kills the hosts of an availability zone and returns the others.
func (f *fleet) killZone(lostZone string) []*runner.Host {
	var remaining []*runner.Host
	for n, h := range f.hosts {
		if _, zone := placeOf(n); zone == lostZone {
			f.kill(n)
		} else {
			remaining = append(remaining, h)
		}
	}
	return remaining
}
