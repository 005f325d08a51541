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

// ErrConnectionRefused is returned for calls to an address without a listener.
var ErrConnectionRefused = fmt.Errorf("dial: %w", syscall.ECONNREFUSED)

// Place is the location of an endpoint.
type Place struct {
	Region           string
	AvailabilityZone string
	// Host distinguishes the endpoints of one zone. It may be empty if no
	// partition depends on it.
	Host string
}

// NetworkConfig contains the one-way delays of a network.
type NetworkConfig struct {
	// SameZoneDelay is the delay within an availability zone.
	SameZoneDelay time.Duration
	// SameRegionDelay is the delay between availability zones of one region.
	SameRegionDelay time.Duration
	// CrossRegionDelay is the delay between regions.
	CrossRegionDelay time.Duration
}

// Network transports HTTP requests and calls between hosts in memory, so that
// whole deployments run in the virtual time of testing/synctest. Across a
// partition, calls get no response until their contexts end, as when packets
// are dropped.
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

// Listen serves HTTP requests to an address.
func (n *Network) Listen(address string, place Place, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints[address] = endpoint{handler}
	n.places[address] = place
}

// ListenPeer serves calls from other hosts to a peer address.
func (n *Network) ListenPeer(address string, place Place, server schema.DRPCPeerServer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[address] = server
	n.places[address] = place
}

// Close stops serving an address. Further calls to it are refused.
func (n *Network) Close(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.endpoints, address)
	delete(n.peers, address)
}

// SetPartition sets the function that reports whether everything from one place
// to another is dropped. A nil function ends the partition.
func (n *Network) SetPartition(drops func(from, to Place) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if drops == nil {
		drops = func(_, _ Place) bool { return false }
	}
	n.partitioned = drops
}

// transmit waits for the one-way delay, or until the context ends if the places
// are partitioned.
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

// Transport returns a transport for HTTP clients at a place.
func (n *Network) Transport(from Place) http.RoundTripper {
	return transport{n, from}
}

type transport struct {
	network *Network
	from    Place
}

// RoundTrip implements http.RoundTripper. The response is returned only after
// the handler has returned.
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

// serveRecovered runs a handler and returns an error if it panics, which is how
// a handler aborts its response.
func serveRecovered(h http.Handler, w http.ResponseWriter, r *http.Request) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = io.ErrUnexpectedEOF
		}
	}()
	h.ServeHTTP(w, r)
	return r.Context().Err()
}

// PeerDialer returns a function that returns a client at a place for the host
// with a peer address.
func (n *Network) PeerDialer(from Place) func(context.Context, string) schema.DRPCPeerClient {
	return func(_ context.Context, address string) schema.DRPCPeerClient {
		return schema.NewDRPCPeerClient(peerConn{n, from, address})
	}
}
