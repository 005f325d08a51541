package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"catkindyke/pkg/authenticator"
	"catkindyke/pkg/emulator"
	"catkindyke/pkg/forwarder"
	"catkindyke/service/apiserver"
)

// loadFraction is the fraction of each workspace's rate that the demo sends.
const loadFraction = 0.5

// loadGenerator sends requests to a demo and checks every response.
type loadGenerator struct {
	demo   *demo
	client *http.Client

	mu          sync.Mutex
	summary     loadSummary
	lookupCache map[string]cachedAnswer
}

type cachedAnswer struct {
	answer  apiserver.LookupAnswer
	expires time.Time
}

// loadSummary counts the outcomes of the generated requests.
type loadSummary struct {
	sent, answered, refused, failed int
	mismatched                      int
	duplicateRuns                   int
	falseNotRun                     int
	leakedKeys, overloads           int64
	latency                         *hdrhistogram.Histogram
	notRunIDs                       map[string]bool
	nonIdempotentIDs                map[string]bool
}

func newLoadGenerator(d *demo) *loadGenerator {
	return &loadGenerator{
		demo: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		lookupCache: make(map[string]cachedAnswer),
		summary: loadSummary{
			latency:   hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
			notRunIDs: make(map[string]bool), nonIdempotentIDs: make(map[string]bool),
		},
	}
}

// run sends requests for every workspace at loadFraction of its rate.
func (l *loadGenerator) run(ctx context.Context, duration time.Duration) *loadSummary {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var wg sync.WaitGroup
	for _, w := range l.demo.cfg.GetWorkspaces() {
		wg.Go(func() {
			l.sendForWorkspace(ctx, &wg, w.GetName(), time.Duration(float64(time.Second)/(w.GetRatePerS()*loadFraction)))
		})
	}
	wg.Wait()
	l.checkBackendRuns()
	return &l.summary
}

func (l *loadGenerator) sendForWorkspace(ctx context.Context, wg *sync.WaitGroup, workspace string, interval time.Duration) {
	services := l.demo.cfg.GetServices()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		service := services[n%len(services)].GetName()
		wg.Go(func() { l.sendRequest(workspace, service, n) })
	}
}

// sendRequest sends and records one request. Every third is a POST, which must not
// run twice.
func (l *loadGenerator) sendRequest(workspace, service string, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	id := fmt.Sprintf("%s-%s-%d", workspace, service, n)
	method, body := http.MethodGet, ""
	if n%3 == 0 {
		method, body = http.MethodPost, "order "+id
	}
	start := time.Now()
	status, outcome, echo, err := l.doRequest(ctx, workspace, service, method, id, body)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.summary.sent++
	if method == http.MethodPost {
		l.summary.nonIdempotentIDs[id] = true
	}
	switch {
	case err != nil:
		l.summary.failed++
	case status != http.StatusOK:
		l.summary.refused++
		if outcome == string(forwarder.NotRun) {
			l.summary.notRunIDs[id] = true
		}
	case echo.RequestID != id || echo.Workspace != workspace || echo.Method != method || echo.Body != body:
		l.summary.mismatched++
	default:
		l.summary.answered++
		_ = l.summary.latency.RecordValue(time.Since(start).Microseconds())
	}
}

func (l *loadGenerator) doRequest(ctx context.Context, workspace, service, method, id, body string) (int, string, emulator.Echo, error) {
	var echo emulator.Echo
	answer, err := l.lookup(ctx, service)
	if err != nil || len(answer.Hosts) == 0 {
		return 0, "", echo, fmt.Errorf("look-up: %w", err)
	}
	target := "http://" + answer.Hosts[0].Address + "/" + service + "/demo"
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", echo, err
	}
	req.Header.Set(authenticator.KeyHeader, l.demo.workspaceKeys[workspace])
	req.Header.Set(emulator.RequestIDHeader, id)
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, "", echo, err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", echo, err
	}
	if resp.StatusCode == http.StatusOK {
		err = json.Unmarshal(content, &echo)
	}
	return resp.StatusCode, resp.Header.Get(forwarder.OutcomeHeader), echo, err
}

// lookup returns a cached look-up answer until its TTL ends, as callers do.
func (l *loadGenerator) lookup(ctx context.Context, service string) (apiserver.LookupAnswer, error) {
	l.mu.Lock()
	cached, ok := l.lookupCache[service]
	l.mu.Unlock()
	if ok && time.Now().Before(cached.expires) {
		return cached.answer, nil
	}
	answer, err := lookup(ctx, l.demo.hosts[0].CallerAddress(), service)
	if err != nil {
		return answer, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lookupCache[service] = cachedAnswer{answer, time.Now().Add(time.Duration(answer.TTLMs) * time.Millisecond)}
	return answer, nil
}

// checkBackendRuns compares the responses with the requests that the backend servers
// ran.
func (l *loadGenerator) checkBackendRuns() {
	runs := make(map[string]int)
	for _, b := range l.demo.backendServers {
		l.summary.leakedKeys += b.RequestsWithKey()
		l.summary.overloads += b.Overloads()
		for id, n := range b.RequestsByID() {
			runs[id] += n
		}
	}
	for id, n := range runs {
		if n > 1 && l.summary.nonIdempotentIDs[id] {
			l.summary.duplicateRuns++
		}
		if l.summary.notRunIDs[id] {
			l.summary.falseNotRun++
		}
	}
}

// hasFaults reports whether an invariant was violated, a request got no response, or
// no request succeeded.
func (s *loadSummary) hasFaults() bool {
	return s.mismatched > 0 || s.duplicateRuns > 0 || s.falseNotRun > 0 || s.leakedKeys > 0 || s.overloads > 0 ||
		s.failed > 0 || s.answered == 0
}

// String returns one name=value line per count.
func (s *loadSummary) String() string {
	return fmt.Sprintf(`sent=%d
answered=%d
refused=%d
failed=%d
foreign_answers=%d
second_runs=%d
false_not_run=%d
keys_seen_by_backends=%d
region_overloads=%d
latency_p50_ms=%.1f
latency_p99_ms=%.1f
`, s.sent, s.answered, s.refused, s.failed, s.mismatched, s.duplicateRuns, s.falseNotRun, s.leakedKeys, s.overloads,
		float64(s.latency.ValueAtQuantile(50))/1000, float64(s.latency.ValueAtQuantile(99))/1000)
}
