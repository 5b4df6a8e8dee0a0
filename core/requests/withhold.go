// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
)

// A worker is chosen before the request can be written: a connection has to be opened, and the process may
// stand still in between. If that took long, the choice is checked again before the first byte is written.
// The attempt is withheld if the worker has begun to leave or has restarted meanwhile, or if this host is
// resuming after a stall and does not know yet. Nothing was sent, so the request goes to another worker
// without charge to the retry budget.
//
// Inputs: the worker as registered now, its incarnation at the time of the choice, and when a stall ended.

// MaxUncheckedDelay is the time between choice and writing up to which the choice is not checked again:
// longer than connections between zones take to open.
const MaxUncheckedDelay = 20 * time.Millisecond

// handleConnected cancels an attempt whose worker must not get the request any more.
func (t *transition) handleConnected(ev Connected) {
	c, ok := t.calls.Get(ev.Request)
	if !ok || c.attempt != ev.Attempt {
		return
	}
	c.openedAt = ev.OpenedAt
	mayGet := !t.resuming(t.now) && t.mayStillGet(c) && t.checkProcess(&c)
	t.calls = t.calls.With(c.req.ID, c)
	if mayGet {
		return
	}
	t.counters.Withheld++
	t.out = append(t.out, CancelAttempt{Request: ev.Request})
}

// mayStillGet reports whether the worker of the call's attempt may still get it.
func (t *transition) mayStillGet(c call) bool {
	w, known := t.workers.Get(c.target)
	return !known || w.incarnation == c.incarnation && w.State != registry.Gone && !w.leaving() && !w.addressTaken()
}

// afterWithheld chooses another worker for a call, or chooses anew once news has arrived after a stall.
func (t *transition) afterWithheld(c call) {
	v := Verdict{Code: CodeNoWorker, Reason: "the worker began to leave before the request was sent"}
	if len(c.unknownProcess) >= maxUnknownProcesses && t.awaitProcess(c) {
		return
	}
	if !t.resuming(t.now) || slices.Contains(c.unknownProcess, c.target) {
		t.dispatch(c, v)
		return
	}
	c.tried = slices.DeleteFunc(slices.Clone(c.tried), func(id ident.Target) bool { return id == c.target })
	c.pausing, c.awaitsRoom = true, true
	t.calls = t.calls.With(c.req.ID, c)
	t.out = append(t.out, Pause{Request: c.req.ID, For: t.resumedAt.Add(resumeTimeout).Sub(t.now)})
}

// isWithheld reports whether an attempt ended because it was withheld, which says nothing of the worker.
func isWithheld(a outcome.Attempt) bool {
	n, ok := a.(outcome.NeverSent)
	return ok && n.Withheld
}
