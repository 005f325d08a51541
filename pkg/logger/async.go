package logger

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// asyncLines is the number of lines that wait for a slow output before the
// oldest are dropped.
const asyncLines = 4096

// NewAsync returns a writer that never blocks. When the output falls behind,
// lines are dropped and their number is written.
func NewAsync(out io.Writer) io.WriteCloser {
	return diode.NewWriter(out, asyncLines, 0, func(missed int) {
		// The output is the only place to tell of the loss; the next lines may fit.
		_, _ = fmt.Fprintf(out, "level=warn event=log_lines_dropped count=%d\n", missed)
	})
}

const (
	// infoBurst and warnBurst are the lines a second of requests that went well and
	// of all others. A host serves about 65 requests a second on an ordinary day.
	infoBurst, warnBurst = 100, 400
)

// RateLimited returns a logger for events that come with the load: above a number
// of lines a second, lines are left out and dropped is called for each.
func RateLimited(log zerolog.Logger, dropped func()) zerolog.Logger {
	count := func(burst uint32) zerolog.Sampler {
		return &countingSampler{next: &zerolog.BurstSampler{Burst: burst, Period: time.Second}, dropped: dropped}
	}
	return log.Sample(zerolog.LevelSampler{InfoSampler: count(infoBurst), WarnSampler: count(warnBurst)})
}

// countingSampler reports the lines that another sampler leaves out.
type countingSampler struct {
	next    zerolog.Sampler
	dropped func()
}

// Sample implements zerolog.Sampler.
func (s *countingSampler) Sample(level zerolog.Level) bool {
	if s.next.Sample(level) {
		return true
	}
	s.dropped()
	return false
}
