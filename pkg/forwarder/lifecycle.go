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

// Lifecycle is the state machine of one request. It knows whether a backend
// server can have run the request, so a refusal takes its outcome from here.
type Lifecycle struct {
	state  State
	copies int
}

// Transition moves to the next state and reports whether the move is allowed. A failed
// attempt moves back to StateAdmitted, from where another permit is acquired.
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

// RevertSend takes back the last attempt after proof that none of its bytes left
// the host, and moves to StateAdmitted.
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

// Copies returns the number of attempts of which a byte may have left the host.
func (l *Lifecycle) Copies() int { return l.copies }

// Outcome returns what a refusal may say in the current state.
func (l *Lifecycle) Outcome() Outcome {
	if l.copies == 0 {
		return NotRun
	}
	return MayHaveRun
}
