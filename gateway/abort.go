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

// add registers x for AbortAttempt, which sets the read timeout of its connection: x.conn must
// be set.
func (t *exchangeTable) add(x *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byRequest == nil {
		t.byRequest = map[ident.Request]*exchange{}
	}
	t.byRequest[x.dispatch.Request] = x
}

// remove removes x, unless another exchange of the same request has replaced it.
func (t *exchangeTable) remove(x *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byRequest[x.dispatch.Request] == x {
		delete(t.byRequest, x.dispatch.Request)
	}
}

// AbortAttempt ends an attempt whose worker process is gone, unless the response arrives within
// abortGrace. It does not block.
func (s *Server) AbortAttempt(a requests.AbortAttempt) {
	s.exchanges.mu.Lock()
	defer s.exchanges.mu.Unlock()
	x := s.exchanges.byRequest[a.Request]
	if x == nil || x.dispatch.Attempt != a.Attempt {
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
