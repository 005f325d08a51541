package forwarder

import "testing"

// TestConnectionLimits guards against idle connections that exceed a server's limit
// together with those in use and one per host for health checks.
func TestConnectionLimits(t *testing.T) {
	for _, tc := range []struct{ connections, slots, hosts, wantMaxConns, wantMaxIdle int }{
		{0, 3, 12, 19, 16},
		{330, 4, 12, 20, 16},
		{100, 4, 12, 11, 7},
		{11, 3, 2, 6, 3},
		{4, 3, 2, 3, -1},
		{2, 3, 2, 3, -1},
	} {
		maxConns, maxIdle := connectionLimits(tc.connections, tc.slots, tc.hosts)
		if maxConns != tc.wantMaxConns || maxIdle != tc.wantMaxIdle {
			t.Errorf("connections %d, slots %d, hosts %d: maxConns %d and maxIdle %d, want %d and %d", tc.connections, tc.slots, tc.hosts, maxConns, maxIdle, tc.wantMaxConns, tc.wantMaxIdle)
		}
	}
}
