package player

import (
	"sync"
	"time"
)

// Attempt is one sending of a request to one host, as the caller saw it.
type Attempt struct {
	// ID identifies the request; a repeat after a refusal keeps it.
	ID string
	// Number tells the tries of one run of a scenario apart.
	Number int
	// Workspace whose key was sent, empty on open routes.
	Workspace string
	// Key that was sent.
	Key string
	// Host that received the try.
	Host string
	// Service that was asked for.
	Service string
	// SentAt and EndedAt are times since the start of the scenario.
	SentAt, EndedAt time.Duration
	// Status is the HTTP status, zero when there was no answer.
	Status int
	// Outcome and Reason are those of a refusal.
	Outcome, Reason string
	// Interrupted says that the connection ended before the whole answer.
	Interrupted bool
	// Mismatched says that the answer belongs to another request or is not whole.
	Mismatched bool
	// IsFinal says that the caller took this as the result of the request.
	IsFinal bool
	// IsFirst says that this is the first try of the request.
	IsFirst bool
}

// Arrival is a request that reached a backend server.
type Arrival struct {
	Time time.Duration
	// AttemptNumber is the number of the caller's try.
	AttemptNumber int
	// ID identifies the request.
	ID string
	// AtMostOnce says that the request may not run twice.
	AtMostOnce bool
	// Workspace, Service and Server that the request was for.
	Workspace, Service, Server string
	// EntryRegion is the region of the entry host, ServerRegion that of the server.
	EntryRegion, ServerRegion string
	// KeySeen says that a header carried a key.
	KeySeen bool
	// InFlight counts the requests at the server including this one; Slots is its number of slots.
	InFlight, Slots int
}

// Admission is a request that passed its workspace's rate at a host.
type Admission struct {
	Time      time.Duration
	Workspace string
}

// Sample is a host's own view at one time.
type Sample struct {
	Time     time.Duration
	Host     string
	Ready    bool
	Versions map[string]uint64
}

// RateLimit is a limit of a token bucket from a time on.
type RateLimit struct {
	ValidFrom time.Duration
	PerSecond float64
	Burst     float64
}

// Journal is all that the checkers need to know about a run.
type Journal struct {
	mu         sync.Mutex
	attempts   []Attempt
	arrivals   []Arrival
	admissions []Admission
	samples    []Sample

	// rateLimits are the limits of each workspace in order of time.
	rateLimits map[string][]RateLimit
	// shiftCaps are the limits of shifts by service, from and to, see capName.
	shiftCaps map[string]RateLimit
	// revokedAt holds when each key was revokedAt.
	revokedAt map[string]time.Duration
	// stopStartedAt holds when the planned stop of each host began.
	stopStartedAt map[string]time.Duration
	// drainStartedAt holds when each backend server began to leave.
	drainStartedAt map[string]time.Duration
}

func newJournal() *Journal {
	return &Journal{
		rateLimits: make(map[string][]RateLimit), shiftCaps: make(map[string]RateLimit),
		revokedAt: make(map[string]time.Duration), stopStartedAt: make(map[string]time.Duration),
		drainStartedAt: make(map[string]time.Duration),
	}
}

// shiftCapName names the limit of a shift as the design page does.
func shiftCapName(service, from, to string) string {
	return "shift/" + service + "/" + from + "/" + to
}

func record[T any](j *Journal, list *[]T, v T) {
	j.mu.Lock()
	defer j.mu.Unlock()
	*list = append(*list, v)
}

// addSampleIfChanged keeps a sample only when it differs from the host's last one.
func (j *Journal) addSampleIfChanged(s Sample, last map[string]Sample) {
	old, ok := last[s.Host]
	if ok && old.Ready == s.Ready && equalVersions(old.Versions, s.Versions) {
		return
	}
	last[s.Host] = s
	record(j, &j.samples, s)
}

func equalVersions(a, b map[string]uint64) bool {
	for _, m := range []map[string]uint64{a, b} {
		for kind := range m {
			if a[kind] != b[kind] {
				return false
			}
		}
	}
	return true
}
