// Package storeclient is a client of the platform's object API. No other package
// depends on the HTTP format of that API.
package storeclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

// Errors that callers check with errors.Is.
var (
	// ErrNotFound means that no object has the given name.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version differs from the expected one.
	ErrConflict = errors.New("object version conflict")
	// ErrNotModified means that a watch timed out without a change.
	ErrNotModified = errors.New("object not modified")
	// ErrUnavailable means that the store returned no valid response; a write may
	// have taken effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrTooLarge means that a value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("value exceeds 1 MiB")
)

// MaxValueBytes is the size of the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// VersionHeader carries an object's version in responses.
const VersionHeader = "Object-Version"

// ConditionHeader carries the version that a write expects; 0 means that the object
// must not exist.
const ConditionHeader = "If-Object-Version"

// Object is a named value in the store with its version.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// Host is an entry of the platform's host list.
type Host struct {
	Name             string `json:"name"`
	State            string `json:"state"`
	Address          string `json:"address"`
	PeerAddress      string `json:"peer_address"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
}

// States of a host in the platform's host list.
const (
	HostLive    = "live"
	HostLeaving = "leaving"
)

// Config holds the settings of a client.
type Config struct {
	// BaseURL is the URL of the object API, such as http://127.0.0.1:7000.
	BaseURL string
	// Timeout limits each call; a watch may take its wait time in addition. Zero
	// means 2 s.
	Timeout time.Duration
	// Transport sends the requests; nil means a clone of http.DefaultTransport.
	// Tests set it.
	Transport http.RoundTripper
}

// Client calls the object API and counts its calls.
type Client struct {
	baseURL    string
	timeout    time.Duration
	httpClient *http.Client
	reads      atomic.Int64
	writes     atomic.Int64
}

// New returns a client of the object API at cfg.BaseURL.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = 2 * time.Second
	}
	if cfg.Transport == nil {
		cfg.Transport = http.DefaultTransport.(*http.Transport).Clone()
	}
	return &Client{baseURL: cfg.BaseURL, timeout: cfg.Timeout, httpClient: &http.Client{Transport: cfg.Transport}}
}

// Reads returns the number of read calls, including watches.
func (c *Client) Reads() int64 { return c.reads.Load() }

// Writes returns the number of write calls.
func (c *Client) Writes() int64 { return c.writes.Load() }

// Get returns the current value and version of an object.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.readObject(ctx, name, "")
}

// Watch waits until the object has a version above afterVersion and returns it, or
// returns ErrNotModified once wait has elapsed.
func (c *Client) Watch(ctx context.Context, name string, afterVersion uint64, wait time.Duration) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	query := fmt.Sprintf("?watch_after=%d&wait_ms=%d", afterVersion, wait.Milliseconds())
	return c.readObject(ctx, name, query)
}

func (c *Client) readObject(ctx context.Context, name, query string) (Object, error) {
	c.reads.Add(1)
	resp, body, err := c.do(ctx, http.MethodGet, objectPath(name)+query, nil, nil)
	if err != nil {
		return Object{}, err
	}
	if err := statusError(resp.StatusCode, name); err != nil {
		return Object{}, err
	}
	version, err := strconv.ParseUint(resp.Header.Get(VersionHeader), 10, 64)
	if err != nil {
		return Object{}, fmt.Errorf("%w: invalid version of object %s", ErrUnavailable, name)
	}
	return Object{Name: name, Version: version, Value: body}, nil
}

// Put writes an object if its current version is ifVersion, or creates it if
// ifVersion is 0, and returns the new version. If it returns ErrUnavailable, the
// write may have taken effect.
func (c *Client) Put(ctx context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("%w: %s has %d bytes", ErrTooLarge, name, len(value))
	}
	resp, err := c.writeObject(ctx, http.MethodPut, name, value, ifVersion)
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(resp.Header.Get(VersionHeader), 10, 64)
}

// Delete removes an object if its current version is ifVersion.
func (c *Client) Delete(ctx context.Context, name string, ifVersion uint64) error {
	_, err := c.writeObject(ctx, http.MethodDelete, name, nil, ifVersion)
	return err
}

func (c *Client) writeObject(ctx context.Context, method, name string, value []byte, ifVersion uint64) (*http.Response, error) {
	c.writes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	header := http.Header{ConditionHeader: {strconv.FormatUint(ifVersion, 10)}}
	resp, _, err := c.do(ctx, method, objectPath(name), value, header)
	if err != nil {
		return nil, err
	}
	return resp, statusError(resp.StatusCode, name)
}

// List returns the names and versions, without values, of the objects whose names
// begin with a prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var objects []Object
	err := c.getJSON(ctx, "/v1/objects?prefix="+url.QueryEscape(prefix), &objects)
	return objects, err
}

// Hosts returns the platform's list of live and leaving hosts, which may be out of date.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	err := c.getJSON(ctx, "/v1/hosts", &hosts)
	return hosts, err
}

func (c *Client) getJSON(ctx context.Context, path string, out any) error {
	c.reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, body, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if err := statusError(resp.StatusCode, path); err != nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return nil
}

func (c *Client) do(ctx context.Context, method, path string, value []byte, header http.Header) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(value))
	if err != nil {
		return nil, nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 8*MaxValueBytes))
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return resp, body, nil
}

func objectPath(name string) string {
	return "/v1/objects/" + (&url.URL{Path: name}).EscapedPath()
}

func statusError(status int, name string) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return fmt.Errorf("%w: %s", ErrNotFound, name)
	case http.StatusConflict:
		return fmt.Errorf("%w: %s", ErrConflict, name)
	case http.StatusNotModified:
		return ErrNotModified
	default:
		return fmt.Errorf("%w: status %d for %s", ErrUnavailable, status, name)
	}
}
