package steerer

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/courier"
)

func testBody(n int) []byte {
	body := make([]byte, n)
	for i := range body {
		body[i] = byte(i * 7)
	}
	return body
}

func assertBody(t *testing.T, step string, r io.Reader, want []byte) {
	t.Helper()
	got, err := io.ReadAll(r)
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%s: %d bytes and error %v, want %d bytes", step, len(got), err, len(want))
	}
}

// TestEndedAttemptTakesBody guards against an attempt that has ended and takes bytes of the
// body, which the next one then lacks.
func TestEndedAttemptTakesBody(t *testing.T) {
	body := testBody(100)
	newBody := func() *streamedBody {
		return &streamedBody{head: body[:60], rest: bytes.NewReader(body[60:]), onEnd: func() {}}
	}
	t.Run("during the part in memory", func(t *testing.T) {
		b := newBody()
		first := b.startAttempt()
		assertBody(t, "first attempt", io.LimitReader(first, 10), body[:10])
		if !b.endAttempt() {
			t.Fatal("no other attempt is possible though all bytes taken are in memory")
		}
		second := b.startAttempt()
		if n, err := first.Read(make([]byte, 10)); n != 0 || !errors.Is(err, errAttemptOver) {
			t.Errorf("the first attempt still reads: %d bytes, error %v", n, err)
		}
		assertBody(t, "second attempt", second, body)
	})
	t.Run("after it", func(t *testing.T) {
		b := newBody()
		assertBody(t, "first attempt", io.LimitReader(b.startAttempt(), 70), body[:70])
		if b.endAttempt() {
			t.Error("another attempt is possible though it lacks bytes")
		}
	})
}

// TestUploadCutByResets sends uploads to a server that resets connections as soon as it has
// accepted them, and then to a sound one.
func TestUploadCutByResets(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	const inMemory = 1 << 18
	body := testBody(2 * inMemory)
	want := sha256.Sum256(body)
	sound := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got, err := io.ReadAll(r.Body)
		if sum := sha256.Sum256(got); err == nil && sum != want {
			t.Errorf("the server got %d bytes other than those of the caller, who sent %d", len(got), len(body))
		}
		w.Header().Set("Id", r.Header.Get("Id"))
	}))
	defer sound.Close()
	c := courier.New(courier.Config{IDHeader: "Id", Clock: clock.New()})
	retries := 0
	for i := range 300 {
		contentLength := int64(-1)
		if i%2 == 0 {
			contentLength = int64(len(body))
		}
		b := &streamedBody{head: body[:inMemory], rest: bytes.NewReader(body[inMemory:]), onEnd: func() {}}
		send := func(address string) error {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := c.Send(ctx, courier.Target{ID: address, Address: address}, &courier.Request{
				Method: http.MethodPost, URI: "/", Host: "a.example", Header: http.Header{"Id": {"r"}},
				Stream: b.startAttempt(), ContentLength: contentLength,
			})
			return err
		}
		if err := send(listener.Addr().String()); !errors.Is(err, courier.ErrNotSent) || !b.endAttempt() {
			continue
		}
		retries++
		if err := send(sound.Listener.Addr().String()); err != nil {
			t.Errorf("upload %d: %v", i, err)
		}
	}
	t.Logf("%d of 300 uploads were sent to a second server", retries)
}
