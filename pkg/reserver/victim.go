package reserver

import "catkindyke/pkg/clock"

// search describes for whom a holder must end.
type search struct {
	holder    *Holder
	client    *client
	isTrusted bool
	// conn and large tell whether a connection or bytes beyond small requests are needed.
	conn, large bool
	now         clock.Millis
}

// victim returns the holder that ends first, nil if none may. A client address that holds more
// than its part ends its own holders only; otherwise those of such addresses end before others.
func (b *Budget) victim(s search) *Holder {
	own := !s.isTrusted && b.isOverPart(s.client)
	var best *Holder
	var bestRank rank
	for h := range b.holders {
		if h.closed || (h.IsTrusted && !s.isTrusted) || (h.ending && !s.conn) || (own && h.client != s.client) || (s.large && h.sum <= b.cfg.ConnBytes) {
			continue
		}
		r, ok := h.rank(s)
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

// rank orders holders by how early they end.
type rank struct {
	isTrusted, overPart bool
	class               int
	stall               clock.Millis
	number              int64
}

func (r rank) before(o rank) bool {
	switch {
	case r.isTrusted != o.isTrusted:
		return o.isTrusted
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
	r.isTrusted, r.stall, r.number = h.IsTrusted, s.now-h.since, h.number
	switch h.phase {
	case Idle, Receiving:
		switch {
		case r.stall >= halfOpenAge && (h.phase == Receiving || !h.hasServed):
			r.class = 0
		case h.phase == Idle && h.hasServed:
			r.class = 1
		case r.stall >= receiveStall:
			r.class = 2
		default:
			// The newest connections may be ordinary callers.
			r.class = 4
			return r, s.conn
		}
		return r, true
	case Streaming, Answering:
		r.class = 3
		if s.conn {
			// Without this, a crowd of slow readers could keep all others out.
			return r, r.stall >= noConnStall
		}
		return r, r.stall >= transferStall
	case Serving:
	}
	return r, false
}
