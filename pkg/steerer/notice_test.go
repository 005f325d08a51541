package steerer

import (
	"errors"
	"net/http"
	"testing"

	"catkindyke/pkg/balancer"
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
		limit, limited, err := parseRateLimit(c.values)
		if limit != c.limit || limited != c.limited || err != nil {
			t.Errorf("%q: got %v, %v, %v; want %v, %v", c.values, limit, limited, err, c.limit, c.limited)
		}
	}
	for _, value := range []string{"", "-1", "NaN", "inf", "-0.5", "many", "0x10", "Fri, 04 Dec 2026 20:00:00 GMT", "3,", "1e999"} {
		if _, _, err := parseRateLimit([]string{value}); !errors.Is(err, errRateLimit) {
			t.Errorf("%q: error %v, want errRateLimit", value, err)
		}
	}
}

// The balancer must learn what a server says, and only from responses that show it.
func TestNoticeOfResponse(t *testing.T) {
	limited := func(status int, value string, shed bool) *courier.Response {
		h := http.Header{headers.RateLimit: {value}}
		if shed {
			h.Set(headers.NotExecuted, "1")
		}
		return &courier.Response{Status: status, Header: h, Body: []byte("x"), ContentLength: 1}
	}
	none := &balancer.Notice{}
	for name, c := range map[string]struct {
		resp *courier.Response
		want *balancer.Notice
	}{
		"a response with a limit":                     {limited(200, "3.7", false), &balancer.Notice{Limited: true, RateLimit: 3.7}},
		"a response without one":                      {okResponse("ok"), none},
		"a refusal with a limit":                      {limited(503, "2", true), &balancer.Notice{Limited: true, RateLimit: 2}},
		"a refusal without one":                       {errorResponse(503, headers.NotExecuted), nil},
		"a failure without one":                       {errorResponse(500, "X"), nil},
		"a response with an unreadable limit":         {limited(200, "soon", false), nil},
		"a response of another server at the address": {limited(421, "1", true), nil},
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
