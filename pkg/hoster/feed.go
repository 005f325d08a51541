package hoster

import (
	"sync"
	"sync/atomic"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/cataloger"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/rationer"
	"catkindyke/pkg/registrar"
	"catkindyke/pkg/relayer"
	"catkindyke/pkg/schema"
)

// Feed holds the functions through which the host follows the platform's store.
type Feed struct {
	// SetConfig applies a configuration.
	SetConfig func(cfg cataloger.Config)
	// ConfirmConfig records a time at which the host knew the newest configuration.
	ConfirmConfig func(asOf clock.Millis)
	// ConfigWritten records that the operator has written the configuration to the store
	// since the store was found restored.
	ConfigWritten func()
	// StoreRestored records that the store was restored from a backup. Lists of all kinds
	// follow at once, and again when ShouldListAgain returns true.
	StoreRestored   func()
	ShouldListAgain func() bool
	// ListApplied records that all objects of a kind were passed on.
	ListApplied func(l relayer.List)
	// BatchApplied records that the changes of a batch were passed on.
	BatchApplied func(b relayer.Batch)
	// RelayedBatches delivers changes from other hosts that this one may lack.
	RelayedBatches <-chan relayer.Batch
	// ShouldWatch reports whether this host should watch the store; the others
	// receive changes from the hosts that do.
	ShouldWatch func() bool
	// KindsToPoll returns the kinds for which the store should be polled now for
	// changes that no watch or other host has reported.
	KindsToPoll func() []string
	// StoreLost records that the store does not answer, StoreRegained that it does
	// again.
	StoreLost     func(err error)
	StoreRegained func()
	// IsUpToDate reports whether the host has received all changes, from the store or
	// from other hosts, since it last listed the servers.
	IsUpToDate func() bool
	// ReplaceServers replaces the list of backend servers. SetServer and
	// RemoveServer change one entry, which takes effect after BatchApplied.
	ReplaceServers func(list []registrar.Server)
	SetServer      func(s registrar.Server)
	RemoveServer   func(id string)
	// ReplaceEvacuations replaces the set of zones that get no requests,
	// SetEvacuation changes one of them.
	ReplaceEvacuations func(zones []string)
	SetEvacuation      func(zone string, active bool)
	// SetHost records the entry of a host, HostsListed that all entries were passed
	// on. hasNewestConfig reports whether they show that the store was not restored from a
	// backup since it had the newest configuration.
	SetHost     func(name, region, peerAddress string)
	HostsListed func(hasNewestConfig bool)
	// StoreHasNewestConfig reports whether this host knows that the store has the newest
	// configuration, although it may have been restored from a backup.
	StoreHasNewestConfig func() bool
}

// Feed returns the functions through which the host follows the store.
func (h *Host) Feed() Feed {
	return Feed{
		SetConfig: func(cfg cataloger.Config) { h.apply(func() { h.setConfig(cfg) }) },
		// The configuration itself was passed on before.
		ConfirmConfig: h.confirmConfigByStore, ConfigWritten: func() { h.configWritten.Store(true) },
		StoreRestored: func() { h.apply(h.recordRestore) }, ShouldListAgain: h.shouldListAgain,
		ListApplied:    h.relayer.RecordList,
		BatchApplied:   func(b relayer.Batch) { h.apply(h.publishChanges); h.relayer.RecordBatch(b, h.cfg.Clock.Now()) },
		RelayedBatches: h.relayedBatches, ShouldWatch: h.shouldWatch, KindsToPoll: h.kindsToPoll,
		StoreLost:     func(err error) { h.apply(func() { h.recordStoreLost(err) }) },
		StoreRegained: func() { h.apply(h.recordStoreRegained) },
		ReplaceServers: func(list []registrar.Server) {
			h.apply(func() {
				h.registrar.Replace(list, h.cfg.Clock.Now())
				h.serversListed.Store(true)
				h.inOutage.Store(false)
				h.publishServers()
			})
		},
		SetServer: func(s registrar.Server) {
			h.apply(func() { h.registrar.Put(s, h.cfg.Clock.Now()); h.logServer(s); h.serversChanged = true })
		},
		RemoveServer: func(id string) {
			h.apply(func() { h.registrar.Remove(id, h.cfg.Clock.Now()); h.logServerRemoved(id); h.serversChanged = true })
		},
		IsUpToDate:         h.isUpToDate,
		ReplaceEvacuations: func(zones []string) { h.apply(func() { h.replaceEvacuations(zones) }) },
		SetEvacuation:      func(zone string, active bool) { h.apply(func() { h.setEvacuation(zone, active); h.publishServers() }) },
		SetHost:            func(name, region, address string) { h.apply(func() { h.setHost(name, region, address) }) },
		HostsListed:        h.recordHostsListed, StoreHasNewestConfig: h.storeHasNewestConfig,
	}
}

func (h *Host) logServer(s registrar.Server) {
	h.cfg.Log.Info().Str("server", s.ID).Str("address", s.Address).Str("zone", s.Zone).Bool("draining", s.Draining).
		Int64("cold_left_ms", int64(s.RemainingColdTime)).Msg("server_entry")
}

func (h *Host) logServerRemoved(id string) {
	h.cfg.Log.Info().Str("server", id).Msg("server_entry_removed")
}

func (h *Host) setConfig(cfg cataloger.Config) {
	h.storedVersion.Store(cfg.Version)
	if old := h.catalog.Load(); old != nil && cfg.Version <= old.Version() {
		return
	}
	c, err := cataloger.New(cfg)
	if err != nil {
		h.cfg.Log.Error().Uint64("config_version", cfg.Version).Err(err).Msg("configuration_refused")
		return
	}
	limits := make(map[string]rationer.Limit)
	names := make(namesByHash)
	for _, w := range c.Workspaces() {
		names.add(w.Name)
		limits[w.Name] = rationer.Limit{Rate: w.Rate, Burst: w.Burst}
	}
	h.mu.Lock()
	h.workspaceNames = names
	h.rationer.SetLimits(limits, h.cfg.Clock.Now())
	h.mu.Unlock()
	h.catalog.Store(c)
	h.cfg.Meter.Set("config_version", int64(cfg.Version))
	h.cfg.Log.Info().Uint64("config_version", cfg.Version).Int("routes", len(cfg.Routes)).
		Int("workspaces", len(cfg.Workspaces)).Msg("configuration_in_force")
	h.publishServers()
}

// confirmConfigByStore records that the store had no newer configuration at the given time.
// A restored store may lack the newest one until the operator has written it again, which
// a host that has just started learns from others. Whether the store was restored before that
// start is not known until the hosts are listed.
func (h *Host) confirmConfigByStore(asOf clock.Millis) {
	advance(&h.polledAt, asOf)
	if h.lacksReportedConfig() {
		return
	}
	if h.configWritten.Load() || asOf >= clock.Millis(h.restoredAt.Load())+registrar.RestoreGrace {
		h.confirmConfig(asOf)
	}
}

// recordHostsListed records that the entries of all hosts are known. Unless they show that the
// store has the newest configuration, a host that starts acts as if the store had been restored
// just now.
func (h *Host) recordHostsListed(hasNewestConfig bool) {
	h.hostsListed.Store(true)
	restoredAt := int64(h.cfg.Clock.Now())
	if hasNewestConfig {
		restoredAt = neverRestored
	}
	if !h.restoredAt.CompareAndSwap(restoreUnknown, restoredAt) {
		return
	}
	if !hasNewestConfig {
		h.cfg.Meter.Add("starts_with_unknown_store", 1)
		h.cfg.Log.Warn().Msg("store_may_be_restored")
	}
	if polledAt := h.polledAt.Load(); polledAt >= 0 {
		h.confirmConfigByStore(clock.Millis(polledAt))
	}
}

// storeHasNewestConfig reports whether the store has the newest configuration, by what this
// host knows of its last restore and by what other hosts report.
func (h *Host) storeHasNewestConfig() bool {
	restoredAt, c := clock.Millis(h.restoredAt.Load()), h.catalog.Load()
	if h.cfg.MaxRevocationDelay == 0 || c == nil || c.Version() != h.storedVersion.Load() || h.lacksReportedConfig() {
		return false
	}
	return clock.Millis(h.configConfirmedAt.Load()) >= max(0, restoredAt) &&
		(h.configWritten.Load() || h.cfg.Clock.Now() >= restoredAt+registrar.RestoreGrace)
}

// recordRestore prepares for lists of a store that was restored from a backup.
func (h *Host) recordRestore() {
	now := h.cfg.Clock.Now()
	h.storedVersion.Store(0)
	h.configWritten.Store(false)
	h.restoredAt.Store(int64(now))
	h.mustListAgain.Store(true)
	h.registrar.StartRestore(now)
	h.evacuations.startRestore(now)
}

// shouldListAgain returns true once when a restored store has all that was written again.
func (h *Host) shouldListAgain() bool {
	return h.cfg.Clock.Now() >= clock.Millis(h.restoredAt.Load())+registrar.RestoreGrace && h.mustListAgain.CompareAndSwap(true, false)
}

// confirmConfig advances the time at which the host last knew the newest
// configuration.
func (h *Host) confirmConfig(asOf clock.Millis) {
	advance(&h.configConfirmedAt, asOf)
	h.updates.record(asOf)
}

// updateTracker tracks since when the configuration was confirmed again and again without a
// gap above maxUpdateGap. An outage of the store in which entries lapse leaves a gap.
type updateTracker struct {
	mu          sync.Mutex
	since, last clock.Millis
	// confirmed is set from the first confirmation on.
	confirmed bool
}

func (u *updateTracker) record(asOf clock.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.confirmed || asOf > u.last+maxUpdateGap {
		u.confirmed, u.since = true, asOf
	}
	u.last = max(u.last, asOf)
}

// sinceAt returns the time since which there was no gap, or false if there is one now.
func (u *updateTracker) sinceAt(now clock.Millis) (since clock.Millis, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.since, u.confirmed && now-u.last <= maxUpdateGap
}

// advance sets a time to a later one.
func advance(t *atomic.Int64, to clock.Millis) {
	for {
		old := t.Load()
		if int64(to) <= old || t.CompareAndSwap(old, int64(to)) {
			return
		}
	}
}

// kindsToPoll returns the kinds for which this host should poll the store. The first
// live host by name polls most often, and the others learn of its answer; each of
// the next waits longer, so that one call serves the whole fleet and no host is
// indispensable. A watch that misses changes is detected by what other hosts know.
// Hosts whose neighbors have lost the store poll early, because entries of servers
// that expire during an outage must not count as removed.
func (h *Host) kindsToPoll() []string {
	now := h.cfg.Clock.Now()
	maxAge := pollAge + clock.Millis(min(h.fleet.pollRank(now), maxPollRank))*pollAgeStep
	if h.fleet.shouldPollEarly(now) {
		maxAge = storeLostPollAge
	}
	if now-clock.Millis(max(h.configConfirmedAt.Load(), h.polledAt.Load())) >= maxAge {
		return h.relayer.Kinds()
	}
	return h.relayer.LaggingKinds(now)
}

// shouldWatch reports whether this host should watch the store. A new host first
// waits for watchDelay, in which it receives the reports of the others.
func (h *Host) shouldWatch() bool {
	now := h.cfg.Clock.Now()
	return now-h.startedAt >= watchDelay && h.fleet.watchersBefore(now) < watchersPerRegion
}

// enqueueBatches queues the changes from another host. Batches that don't fit are
// dropped, and the host polls the store for them later.
func (h *Host) enqueueBatches(batches []*schema.Batch) {
	for _, b := range batches {
		select {
		case h.relayedBatches <- decodeBatch(b):
		default:
			h.cfg.Meter.Add("relayed_batches_left_out", 1)
		}
	}
}

func (h *Host) recordStoreRegained() {
	if h.storeLostAt.Swap(0) != 0 {
		h.cfg.Log.Info().Msg("store_regained")
		h.gossiper.WakeLost(hostsToWake)
	}
}

func (h *Host) recordStoreLost(err error) {
	now := int64(h.cfg.Clock.Now())
	if h.storeLostAt.CompareAndSwap(0, now) {
		h.cfg.Log.Warn().Int64("contact_age_ms", now-h.configConfirmedAt.Load()).Err(err).Msg("store_lost")
	}
}

func (h *Host) replaceEvacuations(zones []string) {
	begun, lifted := h.evacuations.differences(zones, h.cfg.Clock.Now())
	for _, zone := range begun {
		h.setEvacuation(zone, true)
	}
	for _, zone := range lifted {
		h.setEvacuation(zone, false)
	}
	h.evacuationsListed.Store(true)
	h.publishServers()
}

// setEvacuation sets whether a zone is evacuated, so that it gets no requests. Its
// servers may become cold meanwhile, and count as cold afterwards until they report
// otherwise.
func (h *Host) setEvacuation(zone string, active bool) {
	now := h.cfg.Clock.Now()
	if !h.evacuations.set(zone, active, now) {
		return
	}
	h.cfg.Log.Info().Str("zone", zone).Bool("evacuated", active).Msg("evacuation")
	if !active {
		h.registrar.MarkZoneCold(zone, func(service string) clock.Millis { return now + h.coldTime(service) })
	}
}

func (h *Host) coldTime(service string) clock.Millis {
	if c := h.catalog.Load(); c != nil {
		if s := c.Service(service); s != nil {
			return s.ColdTime
		}
	}
	return 0
}

// publishChanges publishes changed servers, at once or at a later tick. The cost of
// publishing grows with the numbers of servers and of reports, and hundreds of
// servers may change in a second.
func (h *Host) publishChanges() {
	if h.serversChanged && h.cfg.Clock.Now()-h.publishedAt >= minPublishInterval {
		h.publishServers()
	}
}

// publishServers passes the servers that may get requests to the balancer.
func (h *Host) publishServers() {
	h.serversChanged, h.publishedAt = false, h.cfg.Clock.Now()
	h.cfg.Meter.Add("servers_published", 1)
	h.cfg.Meter.Set("zones_evacuated", int64(len(h.evacuations.active)))
	var list []balancer.Server
	names := make(namesByHash)
	c := h.catalog.Load()
	for _, e := range h.registrar.Entries() {
		if e.Draining || h.evacuations.active[e.Zone] {
			continue
		}
		coldRate := 0.0
		if c != nil {
			if s := c.Service(e.Service); s != nil {
				coldRate = s.ColdRate
			}
		}
		names.add(e.ID)
		list = append(list, balancer.Server{
			ID: e.ID, Service: e.Service, Address: e.Address, Zone: e.Zone, Region: e.Region, Slots: e.Slots,
			ColdUntil: e.ColdUntil, ColdRate: coldRate, StartUnixMs: e.StartUnixMs,
		})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serverNames = names
	h.balancer.SetServers(list)
}

func (h *Host) setHost(name, region, address string) {
	if name == h.cfg.Name {
		return
	}
	if old := h.fleet.recordAnnouncement(name, region, address, h.cfg.Clock.Now()); old != "" && old != address {
		h.gossiper.RemovePeer(old)
	}
	h.gossiper.AddPeer(address)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rationer.AddHost(name, h.cfg.Clock.Now())
}
