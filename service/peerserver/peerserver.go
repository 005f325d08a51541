// Package peerserver serves the calls of other hosts over drpc.
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

// Server listens for other hosts.
type Server struct {
	drpcServer *drpcserver.Server
	tlsConfig  *tls.Config
}

// Config configures a server.
type Config struct {
	// Register adds the services that answer the calls.
	Register func(drpc.Mux) error
	// TLS is the server side of mutual TLS; connections are plain when nil.
	TLS *tls.Config
	// LogError is called for connections that fail.
	LogError func(error)
}

// New returns a server.
func New(cfg Config) (*Server, error) {
	mux := drpcmux.New()
	if err := cfg.Register(mux); err != nil {
		return nil, err
	}
	opts := drpcserver.Options{Manager: dialer.ManagerOptions(), Log: cfg.LogError}
	return &Server{drpcServer: drpcserver.NewWithOptions(mux, opts), tlsConfig: cfg.TLS}, nil
}

// Serve answers calls until the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if s.tlsConfig != nil {
		l = tls.NewListener(l, s.tlsConfig)
	}
	return s.drpcServer.Serve(ctx, l)
}
