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
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/ident"
)

// Options bound the traffic with targets.
type Options struct {
	DialTimeout  time.Duration
	ProbeTimeout time.Duration
	// StallTimeout is how long a target may send nothing.
	StallTimeout time.Duration
	// MaxResponse bounds an answer that is not streamed.
	MaxResponse int64
	// From is the local address to dial from; nil leaves it to the system.
	From *net.TCPAddr
	// Blocked, where set, tells which addresses must not be reached; tests
	// cut zones off with it.
	Blocked func(address string) bool
}

// Client sends requests to targets.
type Client struct {
	options Options
	// shared keeps connections; fresh opens one for each request, so that a
	// request that must not run twice never meets a connection that the target
	// has just closed.
	shared *http.Transport
	fresh  *http.Transport
	// control carries load reports and orders; its bytes are counted.
	control *http.Transport
	// Mismatched counts answers that belonged to another request.
	Mismatched atomic.Int64
	// Resumed counts streams taken up again after a break.
	Resumed atomic.Int64
	// ProbeBytes counts the bytes of load reports, both ways.
	ProbeBytes atomic.Int64
}

const (
	maxIdlePerTarget = 64
	idleTimeout      = 90 * time.Second
	maxSmallBody     = 1 << 20
	defaultMaxAnswer = 32 << 20
)

// NewClient returns a client; zero options take defaults.
func NewClient(o Options) *Client {
	o.DialTimeout = orDefault(o.DialTimeout, time.Second)
	o.ProbeTimeout = orDefault(o.ProbeTimeout, 800*time.Millisecond)
	o.StallTimeout = orDefault(o.StallTimeout, 30*time.Second)
	o.MaxResponse = cmp.Or(o.MaxResponse, defaultMaxAnswer)
	c := &Client{options: o}
	c.shared = c.transport()
	c.fresh = c.transport()
	c.fresh.DisableKeepAlives = true
	c.control = c.transport()
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

func (c *Client) transport() *http.Transport {
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
		MaxIdleConnsPerHost: maxIdlePerTarget, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.shared.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// countedConn counts the bytes that pass, both ways.
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

// onceBody hides the body from net/http, which resends a request by itself on
// a broken reused connection where it can read the body again or where there
// is none.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// send makes one attempt. touched tells whether a connection was had, after
// which bytes may have reached the target.
func (c *Client) send(ctx context.Context, x Exchange) (resp *http.Response, touched bool, err error) {
	var had atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { had.Store(true) }}
	url := "http://" + x.Target.Address + x.Path
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), x.Method, url, onceBody{bytes.NewReader(x.Body)})
	if err != nil {
		return nil, false, errors.Wrap(err, "make request")
	}
	req.ContentLength = int64(len(x.Body))
	req.Header = x.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set(HeaderRequestID, string(x.Request))
	transport := c.shared
	if x.FreshConnection {
		transport = c.fresh
	}
	resp, err = transport.RoundTrip(req)
	return resp, had.Load(), errors.Wrap(err, "send")
}

// FetchLoad asks a target for its load report.
func (c *Client) FetchLoad(ctx context.Context, address string) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ProbeTimeout)
	defer cancel()
	var l Load
	err := c.getJSON(ctx, "http://"+address+PathLoad, &l)
	return l, err
}

// FetchState asks an engine what it holds.
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
	// An empty User-Agent is left out, which halves the request.
	req.Header.Set("User-Agent", "")
	resp, err := c.control.RoundTrip(req)
	if err != nil {
		return errors.Wrap(err, "ask target")
	}
	defer closeBody(resp)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxSmallBody))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("target answered %s", resp.Status)
	}
	return errors.Wrap(json.Unmarshal(body, v), "decode answer")
}

func closeBody(resp *http.Response) { _ = resp.Body.Close() }

// FencedOrder is an order to one engine.
type FencedOrder struct {
	Address  string
	Body     OrderBody
	NotAfter time.Time
	// ReadFirst asks for the engine's state and sends nothing where the order
	// is fulfilled already.
	ReadFirst bool
}

// SendOrder sends a fenced order, unless it has become too old at now, and reads
// the result back from the engine.
func (c *Client) SendOrder(ctx context.Context, o FencedOrder, now func() time.Time) error {
	if o.ReadFirst {
		if s, err := c.FetchState(ctx, o.Address); err == nil && fulfilled(s, o.Body) {
			return nil
		}
	}
	if now().After(o.NotAfter) {
		return errors.New("the order is too old to be sent")
	}
	if err := c.postOrder(ctx, o); err != nil {
		return err
	}
	s, err := c.FetchState(ctx, o.Address)
	if err != nil {
		return errors.Wrap(err, "read result back")
	}
	if !fulfilled(s, o.Body) {
		return errors.New("the engine accepted the order but does not show its result")
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
		return errors.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("the engine answered %s: %s", resp.Status, text)
	}
	return nil
}

const maxReason = 512

func fulfilled(s State, o OrderBody) bool {
	holds := slices.Contains(s.Models, o.Model)
	return holds == (o.Action == ActionLoad)
}

// Endpoint is where a target listens.
type Endpoint struct {
	ID      ident.Target
	Address string
}
