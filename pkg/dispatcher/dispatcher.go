// Package dispatcher grants the slots of the backend servers that a host owns.
package dispatcher

import (
	"context"
	"errors"
	"sync"
)

// ErrNoServer says that no backend server can take the request.
var ErrNoServer = errors.New("no backend server available")

// Server is a backend server with its number of slots.
type Server struct {
	Name    string
	Address string
	Slots   int
}

// Pool grants the slots of one service's servers.
type Pool struct {
	mu      sync.Mutex
	servers []Server
	inUse   map[string]int
	freed   chan struct{}
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{inUse: make(map[string]int), freed: make(chan struct{})}
}

// SetServers replaces the servers; permits in use stay counted.
func (p *Pool) SetServers(servers []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers = servers
	p.wake()
}

// Acquire waits for a slot until the context ends.
func (p *Pool) Acquire(ctx context.Context) (Server, error) {
	for {
		p.mu.Lock()
		best, free := Server{}, 0
		for _, s := range p.servers {
			if n := s.Slots - p.inUse[s.Name]; n > free {
				best, free = s, n
			}
		}
		if free > 0 {
			p.inUse[best.Name]++
			p.mu.Unlock()
			return best, nil
		}
		freed, empty := p.freed, len(p.servers) == 0
		p.mu.Unlock()
		if empty {
			return Server{}, ErrNoServer
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return Server{}, ctx.Err()
		}
	}
}

// Release gives a slot back.
func (p *Pool) Release(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse[name]--
	p.wake()
}

// wake tells all waiters to look again; p.mu is held.
func (p *Pool) wake() {
	close(p.freed)
	p.freed = make(chan struct{})
}
