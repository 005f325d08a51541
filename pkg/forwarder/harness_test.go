package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace/noop"

	"catkindyke/pkg/authenticator"
	"catkindyke/pkg/claimer"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/emulator"
	"catkindyke/pkg/limiter"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/snapshotter"
	"catkindyke/pkg/storeclient"
)

func assertNoError(t testing.TB, err error, step string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: %v", step, err)
	}
}

func assertEqual[T comparable](t testing.TB, got, want T, what string) {
	t.Helper()
	if got != want {
		t.Errorf("%s is %v, want %v", what, got, want)
	}
}

// fakeConn is the forwarder's end of a connection. After reset is set, reads fail as after
// a TCP reset instead of returning io.EOF.
type fakeConn struct {
	net.Conn
	mu    sync.Mutex
	reset bool
}

func (c *fakeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(err, io.EOF) && c.reset {
		err = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}
	return n, err
}

// serverConn is the fake backend server's end of a connection.
type serverConn struct {
	net.Conn
	index     int
	address   string
	clientEnd *fakeConn
	br        *bufio.Reader
}

func (s *serverConn) resetConn() {
	s.clientEnd.mu.Lock()
	s.clientEnd.reset = true
	s.clientEnd.mu.Unlock()
	_ = s.Close()
}

// readRequest reads one complete request and returns it with its body.
func (s *serverConn) readRequest() (*http.Request, string, error) {
	req, err := http.ReadRequest(s.br)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(req.Body)
	return req, string(body), err
}

// syncBuffer collects the log lines of several goroutines.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *syncBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *syncBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// fixture is a forwarder between an in-memory caller and fake backend servers.
type fixture struct {
	t         testing.TB
	f         *Forwarder
	svc       *schema.Service
	platform  *emulator.Platform
	meter     *meter.Meter
	log       syncBuffer
	server    *http.Server
	listener  *memListener
	transport *http.Transport

	mu             sync.Mutex
	serve          func(*serverConn)
	dials          int
	dialErr        error
	refusedAddress string
	conns          []net.Conn
	results        []schema.PermitResult
	excluded       [][]string
	openPermits    int
	keys           *schema.Keys
	// verdict and retryAfter are returned by Admit.
	verdict    limiter.Verdict
	retryAfter clock.Millis
	// duringAcquire runs while a request waits for a slot.
	duringAcquire func(context.Context) error
}

const testKey = "key-of-test"

type memListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *memListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *memListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// addrConn is a pipe with the remote address of a caller.
type addrConn struct{ net.Conn }

func (addrConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(192, 0, 2, 7), Port: 4000} }

// newFixture starts a forwarder. The fake backend server runs serve for each connection.
func newFixture(t testing.TB, serve func(*serverConn)) *fixture {
	fx := &fixture{
		t: t, serve: serve, meter: meter.New(), platform: emulator.NewPlatform(emulator.Budget{}),
		svc:      &schema.Service{Name: "svc", DeadlineMs: 5000, OpenRoutes: []string{"/svc/open"}},
		keys:     &schema.Keys{Keys: []*schema.Key{{Sha256: authenticator.Hash(testKey), Workspace: "ws"}}},
		verdict:  limiter.Admitted,
		listener: &memListener{conns: make(chan net.Conn), closed: make(chan struct{})},
	}
	fx.transport = newTransport(64, fx.dial)
	store := storeclient.New(storeclient.Config{BaseURL: "http://store", Transport: handlerTransport{fx.platform}})
	fx.f = New(Config{
		Snapshot: fx.snapshot,
		Admit:    func(context.Context, string) (limiter.Verdict, clock.Millis) { return fx.verdict, fx.retryAfter },
		Acquire:  fx.acquire, Clock: clock.New(), Log: zerolog.New(&fx.log), Meter: fx.meter,
		Tracer: noop.NewTracerProvider().Tracer("test"), Transport: fx.transport,
		Claims: claimer.New(claimer.Config{Store: store}),
	})
	fx.server = &http.Server{Handler: fx.f, MaxHeaderBytes: 64 << 10}
	go func() { _ = fx.server.Serve(fx.listener) }()
	return fx
}

func (fx *fixture) snapshot() *snapshotter.Snapshot {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return snapshotter.Build(snapshotter.Input{
		Config: &schema.Config{Services: []*schema.Service{fx.svc}}, Keys: fx.keys, Drains: &schema.Drains{},
		Plan: &schema.Plan{}, Ready: true, KeyDeadline: 1 << 40,
	})
}

func (fx *fixture) acquire(ctx context.Context, req SlotRequest) (Permit, error) {
	exclude := req.Exclude
	if fx.duringAcquire != nil {
		if err := fx.duringAcquire(ctx); err != nil {
			return Permit{}, err
		}
	}
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.excluded = append(fx.excluded, exclude)
	fx.openPermits++
	name := fmt.Sprintf("s%d", len(exclude))
	return Permit{BackendServer: name, Address: name + ":80", Release: func(r schema.PermitResult) {
		fx.mu.Lock()
		defer fx.mu.Unlock()
		fx.openPermits--
		fx.results = append(fx.results, r)
	}}, nil
}

func (fx *fixture) dial(_ context.Context, _, address string) (net.Conn, error) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	if fx.dialErr != nil {
		return nil, fx.dialErr
	}
	if address == fx.refusedAddress {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	clientEnd, serverEnd := net.Pipe()
	c := &fakeConn{Conn: clientEnd}
	fx.dials++
	fx.conns = append(fx.conns, clientEnd, serverEnd)
	side := &serverConn{Conn: serverEnd, index: fx.dials, address: address, clientEnd: c, br: bufio.NewReaderSize(serverEnd, 16)}
	go fx.serve(side)
	return c, nil
}

// close closes all connections of the fixture, which ends their goroutines, and checks that
// all permits were released.
func (fx *fixture) close() {
	_ = fx.server.Close()
	fx.transport.CloseIdleConnections()
	fx.mu.Lock()
	defer fx.mu.Unlock()
	for _, c := range fx.conns {
		_ = c.Close()
	}
	if fx.openPermits != 0 {
		fx.t.Errorf("%d permits were not released", fx.openPermits)
	}
}

// connect opens a connection of a caller.
func (fx *fixture) connect() net.Conn {
	clientEnd, serverEnd := net.Pipe()
	fx.mu.Lock()
	fx.conns = append(fx.conns, clientEnd, serverEnd)
	fx.mu.Unlock()
	fx.listener.conns <- addrConn{serverEnd}
	return clientEnd
}

// response is what a caller received: a response or an error.
type response struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

func (r response) outcome() Outcome { return Outcome(r.header.Get(OutcomeHeader)) }

// call sends raw bytes on a new connection and reads the response.
func (fx *fixture) call(raw string) response {
	c := fx.connect()
	defer c.Close()
	go func() { _, _ = io.WriteString(c, raw) }()
	return readResponse(c, strings.HasPrefix(raw, "HEAD "))
}

func readResponse(c io.Reader, head bool) response {
	method := http.MethodGet
	if head {
		method = http.MethodHead
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return response{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, resp.Trailer, string(body), err}
}

// rawRequest builds the bytes of a request with the workspace key.
func rawRequest(method, path, body string, headers ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: example\r\n%s: %s\r\n", method, path, authenticator.KeyHeader, testKey)
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	return b.String() + "\r\n" + body
}

// serveOK answers every request with 200 and a fixed body.
func serveOK(s *serverConn) {
	for {
		if _, _, err := s.readRequest(); err != nil {
			return
		}
		if _, err := io.WriteString(s, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"); err != nil {
			return
		}
	}
}

// handlerTransport calls a handler directly, without a network.
type handlerTransport struct{ handler http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	defer func() {
		if recover() != nil {
			resp, err = nil, io.ErrUnexpectedEOF
		}
	}()
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// sleep advances the virtual time of synctest.
func sleep(d time.Duration) { time.Sleep(d) }
