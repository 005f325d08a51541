package steerer

import (
	"errors"
	"net/http"
	"testing"

	"catkindyke/pkg/courier"
	"catkindyke/pkg/observer"
)

// The balancer must learn what a server says of its load, and nothing from values that can't
// be meant.
func TestLoadOfResponse(t *testing.T) {
	for value, want := range map[string]observer.Load{
		"3,0,8":         {Running: 3, Slots: 8},
		" 8, 2 ,8 ,240": {Running: 8, Waiting: 2, Slots: 8, Pace: 2.4},
		"":              {}, "3,0": {}, "3,0,0": {}, "-1,0,8": {}, "3,0,8,0": {}, "3,0,8,NaN": {}, "3,0,8,inf": {}, "1e9,0,8": {},
		"3,99999999,8": {}, "3,0,8,100,7": {}, "many": {},
	} {
		t.Run(value, func(t *testing.T) {
			withSteerer(t, func(f *fixture) {
				f.respond = func(int) (*courier.Response, error) {
					resp := okResponse("ok")
					resp.Header.Set(headers.ServerLoad, value)
					return resp, nil
				}
				handle(f, http.MethodGet, "/look/x", nil)
				if got := f.finishedAttempts[0].Load; got != want {
					t.Errorf("load %+v, want %+v", got, want)
				}
			})
			if _, err := ParseLoad(http.Header{headers.ServerLoad: {value}}, headers.ServerLoad); (err == nil) != want.IsStated() || err != nil && !errors.Is(err, ErrServerLoad) {
				t.Errorf("error %v", err)
			}
		})
	}
}
