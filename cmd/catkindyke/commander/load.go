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

// loadShare is the part of each workspace's rate that the demo sends.
const loadShare = 0.5

// load sends traffic to a demo and checks every answer.
type load struct {
	demo   *demo
	client *http.Client

	mu      sync.Mutex
	sum     summary
	answers map[string]cachedAnswer
}

type cachedAnswer struct {
	answer apiserver.LookupAnswer
	until  time.Time
}

// summary counts what a load saw.
type summary struct {
	sent, answered, refused, failed int
	foreign                         int
	secondRuns                      int
	falseNotRun                     int
	keysSeen, overloads             int64
	latency                         *hdrhistogram.Histogram
	notRun                          map[string]bool
	once                            map[string]bool
}

func newLoad(d *demo) *load {
	return &load{
		demo: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		answers: make(map[string]cachedAnswer),
		sum: summary{
			latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
			notRun:  make(map[string]bool), once: make(map[string]bool),
		},
	}
}

// run sends requests of every workspace at half of its rate.
func (l *load) run(ctx context.Context, duration time.Duration) *summary {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var wg sync.WaitGroup
	for _, w := range l.demo.cfg.GetWorkspaces() {
		wg.Go(func() {
			l.sendWorkspace(ctx, &wg, w.GetName(), time.Duration(float64(time.Second)/(w.GetRatePerS()*loadShare)))
		})
	}
	wg.Wait()
	l.check()
	return &l.sum
}

func (l *load) sendWorkspace(ctx context.Context, wg *sync.WaitGroup, workspace string, every time.Duration) {
	services := l.demo.cfg.GetServices()
	tick := time.NewTicker(every)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		service := services[n%len(services)].GetName()
		wg.Go(func() { l.send(workspace, service, n) })
	}
}

// send makes one request; every third may not be repeated.
func (l *load) send(workspace, service string, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	id := fmt.Sprintf("%s-%s-%d", workspace, service, n)
	method, body := http.MethodGet, ""
	if n%3 == 0 {
		method, body = http.MethodPost, "order "+id
	}
	start := time.Now()
	status, outcome, echo, err := l.exchange(ctx, workspace, service, method, id, body)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum.sent++
	if method == http.MethodPost {
		l.sum.once[id] = true
	}
	switch {
	case err != nil:
		l.sum.failed++
	case status != http.StatusOK:
		l.sum.refused++
		if outcome == string(forwarder.NotRun) {
			l.sum.notRun[id] = true
		}
	case echo.RequestID != id || echo.Workspace != workspace || echo.Method != method || echo.Body != body:
		l.sum.foreign++
	default:
		l.sum.answered++
		_ = l.sum.latency.RecordValue(time.Since(start).Microseconds())
	}
}

func (l *load) exchange(ctx context.Context, workspace, service, method, id, body string) (int, string, emulator.Echo, error) {
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
	req.Header.Set(authenticator.KeyHeader, l.demo.keys[workspace])
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

// lookup asks for hosts and keeps the answer for its age, as callers do.
func (l *load) lookup(ctx context.Context, service string) (apiserver.LookupAnswer, error) {
	l.mu.Lock()
	cached, ok := l.answers[service]
	l.mu.Unlock()
	if ok && time.Now().Before(cached.until) {
		return cached.answer, nil
	}
	answer, err := lookup(ctx, l.demo.hosts[0].CallerAddress(), service)
	if err != nil {
		return answer, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[service] = cachedAnswer{answer, time.Now().Add(time.Duration(answer.TTLMs) * time.Millisecond)}
	return answer, nil
}

// check compares what callers were told with what the backend servers ran.
func (l *load) check() {
	runs := make(map[string]int)
	for _, b := range l.demo.backends {
		l.sum.keysSeen += b.RequestsWithKey()
		l.sum.overloads += b.Overloads()
		for id, n := range b.RequestsByID() {
			runs[id] += n
		}
	}
	for id, n := range runs {
		if n > 1 && l.sum.once[id] {
			l.sum.secondRuns++
		}
		if l.sum.notRun[id] {
			l.sum.falseNotRun++
		}
	}
}

// wrong reports whether a rule that must always hold was broken, or a request got no answer at all.
func (s *summary) wrong() bool {
	return s.foreign > 0 || s.secondRuns > 0 || s.falseNotRun > 0 || s.keysSeen > 0 || s.overloads > 0 ||
		s.failed > 0 || s.answered == 0
}

// String lists the counts, one name=value line each.
func (s *summary) String() string {
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
`, s.sent, s.answered, s.refused, s.failed, s.foreign, s.secondRuns, s.falseNotRun, s.keysSeen, s.overloads,
		float64(s.latency.ValueAtQuantile(50))/1000, float64(s.latency.ValueAtQuantile(99))/1000)
}
