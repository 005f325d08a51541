// Package storeclient is a narrow client of the platform's object API. It is
// the only package that knows the HTTP form of that API.
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

// Errors that callers test with errors.Is.
var (
	// ErrNotFound says that no object has the name.
	ErrNotFound = errors.New("object not found")
	// ErrConflict says that the object has another version than the one given.
	ErrConflict = errors.New("object version conflict")
	// ErrNotModified says that a watch ended without a change.
	ErrNotModified = errors.New("object not modified")
	// ErrUnavailable says that the store gave no answer; a write may have taken effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrTooLarge says that a value is over MaxValueBytes.
	ErrTooLarge = errors.New("value over 1 MB")
)

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// VersionHeader carries an object's version in answers.
const VersionHeader = "Object-Version"

// ConditionHeader carries the version that a write expects; 0 expects no object.
const ConditionHeader = "If-Object-Version"

// Object is a stored value with its version.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// Host is an entry of the platform's list of hosts.
type Host struct {
	Name             string `json:"name"`
	State            string `json:"state"`
	Address          string `json:"address"`
	PeerAddress      string `json:"peer_address"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
}

// States of a host in the platform's list.
const (
	HostLive    = "live"
	HostLeaving = "leaving"
)

// Config configures a client.
type Config struct {
	// BaseURL is the address of the object API, such as http://127.0.0.1:7000.
	BaseURL string
	// Timeout bounds each call that is not a watch; 2 s when zero.
	Timeout time.Duration
	// Transport replaces http.DefaultTransport's clone in tests.
	Transport http.RoundTripper
}

// Client calls the object API.
type Client struct {
	baseURL    string
	timeout    time.Duration
	httpClient *http.Client
	reads      atomic.Int64
	writes     atomic.Int64
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = 2 * time.Second
	}
	if cfg.Transport == nil {
		cfg.Transport = http.DefaultTransport.(*http.Transport).Clone()
	}
	return &Client{baseURL: cfg.BaseURL, timeout: cfg.Timeout, httpClient: &http.Client{Transport: cfg.Transport}}
}

// Reads returns the number of read calls made, watches included.
func (c *Client) Reads() int64 { return c.reads.Load() }

// Writes returns the number of write calls made.
func (c *Client) Writes() int64 { return c.writes.Load() }

// Get reads an object.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.readObject(ctx, name, "")
}

// Watch waits until the object has a version above after, or returns
// ErrNotModified when wait has passed.
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
		return Object{}, fmt.Errorf("%w: bad version of %s", ErrUnavailable, name)
	}
	return Object{Name: name, Version: version, Value: body}, nil
}

// Put writes an object if its version is ifVersion; 0 creates it. It returns
// the new version. After ErrUnavailable the write may have taken effect.
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

// Delete removes an object if its version is ifVersion.
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

// List returns the names and versions of the objects under a prefix, without values.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var objects []Object
	err := c.getJSON(ctx, "/v1/objects?prefix="+url.QueryEscape(prefix), &objects)
	return objects, err
}

// Hosts returns the platform's list of live and leaving hosts, which may lag.
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
