// Package logger writes each event as one line of key=value pairs.
package logger

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/rs/zerolog"
)

// Subsystems that can be logged.
const (
	Control = "control"
	Traffic = "traffic"
	Store   = "store"
	Peer    = "peer"
	Command = "command"
)

// Config selects what is logged and where.
type Config struct {
	// Output receives the lines; standard error when nil.
	Output io.Writer
	// Level is the lowest level logged: debug, info, warn or error.
	Level string
	// Subsystems limits the output to these; all when empty.
	Subsystems []string
	// Host is added to each line when set.
	Host string
}

// Factory creates the loggers of one process.
type Factory struct {
	base    zerolog.Logger
	enabled map[string]bool
}

// New returns a factory, or an error for an unknown level or subsystem.
func New(cfg Config) (*Factory, error) {
	level, err := zerolog.ParseLevel(cfg.Level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: use debug, info, warn or error", cfg.Level)
	}
	subsystems := []string{Control, Traffic, Store, Peer, Command}
	enabled := make(map[string]bool)
	for _, s := range subsystems {
		enabled[s] = len(cfg.Subsystems) == 0
	}
	for _, s := range cfg.Subsystems {
		if _, ok := enabled[s]; !ok {
			return nil, fmt.Errorf("log subsystem %q: use one of %s", s, strings.Join(subsystems, ", "))
		}
		enabled[s] = true
	}
	out := cfg.Output
	if out == nil {
		out = os.Stderr
	}
	ctx := zerolog.New(&lineWriter{out: out}).Level(level).With().Timestamp()
	if cfg.Host != "" {
		ctx = ctx.Str("host", cfg.Host)
	}
	return &Factory{base: ctx.Logger(), enabled: enabled}, nil
}

// Discard returns a factory whose loggers write nothing.
func Discard() *Factory {
	return &Factory{base: zerolog.Nop(), enabled: map[string]bool{}}
}

// For returns the logger of a subsystem.
func (f *Factory) For(subsystem string) zerolog.Logger {
	if !f.enabled[subsystem] {
		return zerolog.Nop()
	}
	return f.base.With().Str("subsystem", subsystem).Logger()
}

// lineWriter converts zerolog's JSON into lines of key=value pairs.
type lineWriter struct {
	mu  sync.Mutex
	out io.Writer
}

// leadingKeys come first in each line, in this order.
var leadingKeys = []string{"time", "level", "host", "subsystem", "message"}

func (w *lineWriter) Write(p []byte) (int, error) {
	var fields map[string]any
	dec := json.NewDecoder(strings.NewReader(string(p)))
	dec.UseNumber()
	if err := dec.Decode(&fields); err != nil {
		return 0, err
	}
	var b strings.Builder
	for _, k := range leadingKeys {
		if v, ok := fields[k]; ok {
			name := k
			if k == "message" {
				name = "event"
			}
			writePair(&b, name, v)
			delete(fields, k)
		}
	}
	otherKeys := make([]string, 0, len(fields))
	for k := range fields {
		otherKeys = append(otherKeys, k)
	}
	sort.Strings(otherKeys)
	for _, k := range otherKeys {
		writePair(&b, k, fields[k])
	}
	b.WriteByte('\n')
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := io.WriteString(w.out, b.String()); err != nil {
		return 0, err
	}
	return len(p), nil
}

func writePair(b *strings.Builder, key string, value any) {
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	s := fmt.Sprint(value)
	if s == "" || strings.ContainsAny(s, " \"=\n\t\r") {
		s = strconv.Quote(s)
	}
	b.WriteString(key + "=" + s)
}
