package snapshotter

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
)

// ErrBadAddress says that a caller's address cannot be read.
var ErrBadAddress = errors.New("bad caller address")

// maxForwardedAddrs bounds the addresses that are read from X-Forwarded-For.
const maxForwardedAddrs = 32

// CallerAddr returns the address of a request's caller: the peer address, or
// when the peer is trusted the last address of X-Forwarded-For that is not
// itself trusted. From another peer the header is ignored, because any caller
// can send it; ignored reports that.
func (s *Snapshot) CallerAddr(r *http.Request) (addr netip.Addr, headerIgnored bool, err error) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}, false, ErrBadAddress
	}
	addr, err = parseAddr(host)
	if err != nil {
		return netip.Addr{}, false, err
	}
	values := r.Header["X-Forwarded-For"]
	if len(values) == 0 {
		return addr, false, nil
	}
	if !s.IsTrustedProxy(addr) {
		return addr, true, nil
	}
	forwarded := strings.Split(strings.Join(values, ","), ",")
	for n := len(forwarded) - 1; n >= 0 && len(forwarded)-n <= maxForwardedAddrs; n-- {
		text := strings.TrimSpace(forwarded[n])
		if text == "" && len(forwarded) == 1 {
			return addr, false, nil
		}
		if addr, err = parseAddr(text); err != nil {
			return netip.Addr{}, false, errors.New("bad address " + strconv.Quote(text) + " in X-Forwarded-For")
		}
		if !s.IsTrustedProxy(addr) {
			return addr, false, nil
		}
	}
	return addr, false, nil
}

// HomeRegion returns the region of the caller's site, or the host's own region
// when the caller's block is not known.
func (s *Snapshot) HomeRegion(r *http.Request) string {
	if addr, _, err := s.CallerAddr(r); err == nil {
		if site, ok := s.Site(addr); ok && site.GetRegion() != "" {
			return site.GetRegion()
		}
	}
	return s.in.Self.Region
}

// parseAddr reads an address with or without a port, and IPv4 in IPv6 form as IPv4.
func parseAddr(s string) (netip.Addr, error) {
	addr, err := netip.ParseAddr(strings.TrimSuffix(strings.TrimPrefix(s, "["), "]"))
	if err != nil {
		var withPort netip.AddrPort
		if withPort, err = netip.ParseAddrPort(s); err != nil {
			return netip.Addr{}, ErrBadAddress
		}
		addr = withPort.Addr()
	}
	return addr.Unmap().WithZone(""), nil
}
