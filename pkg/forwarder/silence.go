package forwarder

import (
	"sync"

	"catkindyke/pkg/clock"
)

// SilenceTracker tells a silent connection from a silent backend server.
type SilenceTracker struct {
	mu      sync.Mutex
	servers map[string]*serverSilence
}

type serverSilence struct {
	lastResponse        clock.Millis
	consecutiveSilences int
}

// NewSilenceTracker returns an empty record.
func NewSilenceTracker() *SilenceTracker {
	return &SilenceTracker{servers: make(map[string]*serverSilence)}
}

func (s *SilenceTracker) forServer(server string) *serverSilence {
	r := s.servers[server]
	if r == nil {
		r = &serverSilence{lastResponse: -1}
		s.servers[server] = r
	}
	return r
}

// RecordResponse records that the server answered on some connection.
func (s *SilenceTracker) RecordResponse(server string, now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.forServer(server)
	r.lastResponse, r.consecutiveSilences = now, 0
}

// RecordSilence records that a request sent at a time got no answer, and reports
// whether the server itself is to blame: it has not answered on any other
// connection since, and this is at least the second such request in a row.
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
