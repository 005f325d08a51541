package runner

import (
	"log"
	"strings"

	"github.com/rs/zerolog"
)

// errorWriter writes each message of net/http as one log event.
type errorWriter struct {
	log zerolog.Logger
}

// Write implements io.Writer. It replaces line breaks, because the message of a panic
// contains its stack.
func (w errorWriter) Write(p []byte) (int, error) {
	w.log.Warn().Str("error", strings.ReplaceAll(strings.TrimSpace(string(p)), "\n", " | ")).Msg("http_server_error")
	return len(p), nil
}

// newErrorLog returns a logger for the errors of an HTTP server.
func newErrorLog(l zerolog.Logger) *log.Logger {
	return log.New(errorWriter{l}, "", 0)
}
