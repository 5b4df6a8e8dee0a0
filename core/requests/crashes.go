// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"fmt"
	"time"

	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
)

// A request under which workers end is sent to none any more, whichever way it would go:
// when it arrives, after a failure, after a pause, or from another host (package crashes
// decides which ones). Each end costs callers all that the worker runs.
//
// A worker's process is known to have ended where a new connection to it is refused, or
// another process is registered at its address or under its id; a connection without a
// request finds out. One that comes up shows little, as something between may take it; an
// answer to a request sent later shows that the process lives. A worker that had said that
// it leaves ends as planned, and a zone out of reach refuses for reasons of its own: nothing
// is held against requests there.
//
// Inputs: attempts that broke off, connections refused, registrations, and the list of
// crashes.

// CrashReports are the crashes that this host itself saw lately.
func (s State) CrashReports() crashes.Reports { return s.observer.Reports() }

// CrashList are the requests under which workers ended, as this host knows them.
func (s State) CrashList() crashes.List { return s.crashList }

// WithCrashList returns the state of a host that holds a list.
func (s State) WithCrashList(l crashes.List) State {
	s.crashList = l
	return s
}

// AnsweredAt is when a request was last answered here; false where that is not known.
func (s State) AnsweredAt(content crashes.Content, now time.Time) (time.Time, bool) {
	return s.answers.LastAnswered(content, now)
}

// isRefused tells whether the call is sent to no worker any more.
func (t *transition) isRefused(c call) bool {
	_, refused := t.crashList.Refused(c.content, t.now)
	return refused
}

// crashVerdict ends such a call. The caller may come back when the refusal ends, as nothing
// else would change what becomes of it.
func (t *transition) crashVerdict(c call) Verdict {
	v := Verdict{Outcome: c.combined, Code: CodeCrashes, Reason: CrashReason(c.content)}
	if v.Outcome == outcome.NotRun {
		until, _ := t.crashList.Refused(c.content, t.now)
		v.RetryAfter = until.Sub(t.now)
	}
	return v
}

// CrashReason tells callers why a request is refused.
func CrashReason(c crashes.Content) string {
	return fmt.Sprintf("%d workers in a row ended under requests of content %s", crashes.CrashesToRefuse, c)
}

// attemptBroke suspects an attempt that broke off, and asks for a connection that tells
// whether its worker ended.
func (t *transition) attemptBroke(c call, r outcome.Interrupted) {
	w, known := t.workers.Get(c.target)
	isPlanned := w.leaving() || w.State == registry.Gone
	if c.content == "" || r.TimedOut || !known || isPlanned || !t.reachable(w.Zone) {
		return
	}
	asked := t.observer.ProbeRequested(c.target, c.life, t.now)
	t.observer = t.observer.WithSuspect(crashes.Suspect{Content: c.content, Incarnation: c.life, Crash: crashes.Crash{
		Attempt: fmt.Sprintf("%s/%d", c.req.ID, c.attempt), Worker: c.target, SentAt: c.sentAt, EndedAt: t.now, AnswerStarted: r.AnswerStarted,
	}}, t.now)
	switch {
	case w.life != c.life || w.succeeded():
		t.processEnded(c.target, c.life)
	case !asked:
		t.out = append(t.out, ProbeConnection{Worker: w.Worker})
	}
}

// processEnded takes the proof that a worker's process ended.
func (t *transition) processEnded(id ident.Target, life uint64) {
	next, n := t.observer.WithProcessExit(id, life, t.now)
	t.observer = next
	if n > 0 {
		t.out = append(t.out, WorkerCrashed{Worker: id, Requests: n})
	}
}

// connectionRefused takes a refused connection to a worker as the proof that its process
// ended, unless its zone is out of reach.
func (t *transition) connectionRefused(id ident.Target) {
	if w, ok := t.workers.Get(id); ok && t.reachable(w.Zone) {
		t.processEnded(id, w.life)
	}
}

// answeredAfterAll takes an answer: the worker's process lives, and if workers had ended under
// the request, it does not end all that run it.
func (t *transition) answeredAfterAll(c call, r outcome.Answered) {
	t.observer = t.observer.WithProcessAlive(c.target, c.life, c.sentAt)
	if r.Status < serverError {
		t.answers = t.answers.With(c.content, t.now)
		t.crashList = t.crashList.WithAnswer(c.content, t.now)
	}
}
