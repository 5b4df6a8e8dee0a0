// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
)

func (l *loop) toCall(id ident.Request, e host.Effect, last bool) {
	l.mu.Lock()
	ch, ok := l.calls[id]
	if last {
		delete(l.calls, id)
	}
	l.mu.Unlock()
	if !ok {
		return
	}
	ch <- e
	if last {
		close(ch)
	}
}

// Submit implements callers.Core.
func (l *loop) Submit(r host.Request) <-chan host.Effect {
	ch := make(chan host.Effect, callEvents)
	l.mu.Lock()
	l.calls[r.ID] = ch
	l.mu.Unlock()
	l.post(host.RequestArrived{Request: r})
	return ch
}

// ReportAttempt implements callers.Core.
func (l *loop) ReportAttempt(ev host.AttemptEnded) { l.post(ev) }

// Config implements callers.Core.
func (l *loop) Config() config.Config { return l.state.Load().Config() }

// Ready implements callers.Core.
func (l *loop) Ready() bool { return l.state.Load().Ready() }
