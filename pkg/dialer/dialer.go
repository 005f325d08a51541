// Package dialer keeps pooled drpc connections to other hosts.
package dialer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"catkindyke/pkg/schema"
)

// MaxMessageBytes bounds each message between hosts; documents are at most 1 MB
// and need room for their head.
const MaxMessageBytes = 1<<20 + 64<<10

const (
	dialTimeout       = time.Second
	keepAliveInterval = 5 * time.Second
	// maxIdlePerHost is the number of idle connections kept to each host.
	maxIdlePerHost = 16
	idleTimeout    = 60 * time.Second
)

// ManagerOptions bounds the messages of a drpc connection.
func ManagerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// Config configures a dialer.
type Config struct {
	// TLS is the client side of mutual TLS; connections are plain when nil.
	TLS *tls.Config
}

// Dialer makes connections to hosts by their peer address.
type Dialer struct {
	cfg  Config
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

// New returns a dialer.
func New(cfg Config) *Dialer {
	return &Dialer{cfg: cfg, pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration: idleTimeout, KeyCapacity: maxIdlePerHost,
	})}
}

// PeerClient returns a client of the host at a peer address. Each call takes a
// connection from the pool and gives it back; a connection on which a call
// failed is closed.
func (d *Dialer) PeerClient(ctx context.Context, address string) schema.DRPCPeerClient {
	var conn drpc.Conn = d.pool.Get(ctx, address, d.dial)
	return schema.NewDRPCPeerClient(conn)
}

// FleetClient returns a client of the host's exchange of reports; see Peer.
func (d *Dialer) FleetClient(ctx context.Context, address string) schema.DRPCFleetClient {
	var conn drpc.Conn = d.pool.Get(ctx, address, d.dial)
	return schema.NewDRPCFleetClient(conn)
}

// Close closes the idle connections.
func (d *Dialer) Close() error {
	return d.pool.Close()
}

func (d *Dialer) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	netDialer := &net.Dialer{KeepAlive: keepAliveInterval}
	var conn net.Conn
	var err error
	if d.cfg.TLS != nil {
		conn, err = (&tls.Dialer{NetDialer: netDialer, Config: d.cfg.TLS}).DialContext(ctx, "tcp", address)
	} else {
		conn, err = netDialer.DialContext(ctx, "tcp", address)
	}
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: ManagerOptions()}), nil
}
