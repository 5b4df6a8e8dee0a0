// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package gateway is the entry for requests of the route table: it takes them
// over HTTP, sends each to the worker that the core picks, over kept
// connections that carry one request at a time, and gives the worker's answer
// back unchanged.
//
// # Usage
//
//	s := gateway.NewServer(gateway.Deps{Core: core, Pool: pool, Headers: gateway.DefaultHeaders()})
//	http.Serve(listener, s)
//
// Nothing is sent twice below the core: each try is one Dispatch.
package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// Core is what the server needs of the process's event loop.
type Core interface {
	// Route feeds one event and returns what was decided.
	Route(ev requests.Event) []requests.Decision
	// Await returns the next decision for a request that was told to wait. Where ctx
	// ends first, the request is withdrawn; nil means that the process stops.
	Await(ctx context.Context, id ident.Request) requests.Decision
	// Limits are the bounds for callers in force.
	Limits() config.Limits
	// Draining tells whether the process is being stopped.
	Draining() bool
}

// Deps is what a server needs.
type Deps struct {
	Core    Core
	Pool    *Pool
	Headers Headers
	// Now is the clock; nil is time.Now.
	Now func() time.Time
	// Observe takes each ended request; nil drops it.
	Observe func(Observation)
}

// Observation is one ended request.
type Observation struct {
	Request requests.Request
	Verdict requests.Verdict
	Inputs  requests.Inputs
	// Tries lists the workers called and what came of it.
	Tries []Try
	Took  time.Duration
	// Waited is how long the request waited for this host to start.
	Waited time.Duration
	// First is the time to the first byte of the answer; 0 for none.
	First time.Duration
	// Pause is the longest pause between events of a stream.
	Pause time.Duration
}

// Try is one try at a worker.
type Try struct {
	Dispatch requests.Dispatch
	Result   outcome.Attempt
	Took     time.Duration
}

// Server is an http.Handler for the requests of callers.
type Server struct {
	core    Core
	pool    *Pool
	headers Headers
	now     func() time.Time
	observe func(Observation)
	// InFlight counts the requests in progress.
	InFlight atomic.Int64
}

// NewServer returns a server.
func NewServer(d Deps) *Server {
	s := &Server{core: d.Core, pool: d.Pool, headers: d.Headers, now: d.Now, observe: d.Observe}
	if s.now == nil {
		s.now = time.Now
	}
	if s.observe == nil {
		s.observe = func(Observation) {}
	}
	return s
}

// defaultMaxBody bounds a request's body where the configuration does not.
const defaultMaxBody = 8 << 20

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.InFlight.Add(1)
	defer s.InFlight.Add(-1)
	begun := s.now()
	req := s.headers.request(r, begun)
	if s.core.Draining() {
		w.Header().Set("Connection", "close")
	}
	if req.ID == "" {
		http.Error(w, "a request needs an id", http.StatusBadRequest)
		return
	}
	body, status := s.readBody(w, r)
	if status != 0 {
		http.Error(w, http.StatusText(status), status)
		return
	}
	c := &serverCall{server: s, writer: w, request: r, body: body, begun: begun, relay: relay{w: w, now: s.now, headers: s.headers, lastID: r.Header.Get(s.headers.LastEvent)}}
	c.observed.Request = req
	c.run(req)
}

// readBody reads the whole body; status is an error to answer, or 0.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (body []byte, status int) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0
	}
	limit := s.core.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case err != nil:
		return nil, http.StatusRequestTimeout
	case int64(len(body)) > limit:
		w.Header().Set("Connection", "close")
		return nil, http.StatusRequestEntityTooLarge
	}
	return body, 0
}

// told hands to the core that an answer has begun, and the worker's word on its load.
func (s *Server) told(d requests.Dispatch, h http.Header, took time.Duration) {
	s.core.Route(requests.HeaderReceived{Worker: d.Worker.ID, Load: s.headers.load(h), Route: d.Route.Name, Took: took})
}

// givesUp tells whether a try without an answer so far is to end, as the request goes
// elsewhere.
func (s *Server) givesUp(d requests.Dispatch, waited time.Duration) bool {
	for _, decision := range s.core.Route(requests.HeaderLate{Request: d.Request, Attempt: d.Attempt, Waited: waited}) {
		if g, ok := decision.(requests.GiveUp); ok && g.Request == d.Request {
			return true
		}
	}
	return false
}

// decide feeds an event and returns what becomes of its request, or nil. Whatever
// else was decided is begun.
func (s *Server) decide(ev requests.Event) requests.Decision {
	var next requests.Decision
	for _, d := range s.core.Route(ev) {
		switch d := d.(type) {
		case requests.ProbeConnection:
			go s.reconnect(d.Worker)
		case requests.Dispatch, requests.Wait, requests.Finish:
			next = d
		}
	}
	return next
}

// reconnect opens a connection to a worker that may have been cut off, and keeps it
// for the next request.
func (s *Server) reconnect(w registry.Worker) {
	conn, err := s.pool.dial(context.Background(), w)
	if err == nil {
		s.pool.put(conn, 0, s.now())
	}
	s.core.Route(requests.ProbeEnded{Worker: w.ID, OK: err == nil})
}

// serverCall is one request in progress.
type serverCall struct {
	server   *Server
	writer   http.ResponseWriter
	request  *http.Request
	body     []byte
	begun    time.Time
	relay    relay
	answer   *answer
	observed Observation
}

// run follows the core's decisions to the end of the request.
func (c *serverCall) run(req requests.Request) {
	next := c.server.decide(requests.Arrived{Request: req})
	for {
		switch d := next.(type) {
		case requests.Wait:
			next = c.server.core.Await(c.request.Context(), d.Request)
			c.observed.Waited = c.server.now().Sub(c.begun)
		case requests.Dispatch:
			next = c.server.decide(c.try(d))
		case requests.Finish:
			c.observed.Inputs = d.Inputs
			c.finish(d.Verdict)
			return
		default:
			c.finish(requests.Verdict{Outcome: outcome.Unknown, Code: requests.CodeBroken})
			return
		}
	}
}

// try makes one try and reports how it ended.
func (c *serverCall) try(d requests.Dispatch) requests.Event {
	started := c.server.now()
	ctx, cancel := context.WithDeadline(c.request.Context(), d.Deadline)
	defer cancel()
	rest(ctx, d.Pause)
	x := &exchange{server: c.server, dispatch: d, request: c.request, body: c.body}
	var result outcome.Attempt
	if d.Route.Kind == config.RouteStream {
		c.answer, result = x.stream(ctx, &c.relay)
	} else {
		c.answer, result = x.plain(ctx)
	}
	gone := c.request.Context().Err() != nil || c.relay.failed
	_, answered := result.(outcome.Answered)
	late := !gone && !answered && !c.server.now().Before(d.Deadline)
	if late {
		result = outcome.Broken{Reason: "no whole answer before the deadline", Begun: c.relay.begun}
	}
	c.observed.Tries = append(c.observed.Tries, Try{Dispatch: d, Result: result, Took: c.server.now().Sub(started)})
	if late {
		return requests.Expired{Request: d.Request}
	}
	return requests.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: result, Wanted: !gone}
}

// rest waits for a while, or until ctx ends.
func rest(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// finish tells the caller how the request ended.
func (c *serverCall) finish(v requests.Verdict) {
	c.observed.Verdict = v
	c.observed.Took = c.server.now().Sub(c.begun)
	if !c.relay.first.IsZero() {
		c.observed.First = c.relay.first.Sub(c.begun)
	}
	c.observed.Pause = c.relay.pause
	c.server.observe(c.observed)
	switch {
	case v.Code == requests.CodeOK && c.answer != nil:
		c.deliver(c.answer)
	case v.Code == requests.CodeOK:
		// The stream has been passed on whole.
	case c.relay.begun || v.Code == requests.CodeCallerGone:
		// What was sent must not look complete.
		panic(http.ErrAbortHandler)
	default:
		c.refuse(v)
	}
}

func (c *serverCall) deliver(a *answer) {
	copyHeader(c.writer.Header(), c.server.headers.toCaller(a.header))
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	c.writer.WriteHeader(a.status)
	_, _ = c.writer.Write(a.body)
}

// copyHeader copies a worker's headers; what it did not send is not added.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := to[name]; !ok {
			to[name] = nil
		}
	}
}

func (c *serverCall) refuse(v requests.Verdict) {
	h := c.writer.Header()
	if v.Elsewhere {
		h.Set("Connection", "close")
	}
	if v.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(v.RetryAfter.Seconds(), 'f', -1, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.writer.WriteHeader(statusOf(v))
	_, _ = io.WriteString(c.writer, string(v.Code)+": "+v.Reason+"\n")
}

// statusOf maps a verdict to HTTP. 503 promises that the request has not run
// and never will; 502 and 504 promise nothing.
func statusOf(v requests.Verdict) int {
	switch {
	case v.Code == requests.CodeNoRoute:
		return http.StatusNotFound
	case v.Code == requests.CodeBadKey:
		return http.StatusUnauthorized
	case v.Outcome == outcome.NotRun:
		return http.StatusServiceUnavailable
	case v.Code == requests.CodeDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
