package forwarder

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"catkindyke/pkg/emulator"
)

// TestClaimedKey guards against a second run of an idempotency key while the first request
// is in progress or its outcome is unknown.
func TestClaimedKey(t *testing.T) {
	raw := rawRequest("POST", "/svc/a", "x", "Idempotency-Key: k")
	for _, finish := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			requests := 0
			fx := newFixture(t, func(s *serverConn) {
				if _, _, err := s.readRequest(); err != nil {
					return
				}
				requests++
				sleep(time.Second)
				if finish {
					_, _ = io.WriteString(s, strings.Replace(completeResponse, "200 OK", "201 Created", 1))
				}
				_ = s.Close()
			})
			defer fx.close()
			first := make(chan response)
			go func() { first <- fx.call(raw) }()
			synctest.Wait()
			during := fx.call(raw)
			assertEqual(t, during.status, 409, "status during the first request")
			assertEqual(t, during.outcome(), MayHaveRun, "outcome during the first request")
			got := <-first
			after := fx.call(raw)
			if finish {
				assertEqual(t, got.status, 201, "status of the first request")
				assertEqual(t, after.status, 201, "recorded status")
				assertEqual(t, after.header.Get(RecordedHeader), "true", "recorded header")
			} else {
				assertEqual(t, got.outcome(), MayHaveRun, "outcome of the first request")
				assertEqual(t, after.status, 409, "status after an unknown outcome")
			}
			assertEqual(t, requests, 1, "runs of the request")
		})
	}
}

// TestClaimsWithoutStore guards against a request that is sent without its claim, and
// against a store outage that stops requests that need no claim.
func TestClaimsWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, serveOK)
		defer fx.close()
		fx.platform.SetFaults(emulator.Faults{Down: true})
		got := fx.call(rawRequest("POST", "/svc/a", "x", "Idempotency-Key: k"))
		assertEqual(t, got.status, 503, "status")
		assertEqual(t, got.outcome(), NotRun, "outcome")
		assertEqual(t, fx.dials, 0, "connections")
		assertEqual(t, fx.call(rawRequest("POST", "/svc/a", "x")).status, 200, "status without a key")
		assertEqual(t, fx.call(rawRequest("PUT", "/svc/a", "x", "Idempotency-Key: k")).status, 200, "status of an idempotent request")
		sleep(2 * time.Minute) // until the background release has ended
	})
}
