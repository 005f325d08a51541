package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The upload case: uploads of one to three megabytes, while another caller of an upstream uses
// up the connections that it accepts.
const (
	uploadUpstreams = 8
	uploadMaxConns  = 12
	uploadDuration  = 75 * time.Second
	uploadClients   = 8
	uploadDeadline  = 3 * time.Second
)

// uploadRun is one run of an upload at an upstream.
type uploadRun struct {
	server, digest string
	size           int
}

// uploadLedger holds what clients sent and what upstreams ran.
type uploadLedger struct {
	mu   sync.Mutex
	sent map[string]uploadRun
	runs map[string][]uploadRun
}

func runUpload(w *world) {
	ledger := &uploadLedger{sent: make(map[string]uploadRun), runs: make(map[string][]uploadRun)}
	w.store.Put("config", "main", fmt.Sprintf(`{"Version":"r7","Services":[{"Name":"mill-ledger","HealthPath":"/health","MaxConns":%d,"ColdStartS":3.0,"ColdPerS":10.0}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"huka270","ApiKeys":["xd9dnn2ctnfzs989anu6"],"Priority":1,"RatePerS":173,"Burst":173,"HomeRegions":[]}],
"Hosts":[{"Host":"mill.example","Paths":[{"Name":"coil-photo","PathPrefix":"/pule252/","Kind":"upload","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":1,"Service":"mill-ledger","Attempts":2,"Anonymous":false,"Sticky":false,"HomeRegions":[]}]}]}`, uploadMaxConns))
	var addresses []string
	for i := range uploadUpstreams {
		id := fmt.Sprintf("i-7f3a91c%d", i)
		l := &cappedListener{Listener: w.listen(), maxConns: uploadMaxConns, onReset: func() { w.note("upstream %s resets a connection beyond its %d", id, uploadMaxConns) }}
		w.serveUpstream(l, uploadUpstream(w, ledger, id))
		addresses = append(addresses, l.Addr().String())
		w.putServer(id, "mill-ledger", l.Addr().String(), "gulf-mobile", "ready", 3)
	}
	w.addHost("gulf-mobile", "gulf")
	w.addHost("gulf-biloxi", "gulf")
	w.waitReady()
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), uploadDuration)
	defer cancel()
	var wg sync.WaitGroup
	for range uploadClients {
		wg.Go(func() { uploadClient(ctx, w, ledger) })
	}
	for i, address := range addresses {
		if w.trouble {
			wg.Go(func() { otherCaller(ctx, w, address, time.Duration(i)*130*time.Millisecond) })
		}
	}
	wg.Wait()
	time.Sleep(time.Second)
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	changed, twice, ran := 0, 0, 0
	for id, runs := range ledger.runs {
		ran++
		if len(runs) > 1 {
			twice++
			w.note("BROKEN TWICE: upload %s ran %d times", id, len(runs))
		}
		for _, run := range runs {
			if sent := ledger.sent[id]; run.digest != sent.digest {
				changed++
				w.note("BROKEN UNASKED: upload %s was sent with %d bytes, digest %s, and %s ran it with %d bytes, digest %s", id, sent.size, sent.digest, run.server, run.size, run.digest)
			}
		}
	}
	status := exitHeld
	if changed+twice > 0 {
		status = exitBroken
	}
	if ran < 20 {
		w.giveUp("only %d uploads ran", ran)
	}
	w.finish(status, "%d uploads sent, %d ran, %d ran with a changed body (UNASKED), %d ran more than once (TWICE)", len(ledger.sent), ran, changed, twice)
}

// uploadUpstream reads an upload to its end and runs it. It does not run one whose body ends early.
func uploadUpstream(w *world, ledger *uploadLedger, id string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		requestID := r.Header.Get("X-Catkindyke-Request-Id")
		rw.Header().Set("Keep-Alive", "timeout=10")
		switch {
		case r.URL.Path == "/health":
			rw.Header().Set("X-Catkindyke-Instance-Id", id)
			return
		case requestID == "": // the other caller
			return
		case r.Header.Get("X-Catkindyke-Expect-Instance") != id:
			rw.Header().Set("X-Catkindyke-Request-Id", requestID)
			rw.Header().Set("X-Catkindyke-Not-Executed", "1")
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.note("upstream %s does not run %s: its body ends early after %d bytes", id, requestID, len(body))
			return
		}
		run := uploadRun{server: id, digest: digest(body), size: len(body)}
		ledger.mu.Lock()
		ledger.runs[requestID] = append(ledger.runs[requestID], run)
		ledger.mu.Unlock()
		w.note("upstream %s runs %s: %d bytes, digest %s", id, requestID, run.size, run.digest)
		time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
		rw.Header().Set("X-Catkindyke-Request-Id", requestID)
		rw.Header().Set("X-Catkindyke-Response-Signature", "3e1b.07."+run.digest)
		_, _ = io.WriteString(rw, "stored "+run.digest)
	})
}

// uploadClient sends one upload after another, in chunks.
func uploadClient(ctx context.Context, w *world, ledger *uploadLedger) {
	letters := make([]byte, 4_000_000)
	for i := range letters {
		letters[i] = byte('a' + rand.IntN(26))
	}
	for ctx.Err() == nil {
		addresses := resolve(w.hosts[rand.IntN(len(w.hosts))], "gulf", "gulf-mobile")
		if len(addresses) == 0 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		start, size := rand.IntN(2_000_000), 1_100_000+rand.IntN(900_000)
		body, id := letters[start:start+size], w.newID()
		ledger.mu.Lock()
		ledger.sent[id] = uploadRun{digest: digest(body), size: len(body)}
		ledger.mu.Unlock()
		w.note("client sends upload %s: %d bytes, digest %s", id, len(body), digest(body))
		a := send(context.Background(), addresses[rand.IntN(len(addresses))], http.MethodPost, "/pule252/2f", id, "xd9dnn2ctnfzs989anu6", uploadDeadline, body, true)
		w.note("client got for %s: %v %s", id, a, strings.TrimSpace(string(a.body)))
		time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
	}
}

// otherCaller takes all connections that an upstream accepts, for 0.3 s in each second.
func otherCaller(ctx context.Context, w *world, address string, delay time.Duration) {
	time.Sleep(delay)
	for ctx.Err() == nil {
		var conns []net.Conn
		for range uploadMaxConns {
			c, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				continue
			}
			fmt.Fprintf(c, "GET /other HTTP/1.1\r\nHost: mill\r\n\r\n")
			conns = append(conns, c)
		}
		w.note("another caller holds connections to the upstream at %s", address)
		time.Sleep(300 * time.Millisecond)
		for _, c := range conns {
			_ = c.Close()
		}
		time.Sleep(700 * time.Millisecond)
	}
}
