// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package gateway is the HTTP reverse proxy for the requests of the route table. It sends
// each request to the worker that the core selects, over pooled connections that carry one
// request at a time, and returns the worker's response unchanged.
//
// # Usage
//
//	s := gateway.NewServer(gateway.Deps{Core: core, Pool: pool, Headers: gateway.DefaultHeaders()})
//	http.Serve(listener, s)
//
// The gateway never retries by itself: each attempt is a Dispatch of the core.
package gateway

import (
	"cmp"
	"context"
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

// Core decides on requests; the process's event loop implements it.
type Core interface {
	// Decide processes one event and returns the resulting decisions.
	Decide(ev requests.Event) []requests.Decision
	// Await blocks until there is a decision for a waiting request. If ctx is done first,
	// the request is withdrawn. It returns nil if the process stops.
	Await(ctx context.Context, id ident.Request) requests.Decision
	// Limits returns the limits for callers in force.
	Limits() config.Limits
	// Draining reports whether the process is shutting down.
	Draining() bool
	// Rank returns the priority of a request by the route table in force; 0 is the highest.
	Rank(r requests.Request) int
}

// Deps are the dependencies of a Server.
type Deps struct {
	Core    Core
	Pool    *Pool
	Headers Headers
	// MaxHeader bounds the head of a worker's response, MaxBuffered all responses that are buffered at a time,
	// both in bytes; 0 is DefaultMaxHeader and DefaultMaxBuffered.
	MaxHeader   int64
	MaxBuffered int64
	// Memory is what the process may use, in bytes; 0 if that is not known. It bounds the bodies of requests
	// and of responses that are held at a time.
	Memory int64
	// Tunnels, if not nil, opens connections through other hosts.
	Tunnels TunnelOpener
	// Now returns the current time; nil means clock.Now.
	Now func() time.Time
	// Observe, if not nil, is called for each finished request, ObserveIrregular for irregular bytes
	// from workers.
	Observe          func(Observation)
	ObserveIrregular func(Irregularity)
	// ObservePanic, if not nil, is called for each panic of a handler.
	ObservePanic func(request ident.Request, value any)
}

// Observation describes a finished request, for logs and metrics.
type Observation struct {
	Request requests.Request
	Verdict requests.Verdict
	Inputs  requests.Inputs
	// Attempts are in the order in which they were made.
	Attempts []Attempt
	Duration time.Duration
	// StartupWait is how long the request waited for this host to become ready.
	StartupWait time.Duration
	// TimeToFirstByte is the time to the first byte of a stream; 0 if none was sent.
	TimeToFirstByte time.Duration
	// MaxEventGap is the longest time between two writes of a stream to the caller.
	MaxEventGap time.Duration
}

// Attempt is one attempt of a request at a worker.
type Attempt struct {
	Dispatch requests.Dispatch
	Result   outcome.Attempt
	Duration time.Duration
	// Via is the host that it went through; empty if it went to the worker directly.
	Via ident.Host
	// LocalAddress is this host's end of the connection, which tells connections apart; empty if
	// there was none. Reused is set if the connection had carried another request before.
	LocalAddress string
	Reused       bool
	// Unframed is set if the response had neither a length nor chunks and ended with its connection.
	Unframed bool
	// Skipped is the number of responses to other requests that were read and dropped. Unidentified is
	// set if a response without a request id was read.
	Skipped      int
	Unidentified bool
	// ConnectedAfter and SentAfter are the times from the choice of the worker until the connection was open
	// and the request written; 0 if that was not reached.
	ConnectedAfter time.Duration
	SentAfter      time.Duration
	// OpenFor is how long the connection had been open when the request was sent; 0 if the core did not ask for it.
	OpenFor time.Duration
}

// Server is the http.Handler of the gateway.
type Server struct {
	core      Core
	pool      *Pool
	tunnels   TunnelOpener
	headers   Headers
	now       func() time.Time
	observe   func(Observation)
	exchanges exchangeTable
	// observeIrregular reports irregular bytes from workers.
	observeIrregular func(Irregularity)
	observePanic     func(request ident.Request, value any)
	maxHeader        int64
	memory           *memory
	bodies           *bodyMemory
	stopping         stopping
	// InFlight is the number of requests in progress.
	InFlight atomic.Int64
}

// NewServer returns a server with the given dependencies.
func NewServer(d Deps) *Server {
	s := &Server{core: d.Core, pool: d.Pool, tunnels: d.Tunnels, headers: d.Headers, now: d.Now, observe: d.Observe, observeIrregular: d.ObserveIrregular, observePanic: d.ObservePanic}
	s.stopping = newStopping()
	s.maxHeader = cmp.Or(d.MaxHeader, DefaultMaxHeader)
	limits := bufferLimitsFor(d.Memory, d.MaxBuffered)
	s.memory, s.bodies = &memory{limit: limits.responses}, &bodyMemory{limits: limits}
	if s.now == nil {
		s.now = clock.Now
	}
	if s.observe == nil {
		s.observe = func(Observation) {}
	}
	if s.observePanic == nil {
		s.observePanic = func(ident.Request, any) {}
	}
	if s.observeIrregular == nil {
		s.observeIrregular = func(Irregularity) {}
	}
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.InFlight.Add(1)
	defer s.InFlight.Add(-1)
	startedAt := s.now()
	req := s.headers.parseRequest(r, startedAt)
	if s.core.Draining() {
		w.Header().Set("Connection", "close")
	}
	if req.ID == "" {
		http.Error(w, "a request needs an id", http.StatusBadRequest)
		return
	}
	c := &serverCall{memory: reservation{memory: s.memory}, server: s, writer: w, request: r, startedAt: startedAt, relay: eventRelay{w: w, now: s.now, headers: s.headers, lastEventID: r.Header.Get(s.headers.LastEventID)}}
	defer c.recoverPanic(req.ID)
	if s.refuseByHead(c, req) {
		return
	}
	body, hold, err := s.readBody(w, r, req)
	c.body, c.bodyHold = body, hold
	defer c.releaseBody()
	if err != nil {
		c.observed.Request = req
		c.refuseBody(err)
		return
	}
	req.Digest = digest(r, body)
	c.observed.Request = req
	c.run(req)
}

// reportHeader reports to the core that a response has begun, together with the load, backoff
// and shutdown that the worker reports in its header. elapsed is the time since the request was sent
// over conn.
func (s *Server) reportHeader(d requests.Dispatch, resp *http.Response, conn *workerConn, elapsed time.Duration) {
	s.core.Decide(requests.HeaderReceived{
		Request: d.Request, Attempt: d.Attempt, Worker: d.Worker.ID, NewConnection: conn.newlyDialed, Tunneled: conn.tunneled,
		Declined: reportsNotRun(resp, s.headers), Notice: s.headers.parseNotice(resp, s.now()),
		Load: s.headers.parseLoad(resp.Header), Route: d.Route.Name, Took: elapsed, OpenedAt: conn.openedAt,
	})
}

// reportNotice reports to the core what the worker says of itself in a response that is not known to be an answer to the
// request. It holds for whichever request the response belongs to.
func (s *Server) reportNotice(d requests.Dispatch, resp *http.Response, conn *workerConn) {
	s.core.Decide(requests.HeaderReceived{
		Request: d.Request, Attempt: d.Attempt, Worker: d.Worker.ID, NewConnection: conn.newlyDialed, Tunneled: conn.tunneled,
		Declined: true, Notice: s.headers.parseNotice(resp, s.now()), Route: d.Route.Name,
	})
}

// reportHeaderTimeout reports to the core that no response header has arrived and returns
// whether the core cancels the attempt, as it sends the request to another worker. elapsed is the
// time since the request was sent.
func (s *Server) reportHeaderTimeout(d requests.Dispatch, elapsed time.Duration) bool {
	return s.isCanceled(requests.HeaderTimedOut{Request: d.Request, Attempt: d.Attempt, Waited: elapsed}, d.Request)
}

// isCanceled reports an event of an attempt to the core and returns whether the core cancels the attempt.
func (s *Server) isCanceled(ev requests.Event, id ident.Request) bool {
	for _, decision := range s.core.Decide(ev) {
		if c, ok := decision.(requests.CancelAttempt); ok && c.Request == id {
			return true
		}
	}
	return false
}

// nextDecision reports an event of a request to the core and returns the next decision for that
// request, or nil. Decisions on other requests must not reach its caller. Connection probes that the
// core asks for are started in the background.
func (s *Server) nextDecision(id ident.Request, ev requests.Event) requests.Decision {
	var next requests.Decision
	for _, d := range s.core.Decide(ev) {
		if probe, ok := d.(requests.ProbeConnection); ok {
			s.Probe(probe)
		} else if concerned, ok := requestOf(d); ok && concerned == id {
			next = d
		}
	}
	return next
}

// requestOf returns the request that a decision sends, delays or ends; false for other decisions.
func requestOf(d requests.Decision) (ident.Request, bool) {
	switch d := d.(type) {
	case requests.Dispatch:
		return d.Request, true
	case requests.Pause:
		return d.Request, true
	case requests.Wait:
		return d.Request, true
	case requests.Finish:
		return d.Request, true
	}
	return "", false
}

// Probe checks in the background whether a worker that may be unreachable accepts connections,
// reports the result to the core and adds the connection to the pool.
func (s *Server) Probe(p requests.ProbeConnection) { go s.probe(p.Worker) }

// probeHold is how long a connection must stay open to count as established: an intermediary may
// accept connections and reset them if it does not reach the worker.
const probeHold = 30 * time.Millisecond

func (s *Server) probe(w registry.Worker) {
	conn, err := s.pool.dial(context.Background(), w, s.now)
	refused := IsConnRefused(err)
	if err == nil {
		time.Sleep(probeHold)
		if refused = !conn.isOpenAndIdle(); refused {
			_ = conn.Close()
		} else {
			s.pool.release(conn, 0, s.now())
		}
	}
	s.core.Decide(requests.ProbeEnded{Worker: w.ID, OK: err == nil && !refused, Refused: refused, TimedOut: IsTimeout(err)})
}
