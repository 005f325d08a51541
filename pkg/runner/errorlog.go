package runner

import (
	"log"
	"strings"

	"github.com/rs/zerolog"
)

// errorWriter turns each message of net/http into one event.
type errorWriter struct {
	log zerolog.Logger
}

// Write implements io.Writer. A panic's stack is in the same message, so line breaks are replaced.
func (w errorWriter) Write(p []byte) (int, error) {
	w.log.Warn().Str("error", strings.ReplaceAll(strings.TrimSpace(string(p)), "\n", " | ")).Msg("http_server_error")
	return len(p), nil
}

// newErrorLog returns the logger of an HTTP server's own errors.
func newErrorLog(l zerolog.Logger) *log.Logger {
	return log.New(errorWriter{l}, "", 0)
}
