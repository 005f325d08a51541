package forwarder

import (
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"catkindyke/pkg/authenticator"
	"catkindyke/pkg/clock"
)

// hopByHopHeaders apply to a single connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// idempotencyKeyHeaders cause net/http to replay a request. They are forwarded with a name
// that is not in canonical form, which is the same on the wire, where names are
// case-insensitive, but is not recognized by net/http.
var idempotencyKeyHeaders = []string{IdempotencyKeyHeader, "X-Idempotency-Key"}

func removeHopByHop(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name) // the name is canonical already; Del would convert it again
	}
}

// requestHeader returns the header to send to a backend server. The result shares the
// values of the caller's header, which it never changes.
func requestHeader(in http.Header, workspace, peer string, trusted bool) http.Header {
	out := make(http.Header, len(in)+4)
	for k, v := range in {
		out[k] = v[:len(v):len(v)]
	}
	removeHopByHop(out)
	authenticator.StripKeyHeaders(out)
	for _, name := range []string{WorkspaceHeader, DeadlineHeader, OutcomeHeader, ServerHeader} {
		delete(out, name)
	}
	for _, name := range idempotencyKeyHeaders {
		if v, ok := out[name]; ok {
			delete(out, name)
			out[strings.ToLower(name)] = v
		}
	}
	if workspace != "" {
		out[WorkspaceHeader] = []string{workspace}
	}
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = nil // keeps net/http from adding its own
	}
	setForwardedFor(out, peer, trusted)
	return out
}

// setForwardedFor appends the peer's address to X-Forwarded-For. It keeps the addresses
// already there only if the peer is a trusted proxy.
func setForwardedFor(h http.Header, peer string, trusted bool) {
	host, _, err := net.SplitHostPort(peer)
	if err != nil {
		host = peer
	}
	const name = "X-Forwarded-For"
	if prior := h[name]; trusted && len(prior) > 0 {
		host = strings.Join(prior, ", ") + ", " + host
	}
	h[name] = []string{host}
}

// trailerAllowed reports whether a trailer field may be forwarded.
func trailerAllowed(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case authenticator.KeyHeader, "Authorization", "Proxy-Authorization", "Content-Length", "Host",
		"Content-Encoding", "Content-Type", "Content-Range", "Set-Cookie", WorkspaceHeader, DeadlineHeader,
		OutcomeHeader, ServerHeader:
		return false
	}
	for _, h := range hopByHopHeaders {
		if strings.EqualFold(name, h) {
			return false
		}
	}
	return true
}

// announcedTrailer returns the trailer fields that may be forwarded, without values.
func announcedTrailer(in http.Header) http.Header {
	out := make(http.Header, len(in))
	for k := range in {
		if trailerAllowed(k) {
			out[k] = nil
		}
	}
	return out
}

// copyResponseHeader copies the header of a backend server to the response to the caller. A
// Connection header that this host has set is kept.
func copyResponseHeader(dst, src http.Header, server string) {
	hostConnection := dst["Connection"]
	for k, v := range src {
		dst[k] = v
	}
	for _, v := range src["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			dst.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(dst, name)
	}
	if hostConnection != nil {
		dst["Connection"] = hostConnection
	}
	// Only catkindyke itself may set these.
	delete(dst, OutcomeHeader)
	delete(dst, RecordedHeader)
	dst[ServerHeader] = []string{server}
	if _, ok := dst["Content-Type"]; !ok {
		dst["Content-Type"] = nil // keeps net/http from guessing one
	}
}

// checkHeader refuses requests whose meaning would change if they were forwarded.
func checkHeader(r *http.Request) *Refusal {
	switch {
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		return &Refusal{http.StatusNotImplemented, "method_not_supported", NotRun, 0}
	case r.Header.Get("Upgrade") != "":
		return &Refusal{http.StatusNotImplemented, "upgrade_not_supported", NotRun, 0}
	case len(r.Header.Values(IdempotencyKeyHeader)) > 1:
		return &Refusal{http.StatusBadRequest, "ambiguous_idempotency_key", NotRun, 0}
	case len(r.Header.Values(DeadlineHeader)) > 1:
		return &Refusal{http.StatusBadRequest, "bad_deadline", NotRun, 0}
	}
	return nil
}

// parseDeadline returns the time that the caller allows, or zero if it sets none, and
// whether the header is valid.
func parseDeadline(h http.Header) (clock.Millis, bool) {
	v := h.Get(DeadlineHeader)
	if v == "" {
		return 0, true
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	// No request needs more than a day, and the limit keeps the conversion to nanoseconds in range.
	return min(clock.Millis(ms), 24*3600*clock.Second), err == nil && ms > 0
}

// peerAddr returns the IP address of the remote end of a connection.
func peerAddr(remote string) (netip.Addr, bool) {
	ap, err := netip.ParseAddrPort(remote)
	return ap.Addr().Unmap(), err == nil
}
