package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"catkindyke/pkg/schema"
	"catkindyke/pkg/snapshotter"
)

const (
	// stepInterval bounds how late a change of view, an expiry or a hand-over takes effect.
	stepInterval = 100 * time.Millisecond
	// reportSteps is the number of steps between two reports to each host.
	reportSteps = 5
	// healthSteps is the number of steps between two health polls of each server.
	healthSteps = 10
	// reportTimeout bounds each report, so that reports to a silent host do not pile up.
	reportTimeout = 500 * time.Millisecond
	healthTimeout = time.Second
	// maxHealthBytes bounds the health answer that is read.
	maxHealthBytes = 4 << 10
)

// runSlots keeps ownership, permits and health up to date until the context ends.
func (h *Host) runSlots(ctx context.Context) {
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	fleet := ""
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		snap := h.Snapshot()
		h.slots.update(snap)
		// A change of the fleet is reported at once, so that a hand-over does not wait for the interval.
		if now := fleetOf(snap); n%reportSteps == 0 || fleet != now {
			fleet = now
			h.sendReports(ctx, snap, func(string) bool { return true })
			h.measure()
		} else {
			h.sendReports(ctx, snap, h.slots.takeSoon)
		}
		if n%healthSteps == 0 {
			h.pollHealth(ctx, snap)
		}
	}
}

// fleetOf names the live hosts and those that leave, to notice changes.
func fleetOf(snap *snapshotter.Snapshot) string {
	var out strings.Builder
	for _, h := range snap.Hosts() {
		fmt.Fprintln(&out, h.Name, h.Incarnation, h.Leaving)
	}
	return out.String()
}

// sendReports reports to the hosts for which due is true, and always to the host itself.
func (h *Host) sendReports(ctx context.Context, snap *snapshotter.Snapshot, due func(string) bool) {
	for _, peer := range snap.Hosts() {
		if peer.Name == h.cfg.Name {
			h.slots.report(h.slots.reportFor(peer.Name, peer.Region))
		} else if due(peer.Name) {
			go h.sendReport(ctx, peer)
		}
	}
}

// measure sets the gauges of the owned slots.
func (h *Host) measure() {
	owned := h.slots.owned()
	if before := h.meter.Get("owned_servers"); before != int64(len(owned)) {
		h.log.Info().Int64("before", before).Int("servers", len(owned)).Msg("ownership_changed")
	}
	h.meter.Set("owned_servers", int64(len(owned)))
	h.meter.Set("ejections", int64(h.slots.ejections()))
	var slots, used, queued uint32
	for _, l := range h.slots.loads() {
		slots, used, queued = slots+l.GetSlots(), used+l.GetInUse(), queued+l.GetQueued()
	}
	h.meter.Set("owned_slots", int64(slots))
	h.meter.Set("owned_slots_in_use", int64(used))
	h.meter.Set("queued", int64(queued))
}

func (h *Host) sendReport(ctx context.Context, peer snapshotter.Host) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	resp, err := h.cfg.DialPeer(ctx, peer.PeerAddress).ReportPermits(ctx, h.slots.reportFor(peer.Name, peer.Region))
	if err != nil {
		h.meter.Add("reports_failed", 1)
		if errors.Is(err, syscall.ECONNREFUSED) {
			h.slots.refused(peer.Name, peer.Incarnation)
		}
		return
	}
	h.slots.answered(peer.Name, resp)
}

// pollHealth asks each owned server for its health.
func (h *Host) pollHealth(ctx context.Context, snap *snapshotter.Snapshot) {
	owned := h.slots.owned()
	for _, svc := range snap.Config().GetServices() {
		for _, b := range svc.GetBackendServers() {
			if _, ok := owned[b.GetName()]; ok && svc.GetHealthPath() != "" {
				go h.pollServer(ctx, svc, b)
			}
		}
	}
}

func (h *Host) pollServer(ctx context.Context, svc *schema.Service, b *schema.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	failed, leaving := h.askHealth(ctx, "http://"+b.GetAddress()+svc.GetHealthPath())
	if ctx.Err() == context.Canceled {
		return
	}
	if failed {
		h.meter.Add("health_failed", 1)
	}
	h.slots.health(svc.GetName(), b.GetName(), failed, leaving)
}

func (h *Host) askHealth(ctx context.Context, url string) (failed, leaving bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return true, false
	}
	resp, err := h.health.RoundTrip(req)
	if err != nil {
		return true, false
	}
	defer resp.Body.Close()
	var answer struct {
		State string `json:"state"`
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxHealthBytes)).Decode(&answer)
	leaving = err == nil && resp.StatusCode == http.StatusServiceUnavailable && answer.State == "leaving"
	return resp.StatusCode != http.StatusOK, leaving
}
