package forwarder

import "sync"

// Limits of the retry budget.
const (
	// defaultRetryPercent is used when the settings name no percentage.
	defaultRetryPercent = 10
	// retryCost is one retry in the budget's unit, a hundredth of a request.
	retryCost = 100
	// maxRetryCredit bounds saved credit to 100 retries, so that a long quiet
	// period cannot pay for a burst of retries in an outage.
	maxRetryCredit = 100 * retryCost
)

// RetryBudget allows a percentage of the requests sent to be sent again. It
// starts empty, so retries never exceed that percentage, from the first request on.
type RetryBudget struct {
	mu     sync.Mutex
	credit int64
}

// CountRequest records the first attempt of a request; percent zero means the default.
func (b *RetryBudget) CountRequest(percent uint32) {
	if percent == 0 {
		percent = defaultRetryPercent
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+int64(percent), maxRetryCredit)
}

// TakeRetry pays for one retry and reports whether the budget allows it.
func (b *RetryBudget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < retryCost {
		return false
	}
	b.credit -= retryCost
	return true
}

// CanRetry reports whether the budget allows a retry now, without paying for it.
func (b *RetryBudget) CanRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.credit >= retryCost
}
