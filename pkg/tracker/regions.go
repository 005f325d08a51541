package tracker

import "catkindyke/pkg/clock"

const (
	// ReturnDelay is how long a failed region has to be heard without a gap
	// before it takes traffic from other regions again.
	ReturnDelay = 3 * clock.Second
	// ReturnRamp is the time in which a returned region's part grows to the whole.
	ReturnRamp = 10 * clock.Second
	// FullHealth is the health of a region that takes its whole part, in per mille.
	FullHealth = 1000
)

// RegionEvent tells that a region started to count as failed or returned.
type RegionEvent struct {
	Region string
	Failed bool
}

// RegionTracker follows which regions have live hosts, as seen from one host. A host
// counts as live for SuspectAfter, so a region fails when none of its hosts was
// heard for longer.
type RegionTracker struct {
	byName map[string]*regionState
}

type regionState struct {
	failed bool
	// since is when the region failed, or when it was heard again after that.
	since clock.Millis
	live  bool
	// neverLive says that the region was never heard since the host began to look.
	neverLive bool
	// ramping says that the region has returned and since starts its ramping.
	ramping bool
}

// NewRegionTracker returns a Regions that has seen no region yet.
func NewRegionTracker() *RegionTracker { return &RegionTracker{byName: make(map[string]*regionState)} }

// Update takes the regions of the configuration and those with a live host,
// and returns what changed.
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
			// The host itself has just started and hears its peers for the first time.
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

// Health returns the part of its traffic that a region takes, in per mille; a
// region that was never observed takes none.
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
