package replicator

import "catkindyke/pkg/clock"

// StoreTimeout is how long a starting host waits for the store before it accepts
// its state from peers alone.
const StoreTimeout = 3 * clock.Second

// Startup decides when a starting host has documents that are new enough to serve
// with. Hosts keep no state across restarts, so a host that served with the first
// versions it received could go back to older ones than before its restart.
type Startup struct {
	startTime        clock.Millis
	requiredVersions map[string]uint64
	storeRead        bool
	hostListRead     bool
	peerCallDone     map[string]bool
	servingAnswers   int
	ready            bool
}

// NewStartup returns the state of a host that starts at now.
func NewStartup(now clock.Millis) *Startup {
	return &Startup{startTime: now, requiredVersions: make(map[string]uint64), peerCallDone: make(map[string]bool)}
}

// RecordStoreVersions records the versions of the heads in the store.
func (s *Startup) RecordStoreVersions(versions map[string]uint64) {
	s.storeRead = true
	s.requireVersions(versions)
}

// RecordHostList records that the platform's list of hosts was read.
func (s *Startup) RecordHostList() { s.hostListRead = true }

// RecordPeerCall records that a call to a peer was started. Ready waits for the end
// of the first call to each peer.
func (s *Startup) RecordPeerCall(address string) {
	if _, ok := s.peerCallDone[address]; !ok {
		s.peerCallDone[address] = false
	}
}

// RecordPeerResult records the result of a call to a peer. Versions are nil if the
// call failed or the peer is itself starting, so that its versions may be old.
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

// Ready reports whether the held versions are at least as new as all recorded
// ones. The host must have read the store and the list of hosts, or after
// StoreTimeout have the result of a serving peer, and its first call to each known
// peer must have ended. Once ready, a host stays ready.
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
