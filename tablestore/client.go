package tablestore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

// Paths of the platform's services.
const (
	TablePath   = "/table/"
	ObjectsPath = "/objects/"
	HostsPath   = "/hosts"
)

// DefaultTimeout bounds one call to the platform.
const DefaultTimeout = 2 * time.Second

// Limits of read retries.
const (
	// retriesPerSecond and retryBurst limit the retries of one client.
	retriesPerSecond = 2
	retryBurst       = 8
	// maxRetryPause bounds the random pause before a retry.
	maxRetryPause = 50 * time.Millisecond
)

// maxResponseBytes bounds the size of the body of one response.
const maxResponseBytes = 64 << 20

// Client implements Table, Objects and Hosts over HTTP. Use NewClient to create one.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	// retryLimiter limits the rate of read retries.
	retryLimiter *rate.Limiter
	cache        responseCache
	// writes and reads count calls, for metrics.
	writes atomic.Int64
	reads  atomic.Int64
	// receivedBytes counts the bytes of response bodies.
	receivedBytes atomic.Int64
}

var (
	_ Table   = (*Client)(nil)
	_ Objects = (*Client)(nil)
	_ Hosts   = (*Client)(nil)
)

// NewClient returns a client of the platform at the base URL, such as
// "http://127.0.0.1:7000". A timeout of 0 stands for DefaultTimeout.
func NewClient(base string, timeout time.Duration) *Client {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = 32
	return &Client{
		base:         strings.TrimSuffix(base, "/"),
		http:         &http.Client{Transport: transport},
		timeout:      timeout,
		retryLimiter: rate.NewLimiter(retriesPerSecond, retryBurst),
	}
}

// Writes returns the number of writes that were sent.
func (c *Client) Writes() int64 { return c.writes.Load() }

// Reads returns the number of reads that were sent.
func (c *Client) Reads() int64 { return c.reads.Load() }

// ReceivedBytes returns the number of bytes received in response bodies.
func (c *Client) ReceivedBytes() int64 { return c.receivedBytes.Load() }

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	r, err := c.read(ctx, TablePath+url.PathEscape(key))
	if err != nil {
		return Row{}, err
	}
	if r.status == http.StatusNotFound {
		return Row{Key: key}, nil
	}
	version, err := parseTag(r.tag)
	if err != nil {
		return Row{}, errors.WithType(errors.Annotatef(err, "row %q", key), ErrUnavailable)
	}
	return Row{Key: key, Version: version, Value: r.body}, nil
}

// Put implements Table.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected Version) (Version, error) {
	r, err := c.write(ctx, http.MethodPut, TablePath+url.PathEscape(key), value, condition(expected))
	if err != nil {
		return 0, err
	}
	version, err := parseTag(r.tag)
	if err != nil {
		// The row was written, but the response does not give its version.
		return 0, errors.WithType(errors.Annotatef(err, "row %q", key), ErrUnknown)
	}
	return version, nil
}

// Delete implements Table.
func (c *Client) Delete(ctx context.Context, key string, expected Version) error {
	_, err := c.write(ctx, http.MethodDelete, TablePath+url.PathEscape(key), nil, condition(expected))
	return err
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	r, err := c.read(ctx, TablePath+"?"+query.Encode())
	if err != nil {
		return nil, err
	}
	var rows []Row
	if err := json.Unmarshal(r.body, &rows); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "list of rows"), ErrUnavailable)
	}
	return rows, nil
}

// Read implements Objects.
func (c *Client) Read(ctx context.Context, key string) ([]byte, error) {
	r, err := c.read(ctx, ObjectsPath+url.PathEscape(key))
	if err != nil {
		return nil, err
	}
	if r.status == http.StatusNotFound {
		return nil, errors.NotFoundf("object %q", key)
	}
	return r.body, nil
}

// Write implements Objects.
func (c *Client) Write(ctx context.Context, key string, data []byte) error {
	_, err := c.write(ctx, http.MethodPut, ObjectsPath+url.PathEscape(key), data, nil)
	return err
}

// Remove implements Objects.
func (c *Client) Remove(ctx context.Context, key string) error {
	_, err := c.write(ctx, http.MethodDelete, ObjectsPath+url.PathEscape(key), nil, nil)
	return err
}

// Workers implements Hosts.
func (c *Client) Workers(ctx context.Context) ([]Host, error) {
	r, err := c.read(ctx, HostsPath)
	if err != nil {
		return nil, err
	}
	var hosts []Host
	if err := json.Unmarshal(r.body, &hosts); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "list of workers"), ErrUnavailable)
	}
	return hosts, nil
}

// response holds the parts of an HTTP response that the client uses.
type response struct {
	status int
	tag    string
	body   []byte
}

// read sends a read and, if it fails, retries it once over a new connection, since
// the old one may be dead. A rate limit on retries prevents doubling the load on a
// store that is down.
func (c *Client) read(ctx context.Context, path string) (response, error) {
	r, err := c.readOnce(ctx, path, c.timeout/2)
	if err == nil || ctx.Err() != nil || !c.retryLimiter.Allow() {
		return r, err
	}
	timer := time.NewTimer(rand.N(maxRetryPause))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return r, err
	case <-timer.C:
	}
	return c.readOnce(ctx, path, c.timeout/2)
}

func (c *Client) readOnce(ctx context.Context, path string, timeout time.Duration) (response, error) {
	c.reads.Add(1)
	r, _, err := c.do(ctx, timeout, http.MethodGet, path, nil, c.cache.condition(path))
	if err != nil {
		return response{}, errors.WithType(errors.Annotate(err, "read"), ErrUnavailable)
	}
	r, known := c.cache.resolve(path, r)
	if known && (r.status == http.StatusOK || r.status == http.StatusNotFound) {
		return r, nil
	}
	return response{}, errors.WithType(errors.Errorf("read %s: status %d", path, r.status), ErrUnavailable)
}

// write sends a write once. It does not retry: the caller must decide how to resolve
// a write whose outcome is unknown.
func (c *Client) write(ctx context.Context, method, path string, body []byte, header http.Header) (response, error) {
	c.writes.Add(1)
	r, sent, err := c.do(ctx, c.timeout, method, path, body, header)
	if err != nil && !sent {
		return response{}, errors.WithType(errors.Annotate(err, "write"), ErrUnavailable)
	}
	if err != nil {
		return response{}, errors.WithType(errors.Annotate(err, "write"), ErrUnknown)
	}
	switch r.status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return r, nil
	case http.StatusPreconditionFailed:
		return response{}, errors.WithType(errors.Errorf("write %s", path), ErrConflict)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return response{}, errors.WithType(errors.Errorf("write %s: status %d", path, r.status), ErrUnavailable)
	default:
		return response{}, errors.WithType(errors.Errorf("write %s: status %d", path, r.status), ErrUnknown)
	}
}

// do sends one request. If it fails, sent reports whether the request had a
// connection and may therefore have taken effect.
func (c *Client) do(ctx context.Context, timeout time.Duration, method, path string, body []byte, header http.Header) (r response, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, false, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	httpResponse, err := c.http.Do(request)
	if err != nil {
		// Other connections may have died with this one.
		c.http.CloseIdleConnections()
		return response{}, connected.Load(), err
	}
	defer httpResponse.Body.Close()
	data, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes+1))
	if err != nil {
		c.http.CloseIdleConnections()
		return response{}, true, err
	}
	if len(data) > maxResponseBytes {
		return response{}, true, errors.Errorf("%s %s: response exceeds %d bytes", method, path, maxResponseBytes)
	}
	c.receivedBytes.Add(int64(len(data)))
	return response{status: httpResponse.StatusCode, tag: httpResponse.Header.Get("ETag"), body: data}, true, nil
}

// condition returns the precondition header of a write that expects the version.
func condition(expected Version) http.Header {
	if expected == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {FormatTag(expected)}}
}

// FormatTag formats a version as an entity tag.
func FormatTag(v Version) string { return strconv.Quote(strconv.FormatUint(uint64(v), 10)) }

// parseTag parses the entity tag of an existing row, whose version is never 0.
func parseTag(tag string) (Version, error) {
	text, err := strconv.Unquote(tag)
	if err != nil {
		return 0, errors.NotValidf("entity tag %q", tag)
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number == 0 {
		return 0, errors.NotValidf("entity tag %q", tag)
	}
	return Version(number), nil
}
