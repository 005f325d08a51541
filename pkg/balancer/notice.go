package balancer

import "catkindyke/pkg/clock"

// Notice is what a backend server says about itself in a response.
type Notice struct {
	// Limited is set if the server names a rate limit: the number of requests per second
	// that it takes from all hosts together, for as long as it says so.
	Limited   bool
	RateLimit float64
}

// observation is the latest notice of a server and the time at which it was received.
type observation struct {
	notice Notice
	at     clock.Millis
}

// recordNotice records the notice in a response and reports whether it differs from the
// previous one.
func (s *server) recordNotice(n Notice, now clock.Millis) (changed bool) {
	changed = s.direct.notice != n
	s.direct = observation{notice: n, at: now}
	return changed
}
