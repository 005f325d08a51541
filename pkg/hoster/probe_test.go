package hoster

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/courier"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/steerer"
)

// The health check that a server answers must not count as one of its requests.
func TestHealthCheckIsNoLoad(t *testing.T) {
	for stated, want := range map[string]int{"1,0,4,100": 0, "3,0,4,100": 2, "0,0,4,100": 0} {
		t.Run(stated, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Server-Id", "s1")
				w.Header().Set("Server-Load", stated)
			}))
			defer server.Close()
			h := &Host{
				ctx: t.Context(), cfg: Config{Meter: meter.New(), Headers: steerer.Headers{ExpectedServer: "Expected", ServerID: "Server-Id", ServerLoad: "Server-Load", RemainingColdTime: "Cold"}},
				courier: courier.New(courier.Config{IDHeader: "Id", Clock: clock.New(), Dial: func(ctx context.Context, address string) (net.Conn, error) {
					return new(net.Dialer).DialContext(ctx, "tcp", address)
				}}),
			}
			_, load, err := h.checkHealth(balancer.Server{ID: "s1", Address: strings.TrimPrefix(server.URL, "http://")}, "/health")
			if err != nil || !load.IsStated() || load.Running != want {
				t.Errorf("load %+v, %v, want %d running requests", load, err, want)
			}
		})
	}
}
