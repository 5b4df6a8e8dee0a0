// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package targets

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/responses"
	"github.com/yardhall/yardhall/core/ident"
)

// Options configure a Client. Zero values are replaced by defaults.
type Options struct {
	DialTimeout  time.Duration
	ProbeTimeout time.Duration
	// StallTimeout is how long a target may send nothing before its attempt is canceled.
	StallTimeout time.Duration
	// MaxResponse bounds the body of a response that is not streamed, in bytes.
	MaxResponse int64
	// From is the local address to dial from; nil lets the system choose.
	From *net.TCPAddr
	// Blocked, if not nil, reports whether dials to an address must fail. Tests simulate
	// network partitions with it.
	Blocked func(address string) bool
}

// Client sends requests to targets.
type Client struct {
	options Options
	// pooled reuses connections. fresh dials one for each request, so that a request that
	// must not run twice never fails on a connection that the target has just closed.
	pooled *http.Transport
	fresh  *http.Transport
	// control carries load and state queries; its bytes are counted.
	control *http.Transport
	// Mismatched counts responses with the id of another request.
	Mismatched atomic.Int64
	// Malformed counts responses with a malformed head.
	Malformed atomic.Int64
	// Resumed counts streams that were resumed after their connection broke.
	Resumed atomic.Int64
	// ProbeBytes counts the bytes of load and state queries, both ways.
	ProbeBytes atomic.Int64
}

const (
	maxIdlePerTarget   = 64
	idleTimeout        = 90 * time.Second
	maxHeader          = 64 << 10
	maxControlBody     = 1 << 20
	defaultMaxResponse = 32 << 20
)

// NewClient returns a client with the given options.
func NewClient(o Options) *Client {
	o.DialTimeout = orDefault(o.DialTimeout, time.Second)
	o.ProbeTimeout = orDefault(o.ProbeTimeout, 800*time.Millisecond)
	o.StallTimeout = orDefault(o.StallTimeout, 30*time.Second)
	o.MaxResponse = cmp.Or(o.MaxResponse, defaultMaxResponse)
	c := &Client{options: o}
	c.pooled = c.newTransport()
	c.fresh = c.newTransport()
	c.fresh.DisableKeepAlives = true
	c.control = c.newTransport()
	dial := c.control.DialContext
	c.control.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, bytes: &c.ProbeBytes}, nil
	}
	return c
}

func orDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}

func (c *Client) newTransport() *http.Transport {
	d := &net.Dialer{Timeout: c.options.DialTimeout}
	if c.options.From != nil {
		d.LocalAddr = c.options.From
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if c.options.Blocked != nil && c.options.Blocked(address) {
				return nil, errors.New("unreachable")
			}
			return d.DialContext(ctx, network, address)
		},
		MaxResponseHeaderBytes: maxHeader, MaxIdleConnsPerHost: maxIdlePerTarget, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// countedConn counts the bytes read and written.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements io.Reader.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err // io.Reader must return io.EOF itself.
}

// Write implements io.Writer.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err // net/http adds the context.
}

// nonReplayableBody hides the type of the body from net/http, which resends a request by
// itself if a reused connection breaks and the body is empty or can be read again.
type nonReplayableBody struct{ io.Reader }

// Close implements io.Closer.
func (nonReplayableBody) Close() error { return nil }

// send makes one attempt. connected reports whether a connection was obtained, after which
// bytes may have reached the target.
func (c *Client) send(ctx context.Context, x Exchange) (resp *http.Response, connected bool, err error) {
	url := "http://" + x.Target.Address + x.Path
	req, err := http.NewRequestWithContext(ctx, x.Method, url, nonReplayableBody{bytes.NewReader(x.Body)})
	if err != nil {
		return nil, false, errors.Wrap(err, "make request")
	}
	req.ContentLength = int64(len(x.Body))
	req.Header = x.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set(HeaderRequestID, string(x.Request))
	transport := c.pooled
	if x.FreshConnection {
		transport = c.fresh
	}
	resp, connected, err = c.roundTrip(transport, req)
	return resp, connected, errors.Wrap(err, "send")
}

// roundTrip sends a request and reads the head of its response. A connection over which a malformed head came is closed. connected reports whether a
// connection was obtained.
func (c *Client) roundTrip(transport *http.Transport, req *http.Request) (resp *http.Response, connected bool, err error) {
	var conn atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { conn.Store(&info.Conn) },
		Got1xxResponse: func(status int, h textproto.MIMEHeader) error { return responses.CheckInterim(status, http.Header(h)) },
	}
	resp, err = transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil && responses.KindOf(resp) != responses.Final {
		err = errors.Wrapf(responses.ErrMalformed, "status %.3q", resp.Status)
		closeBody(resp)
		_ = (*conn.Load()).Close()
	}
	if errors.Is(err, responses.ErrMalformed) {
		c.Malformed.Add(1)
	}
	if err != nil {
		return nil, conn.Load() != nil, err //nolint:wrapcheck // The callers wrap it.
	}
	return resp, true, nil
}

// FetchLoad returns the load report of a target.
func (c *Client) FetchLoad(ctx context.Context, address string) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ProbeTimeout)
	defer cancel()
	var l Load
	err := c.getJSON(ctx, "http://"+address+PathLoad, &l)
	return l, err
}

// FetchState returns an engine's loaded models and the highest fencing token it has seen.
func (c *Client) FetchState(ctx context.Context, address string) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ProbeTimeout)
	defer cancel()
	var s State
	err := c.getJSON(ctx, "http://"+address+PathState, &s)
	return s, err
}

func (c *Client) getJSON(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	// An empty value keeps net/http from sending a User-Agent, which halves the request.
	req.Header.Set("User-Agent", "")
	resp, _, err := c.roundTrip(c.control, req)
	if err != nil {
		return errors.Wrap(err, "query target")
	}
	defer closeBody(resp)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBody))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("target responded with status %s", resp.Status)
	}
	return errors.Wrap(json.Unmarshal(body, v), "decode response")
}

func closeBody(resp *http.Response) { _ = resp.Body.Close() }

// FencedOrder is an order to load or unload a model at one engine, with a fencing token.
type FencedOrder struct {
	Address string
	Body    OrderBody
	// NotAfter is when the order expires.
	NotAfter time.Time
	// ReadFirst fetches the engine's state first and skips the order if it is already applied.
	ReadFirst bool
}

// SendOrder sends a fenced order, unless it has expired, and verifies the result by the
// engine's state.
func (c *Client) SendOrder(ctx context.Context, o FencedOrder, now func() time.Time) error {
	if o.ReadFirst {
		if s, err := c.FetchState(ctx, o.Address); err == nil && isApplied(s, o.Body) {
			return nil
		}
	}
	if now().After(o.NotAfter) {
		return errors.New("order expired before it was sent")
	}
	if err := c.postOrder(ctx, o); err != nil {
		return err
	}
	s, err := c.FetchState(ctx, o.Address)
	if err != nil {
		return errors.Wrap(err, "fetch engine state after order")
	}
	if !isApplied(s, o.Body) {
		return errors.New("engine accepted the order but its state does not show the result")
	}
	return nil
}

func (c *Client) postOrder(ctx context.Context, o FencedOrder) error {
	body, err := json.Marshal(o.Body)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	x := Exchange{
		Request: "order", Target: Endpoint{Address: o.Address}, Method: http.MethodPost, Path: PathOrders,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: body, FreshConnection: true,
	}
	resp, _, err := c.send(ctx, x)
	if err != nil {
		return err
	}
	defer closeBody(resp)
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReason))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("engine responded with status %s: %s", resp.Status, text)
	}
	return nil
}

// maxReason bounds the texts of targets in errors and outcomes, in bytes.
const maxReason = 512

// isApplied reports whether the state of an engine already shows the result of an order.
func isApplied(s State, o OrderBody) bool {
	loaded := slices.Contains(s.Models, o.Model)
	return loaded == (o.Action == ActionLoad)
}

// Endpoint is the address of a target.
type Endpoint struct {
	ID      ident.Target
	Address string
}
