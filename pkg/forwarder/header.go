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

// hopByHopHeaders headers are for one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// idempotencyKeyHeaders make net/http replay a request. They are forwarded
// under a name that is not in canonical form, which is equal on the wire (names
// are case-insensitive) and not recognized by net/http.
var idempotencyKeyHeaders = []string{IdempotencyKeyHeader, "X-Idempotency-Key"}

func removeHopByHop(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name) // already in canonical form, which Del would compute
	}
}

// requestHeader returns the header for a backend server. The result shares the
// values of the caller's header and never changes them.
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
		out["User-Agent"] = nil // net/http would add its own
	}
	setForwardedFor(out, peer, trusted)
	return out
}

// setForwardedFor adds the peer's address; addresses before it are kept only
// when the peer is a trusted proxy.
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

// trailerAllowed reports whether a trailer field may be passed on.
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

// announcedTrailer returns the trailer fields that may be passed on, without values.
func announcedTrailer(in http.Header) http.Header {
	out := make(http.Header, len(in))
	for k := range in {
		if trailerAllowed(k) {
			out[k] = nil
		}
	}
	return out
}

// copyResponseHeader writes a backend server's header to the caller's answer.
// A Connection header that the host itself has set stays.
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
	// Only catkindyke itself says these.
	delete(dst, OutcomeHeader)
	delete(dst, RecordedHeader)
	dst[ServerHeader] = []string{server}
	if _, ok := dst["Content-Type"]; !ok {
		dst["Content-Type"] = nil // net/http would guess one
	}
}

// checkHeader refuses requests that cannot be forwarded without a change of meaning.
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

// parseDeadline reads the caller's deadline; zero when there is none.
func parseDeadline(h http.Header) (clock.Millis, bool) {
	v := h.Get(DeadlineHeader)
	if v == "" {
		return 0, true
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	// A day is beyond any use and keeps the conversion to nanoseconds in range.
	return min(clock.Millis(ms), 24*3600*clock.Second), err == nil && ms > 0
}

// peerAddr returns the address of the connection's other side.
func peerAddr(remote string) (netip.Addr, bool) {
	ap, err := netip.ParseAddrPort(remote)
	return ap.Addr().Unmap(), err == nil
}
