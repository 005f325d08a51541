package player

import (
	"sync"
	"time"
)

// Try is one sending of a request to one host, as the caller saw it.
type Try struct {
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
	// Sent and Done are times since the start of the scenario.
	Sent, Done time.Duration
	// Status is the HTTP status, zero when there was no answer.
	Status int
	// Outcome and Reason are those of a refusal.
	Outcome, Reason string
	// Cut says that the connection ended before the whole answer.
	Cut bool
	// Foreign says that the answer belongs to another request or is not whole.
	Foreign bool
	// Last says that the caller took this as the result of the request.
	Last bool
	// First says that this is the first try of the request.
	First bool
}

// Arrival is a request that reached a backend server.
type Arrival struct {
	At time.Duration
	// Try is the number of the caller's try.
	Try int
	// ID identifies the request.
	ID string
	// Once says that the request may not run twice.
	Once bool
	// Workspace, Service and Server that the request was for.
	Workspace, Service, Server string
	// From is the region of the entry host, To that of the server.
	From, To string
	// KeySeen says that a header carried a key.
	KeySeen bool
	// InUse counts the requests at the server including this one; Slots is its number of slots.
	InUse, Slots int
}

// Admission is a request that passed its workspace's rate at a host.
type Admission struct {
	At        time.Duration
	Workspace string
}

// Sample is a host's own view at one time.
type Sample struct {
	At       time.Duration
	Host     string
	Ready    bool
	Versions map[string]uint64
}

// Rate is a limit of a token bucket from a time on.
type Rate struct {
	From      time.Duration
	PerSecond float64
	Burst     float64
}

// Journal is all that the checkers need to know about a run.
type Journal struct {
	mu         sync.Mutex
	tries      []Try
	arrivals   []Arrival
	admissions []Admission
	samples    []Sample

	// rates are the limits of each workspace in order of time.
	rates map[string][]Rate
	// caps are the limits of shifts by service, from and to, see capName.
	caps map[string]Rate
	// withdrawn holds when each key was withdrawn.
	withdrawn map[string]time.Duration
	// stops holds when the planned stop of each host began.
	stops map[string]time.Duration
	// leaving holds when each backend server began to leave.
	leaving map[string]time.Duration
}

func newJournal() *Journal {
	return &Journal{
		rates: make(map[string][]Rate), caps: make(map[string]Rate),
		withdrawn: make(map[string]time.Duration), stops: make(map[string]time.Duration),
		leaving: make(map[string]time.Duration),
	}
}

// capName names the limit of a shift as the design page does.
func capName(service, from, to string) string {
	return "shift/" + service + "/" + from + "/" + to
}

func record[T any](j *Journal, list *[]T, v T) {
	j.mu.Lock()
	defer j.mu.Unlock()
	*list = append(*list, v)
}

// addSample keeps a sample only when it differs from the host's last one.
func (j *Journal) addSample(s Sample, last map[string]Sample) {
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
