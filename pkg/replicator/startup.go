package replicator

import "catkindyke/pkg/clock"

// StoreTimeout is the time after the start for which a host waits for the store
// before it takes its state from peers alone.
const StoreTimeout = 3 * clock.Second

// Startup decides when a starting host knows enough to serve. Hosts keep
// nothing over a restart, so a host that served the first version it saw could
// go back behind what it had in force before.
type Startup struct {
	startTime        clock.Millis
	requiredVersions map[string]uint64
	storeRead        bool
	hostListRead     bool
	peerCallDone     map[string]bool
	servingAnswers   int
	ready            bool
}

// NewStartup returns the state of a host that starts now.
func NewStartup(now clock.Millis) *Startup {
	return &Startup{startTime: now, requiredVersions: make(map[string]uint64), peerCallDone: make(map[string]bool)}
}

// RecordStoreVersions takes the versions of all heads in the store.
func (s *Startup) RecordStoreVersions(versions map[string]uint64) {
	s.storeRead = true
	s.requireVersions(versions)
}

// RecordHostList notes that the platform's list of hosts was read.
func (s *Startup) RecordHostList() { s.hostListRead = true }

// RecordPeerCall notes that a first call to a peer is under way.
func (s *Startup) RecordPeerCall(address string) {
	if _, ok := s.peerCallDone[address]; !ok {
		s.peerCallDone[address] = false
	}
}

// RecordPeerResult notes that a call to a peer ended. Versions are nil when it failed,
// or when the peer is itself starting and has nothing to vouch for.
func (s *Startup) RecordPeerResult(address string, versions map[string]uint64) {
	s.peerCallDone[address] = true
	if versions != nil {
		s.servingAnswers++
		s.requireVersions(versions)
	}
}

func (s *Startup) requireVersions(versions map[string]uint64) {
	for kind, v := range versions {
		s.requiredVersions[kind] = max(s.requiredVersions[kind], v)
	}
}

// Ready reports whether the documents held are as new as everything heard. The
// host must have heard from the store, or after StoreWait from a peer that
// serves, and must have tried each peer that it knows. Once ready it stays so.
func (s *Startup) Ready(held map[string]uint64, now clock.Millis) bool {
	if s.ready {
		return true
	}
	if held[KindConfig] == 0 || !s.hasSource(now) {
		return false
	}
	for _, done := range s.peerCallDone {
		if !done {
			return false
		}
	}
	for kind, v := range s.requiredVersions {
		if held[kind] < v {
			return false
		}
	}
	s.ready = true
	return true
}

func (s *Startup) hasSource(now clock.Millis) bool {
	if s.storeRead && s.hostListRead {
		return true
	}
	return now-s.startTime >= StoreTimeout && s.servingAnswers > 0
}
