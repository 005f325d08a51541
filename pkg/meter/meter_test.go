package meter

import (
	"strings"
	"testing"
)

func TestWriteText(t *testing.T) {
	m := New()
	m.Add("answers", 2)
	m.Set("config_version", 7)
	for ms := range int64(100) {
		m.Observe("request_ms", ms)
	}
	m.Observe("request_ms", 10_000_000)
	var b strings.Builder
	m.WriteText(&b)
	for _, want := range []string{
		"answers 2\n", "config_version 7\n", "request_ms_count 101\n", "request_ms{quantile=\"0.5\"} 50\n", "request_ms_max ",
	} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no %q in:\n%s", want, b.String())
		}
	}
}
