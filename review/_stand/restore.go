package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"catkindyke/platform/emulator"
)

// The restore case: a key is revoked, then the store is away and comes back from a copy from before
// the revocation, and all hosts are killed and started again while it is away.
const (
	restoreCopyAge       = 9 * time.Second
	restoreOutage        = 2 * time.Second
	restoreOperatorDelay = 500 * time.Millisecond
	restoreRevokeMax     = 5 * time.Second
	validKey, revokedKey = "xd9dnn2ctnfzs989anu6", "wsjnbanfqasnmgkcuyj8"
)

// keyedRequest is a request and the time at which its client sent it.
type keyedRequest struct {
	key    string
	sentAt time.Time
	runs   int
}

type restoreLedger struct {
	mu       sync.Mutex
	requests map[string]*keyedRequest
}

func runRestore(w *world) {
	ledger := &restoreLedger{requests: make(map[string]*keyedRequest)}
	putConfig := func(version int, keys string) {
		w.store.Put("config", "main", fmt.Sprintf(`{"Version":"r%d","Services":[{"Name":"order-desk","HealthPath":"/health","MaxConns":330,"ColdStartS":3.0,"ColdPerS":10.0}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"huka270","ApiKeys":[%s],"Priority":1,"RatePerS":173,"Burst":173,"HomeRegions":[]}],
"Hosts":[{"Host":"mill.example","Paths":[{"Name":"twist-order","PathPrefix":"/pufi791/","Kind":"non_idempotent","TimeoutMs":800,"TargetLatencyMs":400,"Priority":1,"Service":"order-desk","Attempts":2,"Anonymous":false,"Sticky":false,"HomeRegions":[]}]}]}`, version, keys))
		w.note("the store has acknowledged version r%d with the keys %s", version, keys)
	}
	putConfig(7, `"`+validKey+`","`+revokedKey+`"`)
	for i := range 4 {
		id := fmt.Sprintf("i-2b8e05d%d", i)
		l := w.listen()
		w.serveUpstream(l, restoreUpstream(w, ledger, id))
		w.putServer(id, "order-desk", l.Addr().String(), "gulf-mobile", "ready", 4)
	}
	w.addHost("gulf-mobile", "gulf")
	w.addHost("gulf-biloxi", "gulf")
	w.addHost("pied-durham", "piedmont")
	w.waitReady()
	time.Sleep(time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() { restoreClient(ctx, w, ledger, w.hosts[i%len(w.hosts)], []string{validKey, revokedKey}[i%2]) })
	}
	time.Sleep(time.Second)
	backup := w.store.Copy()
	copiedAt := time.Now()
	w.note("a copy of the store is made")
	time.Sleep(time.Second)
	revokedAt := time.Now()
	putConfig(9, `"`+validKey+`"`)
	time.Sleep(time.Until(copiedAt.Add(restoreCopyAge)))
	if w.trouble {
		w.store.SetFaults(emulator.Faults{Down: true})
		w.note("the store is away")
		time.Sleep(restoreOutage - 500*time.Millisecond)
		for _, h := range w.hosts {
			w.kill(h)
		}
		for _, h := range w.hosts {
			w.startHost(h)
		}
		time.Sleep(500 * time.Millisecond)
		w.store.Restore(backup)
		w.store.SetFaults(emulator.Faults{})
		w.note("the store is back from the copy, which has version r7")
		time.Sleep(restoreOperatorDelay)
		putConfig(9, `"`+validKey+`"`)
	}
	time.Sleep(5 * time.Second)
	cancel()
	wg.Wait()
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	late, valid := 0, 0
	for id, r := range ledger.requests {
		if r.key == validKey && r.runs > 0 {
			valid++
		}
		if after := r.sentAt.Sub(revokedAt); r.key == revokedKey && r.runs > 0 && after > restoreRevokeMax {
			late++
			w.note("BROKEN CONFIG: request %s with the revoked key was sent %.2f s after the acknowledgement of r9 and ran", id, after.Seconds())
		}
	}
	if valid < 50 {
		w.giveUp("only %d requests with the valid key ran", valid)
	}
	status := exitHeld
	if late > 0 {
		status = exitBroken
	}
	w.finish(status, "%d requests sent, %d with the valid key ran, %d with the revoked key were sent over %v after its revocation and ran (CONFIG)", len(ledger.requests), valid, late, restoreRevokeMax)
}

func restoreUpstream(w *world, ledger *restoreLedger, id string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		requestID := r.Header.Get("X-Catkindyke-Request-Id")
		rw.Header().Set("Keep-Alive", "timeout=10")
		if r.URL.Path == "/health" {
			rw.Header().Set("X-Catkindyke-Instance-Id", id)
			return
		}
		rw.Header().Set("X-Catkindyke-Request-Id", requestID)
		if r.Header.Get("X-Catkindyke-Expect-Instance") != id {
			rw.Header().Set("X-Catkindyke-Not-Executed", "1")
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		ledger.mu.Lock()
		if req := ledger.requests[requestID]; req != nil {
			req.runs++
		}
		ledger.mu.Unlock()
		w.note("upstream %s runs %s for tenant %s", id, requestID, r.Header.Get("X-Catkindyke-Tenant"))
		time.Sleep(10 * time.Millisecond)
		rw.Header().Set("X-Catkindyke-Response-Signature", "3e1b.07."+requestID)
		_, _ = io.WriteString(rw, "done")
	})
}

// restoreClient sends a request with a key to a host every 50 ms. It keeps the address, as clients
// do that can't obtain a new answer of the directory.
func restoreClient(ctx context.Context, w *world, ledger *restoreLedger, h *host, key string) {
	for ctx.Err() == nil {
		id := w.newID()
		ledger.mu.Lock()
		ledger.requests[id] = &keyedRequest{key: key, sentAt: time.Now()}
		ledger.mu.Unlock()
		a := send(context.Background(), h.front, http.MethodPost, "/pufi791/2f", id, key, 2500*time.Millisecond, []byte("order"), false)
		w.note("client got from %s for %s, key %s: %v", h.name, id, key, a)
		time.Sleep(50 * time.Millisecond)
	}
}
