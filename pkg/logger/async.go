package logger

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// asyncBufferLines is the number of lines that wait for a slow output before the
// oldest are dropped.
const asyncBufferLines = 4096

// NewAsync returns a writer that never blocks. When out falls behind, lines are
// dropped and their number is written.
func NewAsync(out io.Writer) io.WriteCloser {
	return diode.NewWriter(out, asyncBufferLines, 0, func(dropped int) {
		// The loss can only be reported to the same output, which may accept the
		// next lines.
		_, _ = fmt.Fprintf(out, "level=warn event=log_lines_dropped count=%d\n", dropped)
	})
}

const (
	// infoBurst and warnBurst are the maximum numbers of lines per second for
	// successful requests and for all others. A host serves about 65 requests per
	// second on an ordinary day.
	infoBurst, warnBurst = 100, 400
)

// RateLimited returns a logger for events whose number grows with the load: above a
// number of lines per second, lines are dropped and onDrop is called for each.
func RateLimited(log zerolog.Logger, onDrop func()) zerolog.Logger {
	newSampler := func(burst uint32) zerolog.Sampler {
		return &countingSampler{next: &zerolog.BurstSampler{Burst: burst, Period: time.Second}, onDrop: onDrop}
	}
	return log.Sample(zerolog.LevelSampler{InfoSampler: newSampler(infoBurst), WarnSampler: newSampler(warnBurst)})
}

// countingSampler calls onDrop for each line that next drops.
type countingSampler struct {
	next   zerolog.Sampler
	onDrop func()
}

// Sample implements zerolog.Sampler.
func (s *countingSampler) Sample(level zerolog.Level) bool {
	if s.next.Sample(level) {
		return true
	}
	s.onDrop()
	return false
}
