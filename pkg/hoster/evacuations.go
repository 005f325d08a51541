package hoster

import (
	"catkindyke/pkg/clock"
	"catkindyke/pkg/registrar"
)

// evacuationTTL is the time for which lifted evacuations are remembered.
const evacuationTTL = 600 * clock.Second

// evacuations tracks which zones get no requests.
type evacuations struct {
	active map[string]bool
	// liftedAt holds the times at which evacuations were lifted.
	liftedAt map[string]clock.Millis
	// provisionalUntil is the time until which lists may be older than what is known here,
	// because the store was restored from a backup.
	provisionalUntil clock.Millis
}

func newEvacuations() *evacuations {
	return &evacuations{active: make(map[string]bool), liftedAt: make(map[string]clock.Millis)}
}

// startRestore records that the store was restored from a backup.
func (e *evacuations) startRestore(now clock.Millis) {
	e.provisionalUntil = now + registrar.RestoreGrace
}

// set sets whether a zone is evacuated, and reports whether that has changed.
func (e *evacuations) set(zone string, active bool, now clock.Millis) bool {
	if e.active[zone] == active {
		return false
	}
	if active {
		e.active[zone] = true
	} else {
		delete(e.active, zone)
		e.liftedAt[zone] = now
	}
	return true
}

// differences returns the zones whose evacuation a list of all evacuated zones begins or lifts. A
// provisional list only begins those that were not lifted before: it may lack what was
// ordered, and have what was lifted, since the backup was made.
func (e *evacuations) differences(list []string, now clock.Millis) (begun, lifted []string) {
	listed := make(map[string]bool, len(list))
	isProvisional := now < e.provisionalUntil
	for _, zone := range list {
		listed[zone] = true
		at, wasLifted := e.liftedAt[zone]
		if !e.active[zone] && !(isProvisional && wasLifted && now-at <= evacuationTTL) {
			begun = append(begun, zone)
		}
	}
	for zone := range e.active {
		if !listed[zone] && !isProvisional {
			lifted = append(lifted, zone)
		}
	}
	return begun, lifted
}
