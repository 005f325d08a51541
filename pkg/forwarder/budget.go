package forwarder

import "sync"

// Limits of the retry budget.
const (
	// defaultRetryPercent applies if the settings contain no percentage.
	defaultRetryPercent = 10
	// retryCost is the credit that one retry takes. The unit is a hundredth of a retry, so
	// that each request earns its percentage.
	retryCost = 100
	// maxRetryCredit limits the saved credit to 100 retries, so that a long quiet period
	// cannot pay for a burst of retries during an outage.
	maxRetryCredit = 100 * retryCost
)

// RetryBudget limits retries to a percentage of the requests sent. It starts empty, so that
// retries never exceed this percentage, not even at the start.
type RetryBudget struct {
	mu     sync.Mutex
	credit int64
}

// CountRequest adds the credit for the first attempt of a request. Zero percent means
// defaultRetryPercent.
func (b *RetryBudget) CountRequest(percent uint32) {
	if percent == 0 {
		percent = defaultRetryPercent
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+int64(percent), maxRetryCredit)
}

// TakeRetry takes the credit for one retry and reports whether there was enough.
func (b *RetryBudget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < retryCost {
		return false
	}
	b.credit -= retryCost
	return true
}

// CanRetry reports whether there is enough credit for a retry, without taking it.
func (b *RetryBudget) CanRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.credit >= retryCost
}
