// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/requests"
)

// abortGrace is how long an aborted exchange may still read, so that a response that the
// worker sent before it exited is not lost.
const abortGrace = 50 * time.Millisecond

// exchangeTable holds the exchanges in progress. The zero value is empty.
type exchangeTable struct {
	mu        sync.Mutex
	byRequest map[ident.Request]*exchange
}

// add registers an exchange, whose connection must be open.
func (r *exchangeTable) add(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byRequest == nil {
		r.byRequest = map[ident.Request]*exchange{}
	}
	r.byRequest[x.dispatch.Request] = x
}

// remove removes x, unless another exchange of the same request has replaced it.
func (r *exchangeTable) remove(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byRequest[x.dispatch.Request] == x {
		delete(r.byRequest, x.dispatch.Request)
	}
}

// AbortAttempt ends an attempt whose worker process is gone, after abortGrace. It does not
// block.
func (s *Server) AbortAttempt(b requests.AbortAttempt) {
	s.exchanges.mu.Lock()
	defer s.exchanges.mu.Unlock()
	x := s.exchanges.byRequest[b.Request]
	if x == nil || x.dispatch.Attempt != b.Attempt {
		return
	}
	x.mu.Lock()
	x.aborted = true
	x.mu.Unlock()
	x.setReadTimeout(0)
}

// errWorkerRestarted is the error of an aborted attempt.
var errWorkerRestarted = errors.New("worker process restarted during the request")

// isAborted reports whether AbortAttempt was called for this exchange.
func (x *exchange) isAborted() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.aborted
}
