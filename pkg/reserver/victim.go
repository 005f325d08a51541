package reserver

import "catkindyke/pkg/clock"

// search describes for whom a holder must end.
type search struct {
	holder    *Holder
	client    *client
	isTrusted bool
	// conn and large tell whether a connection or bytes beyond small requests are needed.
	conn, large bool
	// active tells whether a connection with a request has to end.
	active bool
	now    clock.Millis
}

// victim returns the holder that ends first, nil if none may. Holders that are halfOpen end first.
// After these, a client address that holds more than its part ends its own holders only, and those
// of such addresses end before others.
func (b *Budget) victim(s search) *Holder {
	own := !s.isTrusted && b.isOverPart(s.client)
	var best *Holder
	var bestRank rank
	for h := range b.holders {
		if h.closed || (h.IsTrusted && !s.isTrusted) || (h.ending && (!s.conn || s.active)) || (s.active && !h.isActive) || (s.large && h.sum <= b.cfg.ConnBytes) {
			continue
		}
		r, ok := h.rank(s)
		if own && h.client != s.client && r.class != halfOpen {
			continue
		}
		r.overPart = b.isOverPart(h.client)
		if ok && (best == nil || r.before(bestRank)) {
			best, bestRank = h, r
		}
	}
	return best
}

func (b *Budget) isOverPart(c *client) bool {
	return c.bytes > b.cfg.Bytes/clientDivisor || c.conns > min(b.cfg.Conns, b.cfg.Descriptors)/clientDivisor
}

// class orders holders by what they do.
type class int

const (
	// halfOpen holders have sent no request, or a part of one, and nothing for halfOpenAge.
	halfOpen class = iota
	// idle holders wait for the next request.
	idle
	// slowSender holders send a request without progress.
	slowSender
	// slowTransfer holders hold up a request that is passed on or a response.
	slowTransfer
)

// rank orders holders by how early they end.
type rank struct {
	isTrusted, overPart bool
	class               class
	stall               clock.Millis
	number              int64
}

func (r rank) before(o rank) bool {
	switch {
	case r.isTrusted != o.isTrusted:
		return o.isTrusted
	case (r.class == halfOpen) != (o.class == halfOpen):
		return r.class == halfOpen
	case r.overPart != o.overPart:
		return r.overPart
	case r.class != o.class:
		return r.class < o.class
	}
	if r.stall != o.stall {
		return r.stall > o.stall
	}
	return r.number < o.number
}

// rank returns the rank of a holder, and whether it may end.
func (h *Holder) rank(s search) (r rank, ok bool) {
	r.isTrusted, r.stall, r.number = h.IsTrusted, h.stall(s.now), h.number
	switch h.phase {
	case Idle, Receiving:
		switch {
		case r.stall >= halfOpenAge && (h.phase == Receiving || !h.hasServed):
			r.class = halfOpen
		case h.phase == Idle && h.hasServed:
			r.class = idle
		default:
			// Connections that are newer may be those of ordinary callers, and would only end
			// each other.
			r.class = slowSender
			return r, r.stall >= receiveStall
		}
		return r, true
	case Streaming, Answering:
		r.class = slowTransfer
		if s.conn {
			// Without this, a crowd of slow readers could keep all others out.
			return r, r.stall >= noConnStall
		}
		return r, r.stall >= transferStall
	case Serving:
	}
	return r, false
}
