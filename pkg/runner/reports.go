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
	// stepInterval bounds the delay until a change of view, an expiry or a hand-over takes
	// effect.
	stepInterval = 100 * time.Millisecond
	// stepsPerReport is the number of steps between two reports to a host.
	stepsPerReport = 5
	// stepsPerHealthPoll is the number of steps between two health polls of a server.
	stepsPerHealthPoll = 10
	// reportTimeout bounds a report call, so that calls to a silent host do not pile up.
	reportTimeout = 500 * time.Millisecond
	healthTimeout = time.Second
	// maxHealthBytes bounds the size of a health response.
	maxHealthBytes = 4 << 10
)

// runSlots keeps ownership, permits and server health up to date until the context ends.
func (h *Host) runSlots(ctx context.Context) {
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	previous := ""
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		snap := h.Snapshot()
		h.slots.update(snap)
		// After a change of the fleet the reports are sent at once, so that a hand-over does
		// not wait for the next interval.
		if current := fleetFingerprint(snap); n%stepsPerReport == 0 || previous != current {
			previous = current
			h.sendReports(ctx, snap, func(string) bool { return true })
			h.updateGauges()
		} else {
			h.sendReports(ctx, snap, h.slots.takeReportSoon)
		}
		if n%stepsPerHealthPoll == 0 {
			h.pollHealth(ctx, snap)
		}
	}
}

// fleetFingerprint returns a string that changes when hosts come, go or start to leave.
func fleetFingerprint(snap *snapshotter.Snapshot) string {
	var out strings.Builder
	for _, h := range snap.Hosts() {
		fmt.Fprintln(&out, h.Name, h.Incarnation, h.Leaving)
	}
	return out.String()
}

// sendReports sends a report to each host for which isDue returns true, and always to
// this host itself.
func (h *Host) sendReports(ctx context.Context, snap *snapshotter.Snapshot, isDue func(string) bool) {
	for _, peer := range snap.Hosts() {
		if peer.Name == h.cfg.Name {
			h.slots.handleReport(h.slots.buildReport(peer.Name, peer.Region))
		} else if isDue(peer.Name) {
			go h.sendReport(ctx, peer)
		}
	}
}

// updateGauges sets the gauges of owned servers and slots, and logs changes of ownership.
func (h *Host) updateGauges() {
	owned := h.slots.grantableServers()
	if before := h.meter.Get("owned_servers"); before != int64(len(owned)) {
		h.log.Info().Int64("before", before).Int("servers", len(owned)).Msg("ownership_changed")
	}
	h.meter.Set("owned_servers", int64(len(owned)))
	h.meter.Set("ejections", int64(h.slots.ejections()))
	var slots, used, queued uint32
	for _, l := range h.slots.poolLoads() {
		slots, used, queued = slots+l.GetSlots(), used+l.GetInUse(), queued+l.GetQueued()
	}
	h.meter.Set("owned_slots", int64(slots))
	h.meter.Set("owned_slots_in_use", int64(used))
	h.meter.Set("queued", int64(queued))
}

func (h *Host) sendReport(ctx context.Context, peer snapshotter.Host) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	resp, err := h.cfg.DialPeer(ctx, peer.PeerAddress).ReportPermits(ctx, h.slots.buildReport(peer.Name, peer.Region))
	if err != nil {
		h.meter.Add("reports_failed", 1)
		if errors.Is(err, syscall.ECONNREFUSED) {
			h.slots.markDead(peer.Name, peer.Incarnation)
		}
		return
	}
	h.slots.handleReportResponse(peer.Name, resp)
}

// pollHealth polls the health endpoint of each server that this host may grant.
func (h *Host) pollHealth(ctx context.Context, snap *snapshotter.Snapshot) {
	owned := h.slots.grantableServers()
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
	failed, leaving := h.fetchHealth(ctx, "http://"+b.GetAddress()+svc.GetHealthPath())
	if ctx.Err() == context.Canceled {
		return
	}
	if failed {
		h.meter.Add("health_failed", 1)
	}
	h.slots.recordHealthCheck(svc.GetName(), b.GetName(), failed, leaving)
}

// fetchHealth sends one health request. The server is leaving if it responds with status
// 503 and the state "leaving".
func (h *Host) fetchHealth(ctx context.Context, url string) (failed, leaving bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return true, false
	}
	resp, err := h.healthTransport.RoundTrip(req)
	if err != nil {
		return true, false
	}
	defer resp.Body.Close()
	var body struct {
		State string `json:"state"`
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxHealthBytes)).Decode(&body)
	leaving = err == nil && resp.StatusCode == http.StatusServiceUnavailable && body.State == "leaving"
	return resp.StatusCode != http.StatusOK, leaving
}
