package steerer

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/courier"
)

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

func newReader(b []byte) io.Reader { return bytes.NewReader(b) }

// hostName is a Host header without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// endToEnd returns the headers that are passed on.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range h["Connection"] {
		for _, name := range strings.Split(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// outgoing is the request as it is sent to the chosen server.
func (s *Steerer) outgoing(x *exchange) *courier.Request {
	h := endToEnd(x.r.Header)
	h.Del("Expect")
	names := s.cfg.Headers
	h.Del(names.Key)
	h.Del(names.Workspace)
	if x.workspace != nil {
		h.Set(names.Workspace, x.workspace.Name)
	}
	h.Set(names.ExpectedServer, x.choice.Server.ID)
	h.Set(names.Deadline, strconv.FormatInt(int64(s.left(x)), 10))
	return &courier.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body,
		Stream: x.stream, ContentLength: x.r.ContentLength, FreshConn: !x.route.IsIdempotent(),
	}
}

// pass gives the server's answer to the caller.
func (s *Steerer) pass(x *exchange, answer *courier.Response) {
	h := x.w.Header()
	for name, values := range endToEnd(answer.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // net/http guesses a type unless the entry exists
	}
	if answer.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	x.w.WriteHeader(answer.Status)
	s.cfg.Meter.Add("answers", 1)
	s.cfg.Meter.Observe("answer_ms", int64(s.cfg.Clock.Now()-x.start))
	s.log(x, answer.Status, "answered")
	if answer.Stream == nil {
		// The caller may be gone; there is nobody else to tell.
		_, _ = x.w.Write(answer.Body)
		return
	}
	defer answer.Stream.Close()
	if _, err := io.Copy(x.w, answer.Stream); err != nil {
		s.cfg.Log.Warn().Str("request", x.id).Str("server", x.choice.Server.ID).Err(err).Msg("answer_cut")
		// An answer that ends early must not look complete.
		panic(http.ErrAbortHandler)
	}
}

// refuse gives an answer of the host's own.
func (s *Steerer) refuse(x *exchange, ref *refusal) {
	h := x.w.Header()
	if x.id != "" {
		h.Set(s.cfg.Headers.RequestID, x.id)
	}
	if ref.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(ref.retryAfter)/1000, 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	s.cfg.Meter.Add("refused_"+ref.reason, 1)
	s.cfg.Meter.Observe("refusal_ms", int64(s.cfg.Clock.Now()-x.start))
	s.log(x, ref.status, ref.reason)
	x.w.WriteHeader(ref.status)
	_, _ = io.WriteString(x.w, ref.reason+"\n")
}

// log writes the line of a finished request.
func (s *Steerer) log(x *exchange, status int, outcome string) {
	e := s.cfg.Log.Info()
	if status >= http.StatusBadRequest {
		e = s.cfg.Log.Warn()
	}
	if e == nil {
		return
	}
	e = e.Str("request", x.id).Int("status", status).Str("outcome", outcome).
		Int64("took_ms", int64(s.cfg.Clock.Now()-x.start)).Int64("limit_ms", int64(x.limit)).
		Int("attempts", x.sent).Int("unsent", x.unsent)
	if x.catalog != nil {
		e = e.Uint64("config_version", x.catalog.Version())
	}
	if x.route != nil {
		e = e.Str("route", x.route.Name).Str("service", x.service).Str("object", x.object(s.cfg.Headers.Object))
	}
	if x.workspace != nil {
		e = e.Str("workspace", x.workspace.Name)
	}
	if x.choice.Server.ID != "" || x.choice.Refused {
		e = e.Str("server", x.choice.Server.ID).Int("load", x.choice.InFlight).Bool("warm", x.choice.Warm).Bool("known", x.known).Str("region", x.choice.Server.Region).
			Int64("estimate_ms", int64(x.choice.EstimatedLatency))
	}
	e.Msg("request")
}

// logAttempt writes a line for an attempt that brought no answer.
func (s *Steerer) logAttempt(x *exchange, res balancer.Result, answer *courier.Response, err error) {
	status := 0
	if answer != nil {
		status = answer.Status
	}
	s.cfg.Meter.Add("attempts_"+res.String(), 1)
	s.cfg.Log.Warn().Str("request", x.id).Str("server", x.choice.Server.ID).Str("result", res.String()).
		Int("status", status).Err(err).Int("load", x.choice.InFlight).Int64("left_ms", int64(s.left(x))).Msg("attempt_failed")
}
