package runner

import (
	"context"
	"sync"

	"catkindyke/pkg/dispatcher"
	"catkindyke/pkg/forwarder"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/snapshotter"
)

// pools holds one pool for each service.
type pools struct {
	mu     sync.Mutex
	byName map[string]*dispatcher.Pool
}

func newPools() *pools {
	return &pools{byName: make(map[string]*dispatcher.Pool)}
}

func (p *pools) get(service string) *dispatcher.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byName[service]
	if pool == nil {
		pool = dispatcher.NewPool()
		p.byName[service] = pool
	}
	return pool
}

// acquire takes a slot of the host's own region, or of another when the region has no servers.
func (h *Host) acquire(ctx context.Context, svc *snapshotter.Service, _ string, _ []string) (forwarder.Permit, error) {
	region := h.cfg.Region
	servers := svc.Servers(region)
	for _, r := range regionOrder(h.Snapshot()) {
		if len(servers) > 0 {
			break
		}
		region, servers = r, svc.Servers(r)
	}
	list := make([]dispatcher.Server, 0, len(servers))
	for _, s := range servers {
		list = append(list, dispatcher.Server{Name: s.GetName(), Address: s.GetAddress(), Slots: svc.Slots(s)})
	}
	pool := h.pools.get(svc.Config().GetName())
	pool.SetServers(list)
	server, err := pool.Acquire(ctx)
	if err != nil {
		return forwarder.Permit{}, err
	}
	return forwarder.Permit{
		BackendServer: server.Name, Address: server.Address, Region: region,
		Release: func(schema.PermitResult) { pool.Release(server.Name) },
	}, nil
}

// poolLoads returns the load of the slots that the host owns.
func (h *Host) poolLoads() []*schema.PoolLoad { return nil }
