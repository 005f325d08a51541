package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"catkindyke/platform/emulator"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// world is one run of a case: the store, the upstreams, the hosts and the record.
type world struct {
	dir, tmp string
	trouble  bool
	start    time.Time
	record   *bufio.Writer
	mu       sync.Mutex
	store    *emulator.Store
	storeAt  string
	hosts    []*host
	ipPrefix string
	ids      atomic.Uint64
}

// host is an entry host in a process of its own.
type host struct {
	name, zone, region, ip, settings string
	front, ready, control, directory string
	cmd                              *exec.Cmd
	exited                           chan struct{}
}

func newWorld(dir string) *world {
	w := &world{dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if w.tmp, err = os.MkdirTemp("", "review-case-"); err != nil {
		w.giveUp("temporary folder: %v", err)
	}
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	w.record = bufio.NewWriter(f)
	w.ipPrefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	w.store = emulator.New(500)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.giveUp("listen: %v", err)
	}
	w.storeAt = l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }()
	w.note("trouble: %v", w.trouble)
	return w
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// finish ends all processes and exits.
func (w *world) finish(status int, format string, args ...any) {
	for _, h := range w.hosts {
		w.kill(h)
	}
	w.note(format, args...)
	w.mu.Lock()
	_ = w.record.Flush()
	_ = os.RemoveAll(w.tmp)
	fmt.Printf(format+"\n", args...)
	os.Exit(status)
}

func (w *world) giveUp(format string, args ...any) {
	w.finish(exitNotRun, "the case could not run: "+format, args...)
}

func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// addHost writes the settings of a host and starts it.
func (w *world) addHost(zone, region string) *host {
	n := len(w.hosts) + 1
	h := &host{name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, region: region, ip: w.ipPrefix + strconv.Itoa(n)}
	for _, a := range []*string{&h.front, &h.ready, &h.control, &h.directory} {
		var err error
		if *a, err = freeAddress(h.ip); err != nil {
			w.giveUp("address for %s: %v", h.name, err)
		}
	}
	seeds := h.control
	if len(w.hosts) > 0 {
		seeds = w.hosts[0].control
	}
	h.settings = filepath.Join(w.tmp, h.name+".toml")
	text := fmt.Sprintf(`Node = %q
Role = "host"
MachineClass = "front"
Serves = ["front","control","directory"]
Ip = %q
Zone = %q
Region = %q
InternalPortRange = [7560,7575]
Seeds = [%q]
Bootstrap = true
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1500
[Zones]
gulf-mobile = "gulf"
gulf-biloxi = "gulf"
pied-durham = "piedmont"
[Listen]
Front = %q
Ready = %q
Control = %q
Directory = %q
[Limits]
CpuShare = 0.32
Cores = 1
MemoryMb = 284
MaxFds = 4100
LinkMbps = 1000.0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
DrainMs = 2500
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2500
StrictRevoke = true
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 56
QuotaWindowS = 5
QuotaOverage = 0.1
QuotaSlack = 20
ColdOverage = 1.5
ColdSlack = 5
EvacuateMs = 5000
ttl_max_s = 5
MaxShift = 0.15
[Platform]
Address = %q
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
`, h.name, h.ip, zone, region, seeds, h.front, h.ready, h.control, h.directory, w.storeAt)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		w.giveUp("settings: %v", err)
	}
	w.hosts = append(w.hosts, h)
	w.startHost(h)
	return h
}

// startHost starts the process with the command of the deploy file.
func (w *world) startHost(h *host) {
	log, err := os.OpenFile(filepath.Join(w.tmp, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.giveUp("log: %v", err)
	}
	cmd := exec.Command("target/catkindyke", "host")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.tmp, "CATKINDYKE_BOOT=" + h.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		w.giveUp("start of %s: %v", h.name, err)
	}
	exited := make(chan struct{})
	go func() {
		err := cmd.Wait()
		w.note("process of %s ended: %v", h.name, err)
		_ = log.Close()
		close(exited)
	}()
	h.cmd, h.exited = cmd, exited
	w.note("process of %s started", h.name)
}

func (w *world) kill(h *host) {
	if h.cmd == nil {
		return
	}
	select {
	case <-h.exited:
	default:
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.exited
	}
}

// hasExited reports whether the process of a host has ended.
func (h *host) hasExited() bool {
	select {
	case <-h.exited:
		return true
	default:
		return false
	}
}

// logLines returns the lines of a host's log that contain a text.
func (w *world) logLines(h *host, text string) []string {
	raw, err := os.ReadFile(filepath.Join(w.tmp, h.name+".log"))
	if err != nil {
		return nil
	}
	var out []string
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}

func isReady(h *host) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + h.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all hosts are ready.
func (w *world) waitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for _, h := range w.hosts {
		for !isReady(h) {
			if time.Now().After(deadline) {
				w.giveUp("%s is not ready after 15 s", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.note("all hosts are ready")
}

// resolve asks the directory of a host for the addresses to use.
func resolve(h *host, region, zone string) []string {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + h.directory + "/resolve?Name=mill.example&Region=" + region + "&Zone=" + zone)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var out struct{ Addrs []string }
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&out) != nil {
		return nil
	}
	return out.Addrs
}

// putServer writes the entry of an upstream to the store.
func (w *world) putServer(id, service, address, zone, state string, slots int) {
	w.store.Put("servers", id, fmt.Sprintf(
		`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":%d,"State":%q,"ColdLeftMs":0,"Seq":1,"born":1790000000000}`,
		service, address, zone, slots, state))
}

// newID returns an id for a client attempt.
func (w *world) newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+w.ids.Add(1)) }

func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}

// cappedListener accepts up to maxConns connections and resets those beyond.
type cappedListener struct {
	net.Listener
	maxConns int
	open     atomic.Int64
	onReset  func()
}

func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Load() >= int64(l.maxConns) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			l.onReset()
			continue
		}
		l.open.Add(1)
		return &cappedConn{Conn: c, l: l}, nil
	}
}

type cappedConn struct {
	net.Conn
	l    *cappedListener
	once sync.Once
}

func (c *cappedConn) Close() error {
	c.once.Do(func() { c.l.open.Add(-1) })
	return c.Conn.Close()
}

// serveUpstream starts an upstream and returns its address.
func (w *world) serveUpstream(l net.Listener, handler http.Handler) *httptest.Server {
	s := &httptest.Server{Listener: l, Config: &http.Server{Handler: handler, IdleTimeout: 10 * time.Second}}
	s.Start()
	return s
}

func (w *world) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.giveUp("listen: %v", err)
	}
	return l
}

// answer is what a client got.
type answer struct {
	status    int
	signature string
	body      []byte
	err       error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, signature %q, %d bytes", a.status, a.signature, len(a.body))
}

// send sends one client attempt on a connection of its own. chunked sends the body in chunks.
func send(ctx context.Context, front, method, path, id, key string, deadline time.Duration, body []byte, chunked bool) answer {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	var r io.Reader
	if body != nil {
		r = strings.NewReader(string(body))
		if chunked {
			r = struct{ io.Reader }{r}
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, r)
	if err != nil {
		return answer{err: err}
	}
	req.Host = "mill.example"
	req.Header.Set("X-Catkindyke-Request-Id", id)
	req.Header.Set("X-Catkindyke-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("X-Catkindyke-Key", key)
	}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, signature: resp.Header.Get("X-Catkindyke-Response-Signature"), body: raw, err: err}
}
