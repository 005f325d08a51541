// Package emulator emulates the systems that hosts depend on: the platform's
// object store and host list with injected faults, backend servers, and the
// network between them.
package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"catkindyke/pkg/storeclient"
)

// Faults are the faults that a Platform injects.
type Faults struct {
	// Down fails every call with status 503.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// DropWriteResponses is the number of writes that take effect but whose
	// connection is dropped before the response.
	DropWriteResponses int
	// SilentWatches makes watches time out without reporting a change.
	SilentWatches bool
	// StaleHosts returns the host list as it was when the fault was set.
	StaleHosts bool
}

// Budget limits the calls in each second of the clock. Zero means no limit.
type Budget struct {
	ReadsPerSecond  int
	WritesPerSecond int
}

// Platform emulates the platform: an in-memory object store and a host list,
// served over HTTP.
type Platform struct {
	mu             sync.Mutex
	objects        map[string]storeclient.Object
	changed        chan struct{}
	hosts          map[string]storeclient.Host
	staleHosts     []storeclient.Host
	faults         Faults
	budget         Budget
	budgetSecond   int64
	readsInSecond  int
	writesInSecond int
	rejected       int
}

// NewPlatform returns a platform without objects and hosts.
func NewPlatform(budget Budget) *Platform {
	return &Platform{
		objects: make(map[string]storeclient.Object),
		hosts:   make(map[string]storeclient.Host),
		changed: make(chan struct{}),
		budget:  budget,
	}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.StaleHosts && !p.faults.StaleHosts {
		p.staleHosts = p.sortedHosts()
	}
	p.faults = f
}

// SetHost adds or replaces a host in the host list.
func (p *Platform) SetHost(h storeclient.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[h.Name] = h
}

// RemoveHost removes a host from the host list.
func (p *Platform) RemoveHost(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.hosts, name)
}

// Rejected returns the number of calls over the budget.
func (p *Platform) Rejected() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rejected
}

// ServeHTTP serves the object and host APIs.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	faults := p.faults
	allowed := p.spendBudget(r.Method == http.MethodGet)
	p.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-r.Context().Done():
			return
		}
	}
	if faults.Down {
		http.Error(w, "store is down", http.StatusServiceUnavailable)
		return
	}
	if !allowed {
		http.Error(w, "call budget is spent", http.StatusTooManyRequests)
		return
	}
	name, isObject := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	host, isHost := strings.CutPrefix(r.URL.Path, "/v1/hosts/")
	switch {
	case isObject && r.Method == http.MethodGet:
		p.serveRead(w, r, name)
	case isObject && (r.Method == http.MethodPut || r.Method == http.MethodDelete):
		p.serveWrite(w, r, name)
	case r.URL.Path == "/v1/objects" && r.Method == http.MethodGet:
		p.serveList(w, r.URL.Query().Get("prefix"))
	case r.URL.Path == "/v1/hosts" && r.Method == http.MethodGet:
		p.serveHosts(w)
	case isHost:
		p.serveHostChange(w, r, host)
	default:
		http.NotFound(w, r)
	}
}

// spendBudget counts a call against the budget of the current second and reports
// whether the call is within it. The caller holds p.mu.
func (p *Platform) spendBudget(read bool) bool {
	if now := time.Now().Unix(); now != p.budgetSecond {
		p.budgetSecond, p.readsInSecond, p.writesInSecond = now, 0, 0
	}
	used, limit := &p.writesInSecond, p.budget.WritesPerSecond
	if read {
		used, limit = &p.readsInSecond, p.budget.ReadsPerSecond
	}
	*used++
	if limit > 0 && *used > limit {
		p.rejected++
		return false
	}
	return true
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	if !q.Has("watch_after") {
		p.mu.Lock()
		obj, ok := p.objects[name]
		p.mu.Unlock()
		writeObject(w, obj, ok)
		return
	}
	after, err := strconv.ParseUint(q.Get("watch_after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil || wait < 0 {
		http.Error(w, "bad watch", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		p.mu.Lock()
		obj, ok := p.objects[name]
		changed, faults := p.changed, p.faults
		p.mu.Unlock()
		if faults.Down {
			http.Error(w, "store is down", http.StatusServiceUnavailable)
			return
		}
		if ok && obj.Version > after && !faults.SilentWatches {
			writeObject(w, obj, true)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeObject(w http.ResponseWriter, obj storeclient.Object, ok bool) {
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set(storeclient.VersionHeader, strconv.FormatUint(obj.Version, 10))
	_, _ = w.Write(obj.Value)
}

func (p *Platform) serveWrite(w http.ResponseWriter, r *http.Request, name string) {
	expectedVersion, err := strconv.ParseUint(r.Header.Get(storeclient.ConditionHeader), 10, 64)
	if err != nil {
		http.Error(w, "missing or bad "+storeclient.ConditionHeader, http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, storeclient.MaxValueBytes+1))
	if err != nil || len(value) > storeclient.MaxValueBytes {
		http.Error(w, "value over 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	currentVersion := p.objects[name].Version
	if currentVersion != expectedVersion {
		p.mu.Unlock()
		w.Header().Set(storeclient.VersionHeader, strconv.FormatUint(currentVersion, 10))
		http.Error(w, "version conflict", http.StatusConflict)
		return
	}
	obj := storeclient.Object{Name: name, Version: currentVersion + 1, Value: value}
	if r.Method == http.MethodDelete {
		delete(p.objects, name)
	} else {
		p.objects[name] = obj
	}
	close(p.changed)
	p.changed = make(chan struct{})
	dropResponse := p.faults.DropWriteResponses > 0
	if dropResponse {
		p.faults.DropWriteResponses--
	}
	p.mu.Unlock()
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(storeclient.VersionHeader, strconv.FormatUint(obj.Version, 10))
}

func (p *Platform) serveList(w http.ResponseWriter, prefix string) {
	p.mu.Lock()
	list := []storeclient.Object{}
	for name, obj := range p.objects {
		if strings.HasPrefix(name, prefix) {
			list = append(list, storeclient.Object{Name: name, Version: obj.Version})
		}
	}
	p.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	writeJSON(w, list)
}

func (p *Platform) serveHosts(w http.ResponseWriter) {
	p.mu.Lock()
	list := p.sortedHosts()
	if p.faults.StaleHosts {
		list = p.staleHosts
	}
	p.mu.Unlock()
	writeJSON(w, list)
}

// sortedHosts returns the hosts by name. The caller holds p.mu.
func (p *Platform) sortedHosts() []storeclient.Host {
	list := make([]storeclient.Host, 0, len(p.hosts))
	for _, h := range p.hosts {
		list = append(list, h)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// serveHostChange adds or removes a host. The real platform's process manager
// maintains the host list; this API stands in for it when hosts are started as
// separate processes.
func (p *Platform) serveHostChange(w http.ResponseWriter, r *http.Request, name string) {
	switch r.Method {
	case http.MethodPut:
		var h storeclient.Host
		if err := json.NewDecoder(r.Body).Decode(&h); err != nil || h.Name != name {
			http.Error(w, "bad host entry", http.StatusBadRequest)
			return
		}
		p.SetHost(h)
	case http.MethodDelete:
		p.RemoveHost(name)
	default:
		http.Error(w, "use PUT or DELETE", http.StatusMethodNotAllowed)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
