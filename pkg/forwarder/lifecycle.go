package forwarder

// State is the progress of a request through the forwarder.
type State int

// States of a request, in their usual order.
const (
	StateReceived State = iota
	StateAdmitted
	StatePermitted
	StateSent
	StateResponding
)

// Lifecycle is the state machine of one request. It tracks whether a backend server can
// have run the request, which determines the outcome of a refusal.
type Lifecycle struct {
	state  State
	copies int
}

// Transition moves to the next state and reports whether that is allowed. A failed attempt
// moves back to StateAdmitted, from which the next permit is acquired.
func (l *Lifecycle) Transition(next State) bool {
	switch {
	case next == l.state+1:
	case next == StateAdmitted && (l.state == StatePermitted || l.state == StateSent):
	default:
		return false
	}
	l.state = next
	if next == StateSent {
		l.copies++
	}
	return true
}

// RevertSend undoes the last transition to StateSent after proof that no byte of the
// attempt left the host, and moves to StateAdmitted.
func (l *Lifecycle) RevertSend() bool {
	if l.state != StateSent {
		return false
	}
	l.state = StateAdmitted
	l.copies--
	return true
}

// State returns the current state.
func (l *Lifecycle) State() State { return l.state }

// Copies returns the number of attempts of which any byte may have left the host.
func (l *Lifecycle) Copies() int { return l.copies }

// Outcome returns the outcome of a refusal in the current state.
func (l *Lifecycle) Outcome() Outcome {
	if l.copies == 0 {
		return NotRun
	}
	return MayHaveRun
}
