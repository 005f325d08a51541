package snapshotter

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
)

// ErrBadAddress is returned if the caller's address cannot be parsed.
var ErrBadAddress = errors.New("bad caller address")

// maxForwardedAddrs limits the addresses that are parsed from X-Forwarded-For.
const maxForwardedAddrs = 32

// CallerAddr returns the address of a request's caller. If the connection comes
// from a trusted proxy, this is the last address in X-Forwarded-For that is not
// a trusted proxy. Otherwise it is the connection's address, and headerIgnored
// reports whether an X-Forwarded-For header was ignored: any caller can send one.
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

// HomeRegion returns the region of the caller's site, or this host's region if
// the caller's address belongs to no known site.
func (s *Snapshot) HomeRegion(r *http.Request) string {
	if addr, _, err := s.CallerAddr(r); err == nil {
		if site, ok := s.Site(addr); ok && site.GetRegion() != "" {
			return site.GetRegion()
		}
	}
	return s.in.Self.Region
}

// parseAddr parses an address with or without a port. IPv4-mapped IPv6 addresses
// become IPv4 addresses.
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
