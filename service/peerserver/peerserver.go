// Package peerserver serves calls of other hosts over DRPC.
package peerserver

import (
	"context"
	"crypto/tls"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"catkindyke/pkg/dialer"
)

// Server serves calls of other hosts.
type Server struct {
	drpcServer *drpcserver.Server
	tlsConfig  *tls.Config
}

// Config configures a Server.
type Config struct {
	// Register registers the DRPC services on the mux.
	Register func(drpc.Mux) error
	// TLS is the configuration of mutual TLS. Connections are not encrypted if nil.
	TLS *tls.Config
	// LogError is called for each connection that fails.
	LogError func(error)
}

// New returns a Server with the registered services.
func New(cfg Config) (*Server, error) {
	mux := drpcmux.New()
	if err := cfg.Register(mux); err != nil {
		return nil, err
	}
	opts := drpcserver.Options{Manager: dialer.ManagerOptions(), Log: cfg.LogError}
	return &Server{drpcServer: drpcserver.NewWithOptions(mux, opts), tlsConfig: cfg.TLS}, nil
}

// Serve serves connections until the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if s.tlsConfig != nil {
		l = tls.NewListener(l, s.tlsConfig)
	}
	return s.drpcServer.Serve(ctx, l)
}
