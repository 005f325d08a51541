package tracker

import "catkindyke/pkg/clock"

const (
	// ReturnDelay is how long a failed region must have live hosts without
	// interruption before it takes traffic from other regions again.
	ReturnDelay = 3 * clock.Second
	// ReturnRamp is the time over which a returned region's traffic grows to its full share.
	ReturnRamp = 10 * clock.Second
	// FullHealth is the health of a region that takes its full share of traffic, in per mille.
	FullHealth = 1000
)

// RegionEvent says that a region has failed or returned.
type RegionEvent struct {
	Region string
	Failed bool
}

// RegionTracker tracks which regions have live hosts, as seen by one host. A host
// counts as live for LivenessTimeout, so a region fails when all of its hosts have
// been silent for longer.
type RegionTracker struct {
	byName map[string]*regionState
}

type regionState struct {
	failed bool
	// since is when the region failed, got live hosts again or returned.
	since clock.Millis
	live  bool
	// neverLive says that the region has had no live host since this host first observed it.
	neverLive bool
	// ramping says that the region has returned, and its ramp started at since.
	ramping bool
}

// NewRegionTracker returns a tracker without regions.
func NewRegionTracker() *RegionTracker { return &RegionTracker{byName: make(map[string]*regionState)} }

// Update takes the configured regions and the set of regions with a live host, and
// returns the changes.
func (r *RegionTracker) Update(regions []string, live map[string]bool, now clock.Millis) []RegionEvent {
	var events []RegionEvent
	for _, name := range regions {
		s := r.byName[name]
		if s == nil {
			s = &regionState{failed: !live[name], neverLive: true, since: now}
			r.byName[name] = s
		}
		switch {
		case !live[name] && !s.failed:
			*s = regionState{failed: true, since: now}
			events = append(events, RegionEvent{name, true})
		case !live[name]:
			s.live = false
		case s.failed && s.neverLive && now-s.since <= ReturnDelay:
			// This host has just started and receives the first reports of its peers.
			*s = regionState{}
		case s.failed && !s.live:
			s.live, s.since = true, now
		case s.failed && now-s.since >= ReturnDelay:
			*s = regionState{ramping: true, since: now}
			events = append(events, RegionEvent{name, false})
		}
	}
	return events
}

// Health returns the part of its share of traffic that a region takes, in per mille.
// It is 0 for an unknown region.
func (r *RegionTracker) Health(name string, now clock.Millis) int {
	s := r.byName[name]
	switch {
	case s == nil || s.failed:
		return 0
	case !s.ramping:
		return FullHealth
	}
	return int(min(FullHealth, 1+(now-s.since)*FullHealth/ReturnRamp))
}
