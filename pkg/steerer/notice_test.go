package steerer

import (
	"errors"
	"net/http"
	"testing"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/courier"
)

// An unreadable limit must not take a server out of use or hide the limit before it.
func TestParseRateLimit(t *testing.T) {
	for _, c := range []struct {
		values  []string
		limit   float64
		limited bool
	}{
		{nil, 0, false},
		{[]string{"3.7"}, 3.7, true},
		{[]string{"0"}, 0, true},
		{[]string{" 12 "}, 12, true},
		{[]string{"5", "3"}, 3, true},
		{[]string{"4, 6"}, 4, true},
		{[]string{"1e9"}, 1e9, true},
	} {
		want := balancer.RateLimit{Known: true, Limited: c.limited, PerSecond: c.limit}
		if got, err := parseRateLimit(c.values); got != want || err != nil {
			t.Errorf("%q: got %+v, %v; want %+v", c.values, got, err, want)
		}
	}
	for _, value := range []string{"", "-1", "NaN", "inf", "-0.5", "many", "0x10", "Fri, 04 Dec 2026 20:00:00 GMT", "3,", "1e999"} {
		if _, err := parseRateLimit([]string{value}); !errors.Is(err, errRateLimit) {
			t.Errorf("%q: error %v, want errRateLimit", value, err)
		}
	}
}

// A value that does not say clearly that the server drains must not take it out of use.
func TestParseDraining(t *testing.T) {
	for _, values := range [][]string{{"1"}, {" 1 "}, {"0", "1"}} {
		if draining, err := parseDraining(values); !draining || err != nil {
			t.Errorf("%q: got %v, %v; want true", values, draining, err)
		}
	}
	for _, value := range []string{"", "0", "-1", "11", "true", "soon", "NaN"} {
		if draining, err := parseDraining([]string{value}); draining || !errors.Is(err, errDraining) {
			t.Errorf("%q: got %v, %v; want errDraining", value, draining, err)
		}
	}
	if draining, err := parseDraining(nil); draining || err != nil {
		t.Errorf("no header: got %v, %v", draining, err)
	}
}

// An unreadable Retry-After must not take a server out of use, nor a long one for good.
func TestParseBackoff(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   clock.Millis
	}{
		{nil, 0}, {[]string{"0"}, 0}, {[]string{"1.5"}, 1500}, {[]string{"1", "3"}, 3000}, {[]string{"31536000"}, 1000000000}, {[]string{"1e300"}, 1000000000},
	} {
		if got, err := parseBackoff(c.values); got != c.want || err != nil {
			t.Errorf("%q: got %v, %v; want %v", c.values, got, err, c.want)
		}
	}
	for _, value := range []string{"", "-1", "NaN", "inf", "soon", "Fri, 04 Dec 2026 20:00:00 GMT"} {
		if got, err := parseBackoff([]string{value}); got != 0 || !errors.Is(err, errBackoff) {
			t.Errorf("%q: got %v, %v; want errBackoff", value, got, err)
		}
	}
}

// The balancer must learn what a server says, and only from responses that show it.
func TestNoticeOfResponse(t *testing.T) {
	respond := func(status int, header ...string) *courier.Response {
		h := http.Header{}
		for i := 0; i < len(header); i += 2 {
			h.Set(header[i], header[i+1])
		}
		return &courier.Response{Status: status, Header: h, Body: []byte("x"), ContentLength: 1}
	}
	limit := func(perSecond float64) balancer.RateLimit {
		return balancer.RateLimit{Known: true, Limited: true, PerSecond: perSecond}
	}
	noLimit := balancer.RateLimit{Known: true}
	for name, c := range map[string]struct {
		resp *courier.Response
		want *balancer.Notice
	}{
		"nothing said":                    {okResponse("ok"), &balancer.Notice{Limit: noLimit}},
		"a limit":                         {respond(200, headers.RateLimit, "3.7"), &balancer.Notice{Limit: limit(3.7)}},
		"a refusal with a limit":          {respond(503, headers.RateLimit, "2", headers.NotExecuted, "1"), &balancer.Notice{Limit: limit(2)}},
		"a refusal without one":           {respond(503, headers.NotExecuted, "1"), &balancer.Notice{}},
		"a failure without one":           {respond(500), &balancer.Notice{}},
		"an unreadable limit":             {respond(200, headers.RateLimit, "soon"), &balancer.Notice{}},
		"a server that drains":            {respond(200, headers.Draining, "1"), &balancer.Notice{Draining: true, Limit: noLimit}},
		"a failing server that drains":    {respond(500, headers.Draining, "1"), &balancer.Notice{Draining: true}},
		"an unreadable draining header":   {respond(200, headers.Draining, "2"), &balancer.Notice{Limit: noLimit}},
		"a refusal with a delay":          {respond(503, "Retry-After", "1.5", headers.NotExecuted, "1"), &balancer.Notice{Backoff: 1500}},
		"a delay without a refusal":       {respond(200, "Retry-After", "1.5"), &balancer.Notice{Limit: noLimit}},
		"an unreadable delay":             {respond(503, "Retry-After", "Fri, 04 Dec 2026 20:00:00 GMT"), &balancer.Notice{}},
		"another server at the address":   {respond(421, headers.RateLimit, "1", headers.Draining, "1"), nil},
		"unreadable limit, but it drains": {respond(200, headers.RateLimit, "-1", headers.Draining, "1"), &balancer.Notice{Draining: true}},
	} {
		withSteerer(t, func(f *fixture) {
			f.respond = func(int) (*courier.Response, error) { return c.resp, nil }
			handle(f, http.MethodGet, "/look/x", nil)
			got := f.finishedAttempts[0].Notice
			if (got == nil) != (c.want == nil) || got != nil && *got != *c.want {
				t.Errorf("%s: notice %+v, want %+v", name, got, c.want)
			}
		})
	}
}
