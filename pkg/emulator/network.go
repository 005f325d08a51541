package emulator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"time"

	"catkindyke/pkg/schema"
)

// ErrConnectionRefused is returned for calls to an address where nothing listens.
var ErrConnectionRefused = fmt.Errorf("dial: %w", syscall.ECONNREFUSED)

// Place is where an endpoint stands.
type Place struct {
	Region           string
	AvailabilityZone string
	// Host tells the endpoints of one zone apart; it is empty when no rule needs it.
	Host string
}

// NetworkConfig holds the one-way delays of a network.
type NetworkConfig struct {
	// SameZoneDelay is the delay within an availability zone.
	SameZoneDelay time.Duration
	// SameRegionDelay is the delay between availability zones of one region.
	SameRegionDelay time.Duration
	// CrossRegionDelay is the delay between regions.
	CrossRegionDelay time.Duration
}

// Network carries HTTP calls and calls between hosts in memory, so that whole
// deployments run in the virtual time of testing/synctest. Calls over a cut
// link get no answer, as on a link that drops packets.
type Network struct {
	cfg NetworkConfig

	mu          sync.Mutex
	endpoints   map[string]endpoint
	peers       map[string]schema.DRPCPeerServer
	places      map[string]Place
	partitioned func(from, to Place) bool
	changed     chan struct{}
}

type endpoint struct {
	handler http.Handler
}

// NewNetwork returns a network without endpoints.
func NewNetwork(cfg NetworkConfig) *Network {
	return &Network{
		cfg: cfg, endpoints: make(map[string]endpoint), peers: make(map[string]schema.DRPCPeerServer),
		places: make(map[string]Place), partitioned: func(_, _ Place) bool { return false }, changed: make(chan struct{}),
	}
}

// Listen serves HTTP calls to an address.
func (n *Network) Listen(address string, place Place, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints[address] = endpoint{handler}
	n.places[address] = place
}

// ListenPeer serves calls of hosts to a peer address.
func (n *Network) ListenPeer(address string, place Place, server schema.DRPCPeerServer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[address] = server
	n.places[address] = place
}

// Close stops serving an address; calls to it are refused.
func (n *Network) Close(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.endpoints, address)
	delete(n.peers, address)
}

// SetPartition replaces the rule that says which links drop everything, by direction.
func (n *Network) SetPartition(drops func(from, to Place) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if drops == nil {
		drops = func(_, _ Place) bool { return false }
	}
	n.partitioned = drops
}

// transmit waits for the one-way delay, or until the context ends on a cut link.
func (n *Network) transmit(ctx context.Context, from, to Place) error {
	n.mu.Lock()
	dropped := n.partitioned(from, to)
	n.mu.Unlock()
	if dropped {
		<-ctx.Done()
		return ctx.Err()
	}
	delay := n.cfg.CrossRegionDelay
	switch {
	case from.AvailabilityZone == to.AvailabilityZone:
		delay = n.cfg.SameZoneDelay
	case from.Region == to.Region:
		delay = n.cfg.SameRegionDelay
	}
	if delay == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Transport returns the transport of an HTTP client at a place.
func (n *Network) Transport(from Place) http.RoundTripper {
	return transport{n, from}
}

type transport struct {
	network *Network
	from    Place
}

// RoundTrip implements http.RoundTripper. The answer is passed on when the
// handler has ended.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	n, ctx := t.network, req.Context()
	address := req.URL.Host
	n.mu.Lock()
	e, ok := n.endpoints[address]
	to := n.places[address]
	n.mu.Unlock()
	if err := n.transmit(ctx, t.from, to); err != nil {
		return nil, err
	}
	if !ok {
		return nil, ErrConnectionRefused
	}
	var body []byte
	if req.Body != nil {
		var err error
		if body, err = io.ReadAll(req.Body); err != nil {
			return nil, err
		}
		_ = req.Body.Close()
	}
	inbound := req.Clone(ctx)
	inbound.Body = io.NopCloser(bytes.NewReader(body))
	inbound.RemoteAddr = "127.0.0.1:1"
	inbound.RequestURI = req.URL.RequestURI()
	rec := httptest.NewRecorder()
	if err := serveRecovered(e.handler, rec, inbound); err != nil {
		return nil, err
	}
	if err := n.transmit(ctx, to, t.from); err != nil {
		return nil, err
	}
	resp := rec.Result()
	resp.Request = req
	return resp, nil
}

// serveRecovered runs a handler and turns an aborted answer into an error.
func serveRecovered(h http.Handler, w http.ResponseWriter, r *http.Request) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = io.ErrUnexpectedEOF
		}
	}()
	h.ServeHTTP(w, r)
	return r.Context().Err()
}

// PeerDialer returns a client for the host at a peer address, called from a place.
func (n *Network) PeerDialer(from Place) func(context.Context, string) schema.DRPCPeerClient {
	return func(_ context.Context, address string) schema.DRPCPeerClient {
		return schema.NewDRPCPeerClient(peerConn{n, from, address})
	}
}
