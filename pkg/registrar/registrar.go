// Package registrar keeps the list of backend servers that announce
// themselves. It is pure: the caller gives the time and serializes the calls.
package registrar

import (
	"catkindyke/pkg/clock"
)

// missingGrace is the time after an outage of the store for which entries that
// are missing keep their place: servers that live announce themselves again
// within 2 s of the store's return.
const missingGrace clock.Millis = 2100

// recoveryTime is the time after an outage for which a removed entry may still
// be one that lapsed during it.
const recoveryTime clock.Millis = 2500

// Server is one start of a backend server.
type Server struct {
	// ID names the server towards the platform; an answer from another server is refused by it.
	ID      string
	Service string
	// Address is host:port.
	Address string
	Zone    string
	Region  string
	Slots   int
	// Draining servers get no new requests.
	Draining bool
	// ColdLeft is the time for which the server stayed cold when the entry was written.
	ColdLeft clock.Millis
	// StartUnixMs is the wall time of the server's start in Unix milliseconds, 0 when unknown.
	StartUnixMs int64
}

// minOutage is the shortest outage in which entries may lapse: servers renew
// them every second or so, and several renewals must fail.
const minOutage clock.Millis = 1000

// Entry is a server with what the registrar noted.
type Entry struct {
	Server
	// ColdUntil is the time until which the server counts as cold.
	ColdUntil clock.Millis
	// missingSince is set while the entry is missing from the store after an outage.
	missingSince clock.Millis
}

// Registrar holds the entries by ID.
type Registrar struct {
	entries map[string]Entry
	// inOutage says that the store does not answer, since outageStart; lastOutage is
	// the end of the last inOutage in which entries may have lapsed.
	inOutage                   bool
	outageStart, lastOutageEnd clock.Millis
}

// New returns an empty registrar.
func New() *Registrar {
	return &Registrar{entries: make(map[string]Entry), lastOutageEnd: -recoveryTime}
}

// StartOutage notes that the store does not answer.
func (r *Registrar) StartOutage(now clock.Millis) {
	if !r.inOutage {
		r.inOutage, r.outageStart = true, now
	}
}

// Replace takes a whole list. Entries that are missing from it are dropped at
// once, or after a grace time when the store was away.
func (r *Registrar) Replace(list []Server, now clock.Millis) {
	if r.inOutage {
		r.inOutage = false
		if now-r.outageStart >= minOutage {
			r.lastOutageEnd = now
		}
	}
	seen := make(map[string]bool, len(list))
	for _, s := range list {
		seen[s.ID] = true
		r.put(s, now)
	}
	for id := range r.entries {
		if !seen[id] {
			r.Remove(id, now)
		}
	}
}

// Put takes a new or changed entry.
func (r *Registrar) Put(s Server, now clock.Millis) { r.put(s, now) }

func (r *Registrar) put(s Server, now clock.Millis) {
	old, known := r.entries[s.ID]
	e := Entry{Server: s, ColdUntil: old.ColdUntil, missingSince: -1}
	if !known || s.StartUnixMs != old.StartUnixMs || s.ColdLeft > 0 {
		e.ColdUntil = max(e.ColdUntil, now+s.ColdLeft)
	}
	r.entries[s.ID] = e
}

// Remove takes note that an entry is gone.
func (r *Registrar) Remove(id string, now clock.Millis) {
	e, ok := r.entries[id]
	if !ok {
		return
	}
	if r.isRecovering(now) {
		if e.missingSince < 0 {
			e.missingSince = now
			r.entries[id] = e
		}
		return
	}
	delete(r.entries, id)
}

func (r *Registrar) isRecovering(now clock.Millis) bool {
	return r.inOutage || now-r.lastOutageEnd < recoveryTime
}

// Expire drops the entries that are still missing after the grace time and
// reports whether there were any.
func (r *Registrar) Expire(now clock.Millis) bool {
	dropped := false
	for id, e := range r.entries {
		if e.missingSince >= 0 && !r.inOutage && now-e.missingSince >= missingGrace {
			delete(r.entries, id)
			dropped = true
		}
	}
	return dropped
}

// MarkZoneCold marks the servers of a zone as cold, as they may be when they are
// taken back after an evacuation.
func (r *Registrar) MarkZoneCold(zone string, until func(service string) clock.Millis) {
	for id, e := range r.entries {
		if e.Zone == zone {
			e.ColdUntil = max(e.ColdUntil, until(e.Service))
			r.entries[id] = e
		}
	}
}

// MarkCold notes that a server says that it is cold for some time.
func (r *Registrar) MarkCold(id string, until clock.Millis) {
	if e, ok := r.entries[id]; ok {
		e.ColdUntil = max(e.ColdUntil, until)
		r.entries[id] = e
	}
}

// Entries returns the entries by ID; the map must not be changed.
func (r *Registrar) Entries() map[string]Entry { return r.entries }
