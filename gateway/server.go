// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package gateway is the front door for requests of the route table: it takes them
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
	"sync/atomic"
	"time"

	"github.com/yardhall/yardhall/common/clock"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// Core is what the server needs of the process's event loop.
type Core interface {
	// Decide feeds one event and returns what was decided.
	Decide(ev requests.Event) []requests.Decision
	// Await returns the next decision for a request that waits. Where ctx
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
	// Now is the clock; nil is clock.Now.
	Now func() time.Time
	// Observe takes each ended request; nil drops it.
	Observe func(Observation)
}

// Observation is one ended request.
type Observation struct {
	Request requests.Request
	Verdict requests.Verdict
	Inputs  requests.Inputs
	// Attempts lists the workers called and what came of it.
	Attempts []Attempt
	Duration time.Duration
	// StartupWait is how long the request waited for this host to start.
	StartupWait time.Duration
	// TimeToFirstByte is the time to the first byte of the answer; 0 for none.
	TimeToFirstByte time.Duration
	// MaxEventGap is the longest pause between events of a stream.
	MaxEventGap time.Duration
}

// Attempt is one try at a worker.
type Attempt struct {
	Dispatch requests.Dispatch
	Result   outcome.Attempt
	Duration time.Duration
}

// Server is an http.Handler for the requests of callers.
type Server struct {
	core    Core
	pool    *Pool
	headers Headers
	now     func() time.Time
	observe func(Observation)
	running running
	// InFlight counts the requests in progress.
	InFlight atomic.Int64
}

// NewServer returns a server.
func NewServer(d Deps) *Server {
	s := &Server{core: d.Core, pool: d.Pool, headers: d.Headers, now: d.Now, observe: d.Observe}
	if s.now == nil {
		s.now = clock.Now
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
	c := &serverCall{server: s, writer: w, request: r, body: body, begun: begun, relay: relay{w: w, now: s.now, headers: s.headers, lastID: r.Header.Get(s.headers.LastEventID)}}
	req.Digest = digest(r, body)
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

// reportHeader hands to the core that an answer has begun, and what the worker says of
// itself with it.
func (s *Server) reportHeader(d requests.Dispatch, resp *http.Response, took time.Duration) {
	s.core.Decide(requests.HeaderReceived{
		Request: d.Request, Attempt: d.Attempt, Worker: d.Worker.ID,
		Declined: notRun(resp, s.headers), Notice: s.headers.notice(resp, s.now()),
		Load: s.headers.load(resp.Header), Route: d.Route.Name, Took: took,
	})
}

// givesUp tells whether a try without an answer so far is to end, as the request goes
// elsewhere.
func (s *Server) givesUp(d requests.Dispatch, waited time.Duration) bool {
	for _, decision := range s.core.Decide(requests.HeaderLate{Request: d.Request, Attempt: d.Attempt, Waited: waited}) {
		if g, ok := decision.(requests.GiveUp); ok && g.Request == d.Request {
			return true
		}
	}
	return false
}

// nextDecision feeds an event and returns what becomes of its request, or nil. Whatever
// else was decided is begun.
func (s *Server) nextDecision(ev requests.Event) requests.Decision {
	var next requests.Decision
	for _, d := range s.core.Decide(ev) {
		switch d := d.(type) {
		case requests.ProbeConnection:
			go s.probe(d.Worker)
		case requests.Dispatch, requests.Pause, requests.Wait, requests.Finish:
			next = d
		}
	}
	return next
}

// probe opens a connection to a worker that may have been cut off, and keeps it
// for the next request.
func (s *Server) probe(w registry.Worker) {
	conn, err := s.pool.dial(context.Background(), w)
	if err == nil {
		s.pool.put(conn, 0, s.now())
	}
	s.core.Decide(requests.ProbeEnded{Worker: w.ID, OK: err == nil, Refused: isRefused(err)})
}
