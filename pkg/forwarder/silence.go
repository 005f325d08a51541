package forwarder

import (
	"sync"

	"catkindyke/pkg/clock"
)

// SilenceTracker distinguishes a backend server that stopped responding from a single
// connection that did.
type SilenceTracker struct {
	mu      sync.Mutex
	servers map[string]*silence
}

// silence holds when a backend server last responded and how many requests in a row have
// got no response since.
type silence struct {
	lastResponse        clock.Millis
	consecutiveSilences int
}

// NewSilenceTracker returns a tracker without records.
func NewSilenceTracker() *SilenceTracker { return &SilenceTracker{servers: make(map[string]*silence)} }

func (s *SilenceTracker) forServer(server string) *silence {
	r := s.servers[server]
	if r == nil {
		r = &silence{lastResponse: -1}
		s.servers[server] = r
	}
	return r
}

// RecordResponse records that the server responded on any connection.
func (s *SilenceTracker) RecordResponse(server string, now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.forServer(server)
	r.lastResponse, r.consecutiveSilences = now, 0
}

// RecordSilence records that a request sent at sentAt got no response. It reports whether
// the server is at fault: it has not responded on any connection since sentAt, and this is
// at least the second such request in a row.
func (s *SilenceTracker) RecordSilence(server string, sentAt clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.forServer(server)
	if r.lastResponse >= sentAt {
		return false
	}
	r.consecutiveSilences++
	return r.consecutiveSilences > 1
}
