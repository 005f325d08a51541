package steerer

import (
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/courier"
	"catkindyke/pkg/screener"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// hostName returns a Host header without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// endToEndHeaders returns the headers that are forwarded.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range h["Connection"] {
		for _, name := range strings.Split(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// backendRequest returns the request for a server.
func (s *Steerer) backendRequest(c *call, server balancer.Server) *courier.Request {
	h := endToEndHeaders(c.r.Header)
	h.Del("Expect")
	headers := s.cfg.Headers
	h.Del(headers.Key)
	h.Del(headers.Workspace)
	if c.workspace != nil {
		h.Set(headers.Workspace, c.workspace.Name)
	}
	h.Set(headers.ExpectedServer, server.ID)
	h.Set(headers.Deadline, strconv.FormatInt(int64(s.timeLeft(c)), 10))
	var stream io.Reader
	if c.stream != nil {
		stream = c.stream.startAttempt()
	}
	return &courier.Request{
		Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: h, Body: c.body,
		Stream: stream, ContentLength: c.r.ContentLength, FreshConn: !c.route.IsIdempotent(),
		IsWanted: func() bool { return !s.cfg.CallerLeft(c.r.Context()) },
	}
}

// writeResponse sends the server's response to the caller.
func (s *Steerer) writeResponse(c *call, resp *courier.Response) {
	h := c.w.Header()
	for name, values := range endToEndHeaders(resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing a type
	}
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	c.w.WriteHeader(resp.Status)
	s.cfg.Meter.Add("answers", 1)
	s.cfg.Meter.Observe("answer_ms", int64(s.cfg.Clock.Now()-c.start))
	s.logRequest(c, resp.Status, "answered")
	if resp.Stream == nil {
		// The caller may be gone, and nobody else needs the error.
		_, _ = c.w.Write(resp.Body)
		return
	}
	defer resp.Stream.Close()
	endsWithConn := resp.ContentLength < 0 && !c.r.ProtoAtLeast(1, 1)
	if endsWithConn {
		// An HTTP/1.0 caller gets no chunks, so that the response ends with its connection.
		// Only a reset tells that it is cut, also by a panic or the end of this process.
		s.cfg.ResetOnClose(c.r.Context(), true)
	}
	_, err := io.Copy(c.w, resp.Stream)
	if err == nil && endsWithConn {
		// The reset must stay until the last bytes have left net/http's buffer.
		err = http.NewResponseController(c.w).Flush()
	}
	if err != nil {
		s.cfg.Log.Warn().Str("request", c.id).Str("server", c.choice.Server.ID).Err(err).Msg("answer_cut")
		// A truncated response must not look complete.
		panic(http.ErrAbortHandler)
	}
	if endsWithConn {
		s.cfg.ResetOnClose(c.r.Context(), false)
	}
}

// refuse sends a refusal to the caller.
func (s *Steerer) refuse(c *call, ref *refusal) {
	h := c.w.Header()
	if c.id != "" {
		h.Set(s.cfg.Headers.RequestID, c.id)
	}
	if ref.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(ref.retryAfter)/1000, 'f', 3, 64))
	}
	if !c.bodyRead {
		screener.LimitUnreadBody(c.w, c.r, maxRefusedBody)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	s.cfg.Meter.Add("refused_"+ref.reason, 1)
	s.cfg.Meter.Observe("refusal_ms", int64(s.cfg.Clock.Now()-c.start))
	s.logRequest(c, ref.status, ref.reason)
	c.w.WriteHeader(ref.status)
	_, _ = io.WriteString(c.w, ref.reason+"\n")
}

// logRequest logs a finished request.
func (s *Steerer) logRequest(c *call, status int, outcome string) {
	event := s.cfg.Log.Info()
	if status >= http.StatusBadRequest {
		event = s.cfg.Log.Warn()
	}
	if event == nil {
		return
	}
	event = event.Str("request", c.id).Int("status", status).Str("outcome", outcome).
		Int64("took_ms", int64(s.cfg.Clock.Now()-c.start)).Int64("limit_ms", int64(c.timeout)).
		Int("attempts", c.sentAttempts).Int("unsent", c.unsentAttempts)
	if c.catalog != nil {
		event = event.Uint64("config_version", c.catalog.Version())
	}
	if c.route != nil {
		event = event.Str("route", c.route.Name).Str("service", c.service).Str("object", c.object(s.cfg.Headers.Object))
	}
	if c.workspace != nil {
		event = event.Str("workspace", c.workspace.Name)
	}
	if c.choice.Server.ID != "" || c.choice.Refused {
		event = event.Str("server", c.choice.Server.ID).Int("load", c.choice.InFlight).Bool("warm", c.choice.Warm).Bool("known", c.knownWarm).Str("region", c.choice.Server.Region).
			Int64("estimate_ms", int64(c.choice.EstimatedLatency))
		if c.choice.Stated.IsStated() {
			event = event.Int("stated_load", c.choice.Stated.Requests()).Int64("stated_age_ms", int64(c.choice.StatedAge)).Float64("pace", math.Round(c.choice.Pace*100)/100)
		}
		if c.answerLoad.IsStated() {
			event = event.Int("answer_load", c.answerLoad.Requests()).Int("answer_waiting", c.answerLoad.Waiting).Float64("answer_pace", c.answerLoad.Pace)
		}
	}
	event.Msg("request")
}

// logFailedAttempt logs and counts an attempt without a usable response.
func (s *Steerer) logFailedAttempt(c *call, a *attempt, retry retryCheck) {
	status := 0
	if a.resp != nil {
		status = a.resp.Status
	}
	s.cfg.Meter.Add("attempts_"+a.result.String(), 1)
	event := s.cfg.Log.Warn().Str("request", c.id).Str("server", a.choice.Server.ID).Str("result", a.result.String()).
		Int("status", status).Err(a.err).Int("load", a.choice.InFlight).Int64("left_ms", int64(s.timeLeft(c))).
		Str("service", c.service).Str("retry", string(retry.verdict))
	if retry.budget != nil {
		event = event.Float64("budget_left", math.Round(retry.budget.Left*10)/10).Int("budget_hosts", retry.budget.Hosts)
	}
	event.Msg("attempt_failed")
}
