// Package dialer provides pooled drpc connections to other hosts.
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

// MaxMessageBytes limits each message between hosts. A document has at most 1 MB;
// the rest is for its head.
const MaxMessageBytes = 1<<20 + 64<<10

const (
	dialTimeout       = time.Second
	keepAliveInterval = 5 * time.Second
	// maxIdlePerHost limits the idle connections kept open to each host.
	maxIdlePerHost = 16
	idleTimeout    = 60 * time.Second
)

// ManagerOptions returns the drpc options that limit messages to MaxMessageBytes.
func ManagerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// Config configures a dialer.
type Config struct {
	// TLS is the client configuration for mutual TLS. Connections are unencrypted
	// if it is nil.
	TLS *tls.Config
}

// Dialer connects to other hosts by their peer address.
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

// PeerClient returns a client for the Peer service of the host at address. Each
// call takes a connection from the pool and puts it back afterwards. A connection
// on which a call failed is closed.
func (d *Dialer) PeerClient(ctx context.Context, address string) schema.DRPCPeerClient {
	var conn drpc.Conn = d.pool.Get(ctx, address, d.dial)
	return schema.NewDRPCPeerClient(conn)
}

// FleetClient returns a client for the Fleet service, over which hosts exchange
// reports. It uses connections like PeerClient.
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
