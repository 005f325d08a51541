// Command stand2 holds the stand-ins for the cases 6 to 10 of the review: clients, servers and
// the platform's store, in one process. It starts hosts as processes of their own.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"catkindyke/platform/emulator"
)

// Names of headers of the protocol page.
const (
	hID     = "X-Catkindyke-Request-Id"
	hKey    = "X-Catkindyke-Key"
	hLeft   = "X-Catkindyke-Deadline-Ms"
	hExpect = "X-Catkindyke-Expect-Instance"
	hSign   = "X-Catkindyke-Response-Signature"
	hNotRun = "X-Catkindyke-Not-Executed"
)

// slots is the number of slots of each server.
var slots = 8

// coldStartS and coldPerS are those of the services.
const coldStartS, coldPerS = 3.0, 5.0

// zones and regions of the deployment.
var zoneRegion = map[string]string{"z1": "r1", "z2": "r2"}

// world is a small deployment on loopback addresses.
type world struct {
	dir     string
	store   *emulator.Store
	address string
	hosts   []*host
	start   time.Time

	mu     sync.Mutex
	record *os.File
	broken []string
}

// host is an entry host, a process of the project's own program.
type host struct {
	name, settings                   string
	front, ready, directory, control string
	cmd                              *exec.Cmd
	exited                           chan struct{}
}

// newWorld starts the store. The record goes to the file that RECORD names.
func newWorld() (*world, error) {
	dir, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, store: emulator.New(1000), start: time.Now(), record: record}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	go func() { _ = http.Serve(l, http.HandlerFunc(w.serveStore)) }()
	return w, nil
}

// serveStore serves a call to the store. The project's emulator adds a header that our pages
// don't have.
func (w *world) serveStore(rw http.ResponseWriter, r *http.Request) {
	w.store.ServeHTTP(pageWriter{rw}, r)
}

type pageWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter. The emulator calls it in each answer.
func (p pageWriter) WriteHeader(status int) {
	p.Header().Del("Store-Era")
	p.ResponseWriter.WriteHeader(status)
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// breach notes that the rule was broken.
func (w *world) breach(format string, args ...any) {
	w.note("BROKEN: "+format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// Ports of a host. Each host has an IP address of its own.
const frontPort, readyPort, controlPort, directoryPort, metricsPort = 8388, 8384, 8381, 8383, 9464

// nextIP is the number of the next loopback address that is tried.
var nextIP = os.Getpid() % 60000

// freeIP returns a loopback address on which all ports of a host are free.
func freeIP() (string, error) {
	for range 1000 {
		nextIP++
		ip := fmt.Sprintf("127.%d.%d.%d", 20+nextIP/60000%200, 1+nextIP/240%250, 1+nextIP%240)
		if arePortsFree(ip) {
			return ip, nil
		}
	}
	return "", errors.New("no loopback address with free ports")
}

func arePortsFree(ip string) bool {
	for _, port := range []int{frontPort, readyPort, controlPort, directoryPort, metricsPort} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// addHost writes the settings of a host and starts it. store is the address under which it
// finds the store.
func (w *world) addHost(i int, store string) (*host, error) {
	return w.addHostIn(fmt.Sprintf("z%d", i%2+1), i, store)
}

// addHostIn is addHost for a host in a given zone.
func (w *world) addHostIn(zone string, i int, store string) (*host, error) {
	ip, err := freeIP()
	if err != nil {
		return nil, err
	}
	h := &host{name: fmt.Sprintf("front-%s-%d", zone, i+1)}
	for a, port := range map[*string]int{&h.front: frontPort, &h.ready: readyPort, &h.directory: directoryPort, &h.control: controlPort} {
		*a = fmt.Sprintf("%s:%d", ip, port)
	}
	h.settings = filepath.Join(w.dir, h.name+".toml")
	text := fmt.Sprintf(`Node = %q
Role = "host"
MachineClass = "front"
Serves = ["front","directory","control"]
Ip = %q
Zone = %q
Region = %q
Seeds = []
Bootstrap = true
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1500
[Zones]
z1 = "r1"
z2 = "r2"
[Listen]
Front = %q
Ready = %q
Directory = %q
Control = %q
[Limits]
CpuShare = 0.32
Cores = 1
MemoryMb = 284
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Tolerate]
Machines = 1
Zones = 1
Regions = 1
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2500
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2500
RollbackSlackMs = 250
OuterMs = 5000
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
RecoveryS = 15
ttl_max_s = 5
MaxShift = 0.15
[Platform]
Address = %q
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
`, h.name, ip, zone, zoneRegion[zone], h.front, h.ready, h.directory, h.control, store)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.hosts = append(w.hosts, h)
	return h, w.startHost(h)
}

// startHost starts the process of a host with the command of the deploy file.
func (w *world) startHost(h *host) error {
	if h.cmd != nil {
		// Bootstrap is true only when the whole system starts for the first time.
		text, err := os.ReadFile(h.settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(h.settings, []byte(strings.Replace(string(text), "Bootstrap = true", "Bootstrap = false", 1)), 0o600); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command("target/catkindyke", "host")
	h.cmd.Env = append(os.Environ(), "CATKINDYKE_BOOT="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	// The host ends with this process, however that ends.
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), h.cmd
	h.exited = exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	w.note("host %s starts", h.name)
	return nil
}

// awaitReady waits until a host says that it is ready.
func (w *world) awaitReady(h *host) error {
	client := &http.Client{Timeout: time.Second}
	for range 300 {
		resp, err := client.Get("http://" + h.ready + "/readiness")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				w.note("host %s is ready", h.name)
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("host %s is not ready after 15 s", h.name)
}

// end ends all processes and removes the temporary folder.
func (w *world) end() {
	for _, h := range w.hosts {
		_ = h.cmd.Process.Kill()
		<-h.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}

// route describes a route of the configuration.
type route struct {
	Name, PathPrefix, Kind, Service      string
	TimeoutMs, TargetLatencyMs, Priority int
	Attempts                             int
	Anonymous, Sticky                    bool
	HomeRegions                          []string
}

// tenant describes a tenant of the configuration.
type tenant struct {
	Name            string
	ApiKeys         []string
	Priority        int
	RatePerS, Burst float64
	HomeRegions     []string
}

// putConfig writes a configuration to the store.
func (w *world) putConfig(version int, routes []route, tenants []tenant) {
	raw, err := json.Marshal(map[string]any{
		"Version":  fmt.Sprintf("r%d", version),
		"Services": []map[string]any{{"Name": "desk", "HealthPath": "/health", "MaxConns": 330, "Protocol": "h1", "Tls": false, "ColdStartS": coldStartS, "ColdPerS": coldPerS}},
		"Limits":   map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  tenants,
		"Hosts":    []map[string]any{{"Host": "a.example", "Paths": routes}},
	})
	if err != nil {
		panic(err)
	}
	w.store.Put("config", "main", string(raw))
	w.note("the store acknowledges configuration r%d", version)
}

// server is a backend server.
type server struct {
	id, zone, service, address string
	listener                   net.Listener
	born                       time.Time
	handle                     func(c net.Conn, r *http.Request, body io.Reader) bool
}

// addServer starts a backend server and writes its entry. handle serves a connection's requests,
// one at a time, and returns false to close the connection.
func (w *world) addServer(id, zone string, handle func(c net.Conn, r *http.Request, body io.Reader) bool) (*server, error) {
	s := &server{id: id, zone: zone, service: "desk", handle: handle, born: time.Now()}
	if err := s.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	w.putServer(s, "ready", 1)
	return s, nil
}

// listen starts the server at an address.
func (s *server) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener, s.address, s.born = l, l.Addr().String(), time.Now()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return nil
}

// serve serves the requests of a connection.
func (s *server) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		switch {
		case r.URL.Path == "/health":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Catkindyke-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
		case r.Header.Get(hExpect) != s.id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", hNotRun, hID, r.Header.Get(hID))
		case !s.handle(c, r, r.Body):
			return
		}
	}
}

// putServer writes the entry of a server.
func (w *world) putServer(s *server, state string, seq int) { w.putColdServer(s, state, seq, 0) }

// putColdServer writes the entry of a server that stays cold for a time.
func (w *world) putColdServer(s *server, state string, seq, coldLeftMs int) {
	raw, err := json.Marshal(map[string]any{
		"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": slots, "State": state,
		"ColdLeftMs": coldLeftMs, "Seq": seq, "born": s.born.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	w.store.Put("servers", s.id, string(raw))
	w.note("the store has the entry of server %s: %s, cold for %d ms", s.id, state, coldLeftMs)
}

// answer writes a whole answer with the server's signature.
func answer(c io.Writer, id string, body []byte) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s.%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", hID, id, hSign, id, len(body), body)
	return err
}

// request returns the text of a request's head. extra holds whole header lines.
func request(method, path, id, key string, leftMs int, extra ...string) string {
	lines := append([]string{
		method + " " + path + " HTTP/1.1", "Host: a.example", hID + ": " + id, hKey + ": " + key, fmt.Sprintf("%s: %d", hLeft, leftMs),
	}, extra...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}
