// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/requests"
)

// breakOffGrace is how long an exchange that is broken off may still read: what its worker
// sent before it ended has arrived or is on its last hop. Chosen, not measured.
const breakOffGrace = 50 * time.Millisecond

// running are the exchanges in progress, by request. The zero value is empty.
type running struct {
	mu        sync.Mutex
	exchanges map[ident.Request]*exchange
}

// begin notes an exchange whose connection is open.
func (r *running) begin(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.exchanges == nil {
		r.exchanges = map[ident.Request]*exchange{}
	}
	r.exchanges[x.dispatch.Request] = x
}

// end forgets an exchange.
func (r *running) end(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.exchanges[x.dispatch.Request] == x {
		delete(r.exchanges, x.dispatch.Request)
	}
}

// AbortAttempt ends an attempt whose worker has ended. It does not wait.
func (s *Server) AbortAttempt(b requests.BreakOff) {
	s.running.mu.Lock()
	defer s.running.mu.Unlock()
	x := s.running.exchanges[b.Request]
	if x == nil || x.dispatch.Attempt != b.Attempt {
		return
	}
	x.mu.Lock()
	x.brokenOff = true
	x.mu.Unlock()
	x.boundReads(0)
}

// errBrokenOff ends an attempt whose worker has ended.
var errBrokenOff = errors.New("the worker has started again")

// isBrokenOff tells whether the worker is known to have ended.
func (x *exchange) isBrokenOff() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.brokenOff
}
