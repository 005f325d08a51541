package logger

import (
	"fmt"
	"io"

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
