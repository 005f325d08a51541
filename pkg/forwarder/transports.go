package forwarder

import (
	"net/http"
	"sync"

	"catkindyke/pkg/snapshotter"
)

// maxIdleConnsPerServer limits the idle connections that a host keeps to a backend server,
// even if the service allows more.
const maxIdleConnsPerServer = 16

// Transports holds a transport for each service, so that the limits of connections to a
// backend server follow the configuration and the number of hosts.
type Transports struct {
	mu        sync.Mutex
	byService map[string]serviceTransport
}

type serviceTransport struct {
	maxConns, maxIdle int
	// fresh opens a new connection for each request.
	pooled, fresh *http.Transport
}

// NewTransports returns an empty set of transports.
func NewTransports() *Transports {
	return &Transports{byService: make(map[string]serviceTransport)}
}

// forService returns the transports of a service. If the limits have changed, it replaces
// them; the connections of the old ones are closed when their requests end.
func (t *Transports) forService(snap *snapshotter.Snapshot, svc *snapshotter.Service) (pooled, fresh *http.Transport) {
	slots := 1
	for _, b := range svc.Config().GetBackendServers() {
		slots = max(slots, svc.ServerSlots(b))
	}
	maxConns, maxIdle := connectionLimits(int(svc.Config().GetConnections()), slots, len(snap.Hosts()))
	name := svc.Config().GetName()
	t.mu.Lock()
	defer t.mu.Unlock()
	st, ok := t.byService[name]
	if ok && st.maxConns == maxConns && st.maxIdle == maxIdle {
		return st.pooled, st.fresh
	}
	if ok {
		st.pooled.CloseIdleConnections()
	}
	st = serviceTransport{maxConns: maxConns, maxIdle: maxIdle, pooled: NewTransport(maxConns)}
	st.pooled.MaxIdleConnsPerHost = maxIdle
	st.fresh = st.pooled.Clone()
	st.fresh.DisableKeepAlives = true
	t.byService[name] = st
	return st.pooled, st.fresh
}

// CloseIdleConnections closes the idle connections of all services.
func (t *Transports) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, st := range t.byService {
		st.pooled.CloseIdleConnections()
	}
}

// connectionLimits returns the limits of one host's connections to a server. Permits
// already limit the connections in use over all hosts. The rest is divided equally among
// the hosts for idle connections, less one per host for health checks. A negative maxIdle
// means no idle connections.
func connectionLimits(connections, slots, hosts int) (maxConns, maxIdle int) {
	maxIdle = maxIdleConnsPerServer
	if connections > 0 {
		maxIdle = min(maxIdle, (connections-min(slots, connections))/max(1, hosts)-1)
	}
	if maxIdle <= 0 {
		return slots, -1
	}
	return slots + maxIdle, maxIdle
}
