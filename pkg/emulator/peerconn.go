package emulator

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"catkindyke/pkg/schema"
)

// errStreamsUnsupported is returned for streams. Only unary calls are supported.
var errStreamsUnsupported = errors.New("streams are not supported")

// peerConn makes unary drpc calls over a Network.
type peerConn struct {
	network *Network
	from    Place
	address string
}

// Invoke implements drpc.Conn.
func (c peerConn) Invoke(ctx context.Context, rpc string, _ drpc.Encoding, in, out drpc.Message) error {
	n := c.network
	n.mu.Lock()
	server, ok := n.peers[c.address]
	to := n.places[c.address]
	n.mu.Unlock()
	if err := n.transmit(ctx, c.from, to); err != nil {
		return err
	}
	if !ok {
		return ErrConnectionRefused
	}
	result, err := callMethod(ctx, server, rpc, in)
	if err != nil {
		return err
	}
	if err := n.transmit(ctx, to, c.from); err != nil {
		return err
	}
	proto.Merge(out.(proto.Message), result)
	return nil
}

// callMethod calls the server's method with the given drpc name on a copy of the
// request.
func callMethod(ctx context.Context, server schema.DRPCPeerServer, rpc string, in drpc.Message) (proto.Message, error) {
	var desc schema.DRPCPeerDescription
	for i := range desc.NumMethods() {
		name, _, receiver, _, ok := desc.Method(i)
		if ok && name == rpc {
			result, err := receiver(server, ctx, proto.Clone(in.(proto.Message)), nil)
			if err != nil {
				return nil, err
			}
			return result.(proto.Message), nil
		}
	}
	return nil, errors.New("unknown method " + rpc)
}

// NewStream implements drpc.Conn.
func (c peerConn) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errStreamsUnsupported
}

// Close implements drpc.Conn.
func (c peerConn) Close() error { return nil }

// Closed implements drpc.Conn.
func (c peerConn) Closed() <-chan struct{} { return nil }

// Unblocked implements drpc.Conn.
func (c peerConn) Unblocked() <-chan struct{} { return nil }
