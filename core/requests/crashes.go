// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"fmt"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
)

// A request that crashes workers is not sent to any worker, whether it has just arrived, would be
// retried or resent, or comes from another host (package crashes decides which ones). Each crash
// costs callers everything else that the worker runs.
//
// A worker's process is known to have ended if a new connection to it is refused, or another
// process is registered at its address or under its id; a connection without a request (a probe)
// finds out. A probe that connects proves little, as an intermediary may accept it; an answer to
// a request sent later proves that the process is alive. A worker that reported that it is
// leaving ends as planned, and an unreachable zone refuses connections for other reasons: neither
// is counted against requests.
//
// Inputs: interrupted attempts, refused connections, registrations, and the crash list.

// CrashReports returns the recent crashes seen by this host.
func (s State) CrashReports() crashes.Reports { return s.crashObserver.Reports() }

// CrashList returns the requests known to crash workers.
func (s State) CrashList() crashes.List { return s.crashList }

// WithCrashList returns the state with a new crash list.
func (s State) WithCrashList(l crashes.List) State {
	s.crashList = l
	return s
}

// AnsweredAt returns when a request was last answered by this host; false if that is not known.
func (s State) AnsweredAt(content crashes.Content, now time.Time) (time.Time, bool) {
	if content.IsPart() {
		return s.parts.answers.LastAnswered(content, now)
	}
	return s.recentAnswers.LastAnswered(content, now)
}

// isBlockedForCrashes reports whether the call may be sent to no worker, as it crashes them.
func (t *transition) isBlockedForCrashes(c call) bool {
	_, _, refused := t.crashRefusal(c)
	return refused
}

// crashRefusal returns why a call is refused, and until when: because it crashes workers, or a part of its
// prompt does.
func (t *transition) crashRefusal(c call) (content crashes.Content, until time.Time, refused bool) {
	if until, refused = t.crashList.Refused(c.content, t.now); refused {
		return c.content, until, true
	}
	return t.refusedPart(c)
}

// crashVerdictFor returns the verdict on a call that is blocked because it crashes workers. The
// caller may retry once the refusal expires.
func (t *transition) crashVerdictFor(c call) Verdict {
	content, until, _ := t.crashRefusal(c)
	if content.IsPart() {
		t.counters.PartsRefused++
	}
	v := Verdict{Outcome: c.combinedOutcome, Code: CodeCrashes, Reason: CrashReason(content)}
	if v.Outcome == outcome.NotRun {
		v.RetryAfter = until.Sub(t.now)
	}
	return v
}

// CrashReason returns the reason given to callers for refusing a request that crashes workers.
func CrashReason(c crashes.Content) string {
	if c.IsPart() {
		return fmt.Sprintf("%d workers crashed under a part of the prompt, %s", crashes.CrashesToRefuse, c)
	}
	return fmt.Sprintf("%d workers in a row crashed while they ran requests of content %s", crashes.CrashesToRefuse, c)
}

// suspectCrash records an interrupted attempt as a possible crash, and requests a probe to find
// out whether its worker's process ended.
func (t *transition) suspectCrash(c call, r outcome.Interrupted) {
	w, known := t.workers.Get(c.target)
	isPlanned := w.leaving() || w.State == registry.Gone
	if c.content == "" || r.TimedOut || !known || isPlanned || !t.isZoneReachable(w.Zone) {
		return
	}
	probeRequested := t.crashObserver.ProbeRequested(c.target, c.incarnation, t.now)
	t.crashObserver = t.crashObserver.WithSuspect(crashes.Suspect{Content: c.content, Parts: c.parts, Incarnation: c.incarnation, Crash: crashes.Crash{
		Attempt: fmt.Sprintf("%s/%d", c.req.ID, c.attempt), Worker: c.target, SentAt: c.sentAt, EndedAt: t.now, AnswerStarted: r.AnswerStarted,
	}}, t.now)
	switch {
	case w.incarnation != c.incarnation || w.addressTaken():
		t.recordProcessEnd(c.target, c.incarnation)
	case !probeRequested && t.HasContact():
		t.out = append(t.out, ProbeConnection{Worker: w.Worker})
	}
}

// recordProcessEnd records proof that a worker's process ended.
func (t *transition) recordProcessEnd(id ident.Target, incarnation uint64) {
	next, n := t.crashObserver.WithProcessExit(id, incarnation, t.now)
	t.crashObserver = next
	if n > 0 {
		t.out = append(t.out, WorkerCrashed{Worker: id, Requests: n})
	}
}

// recordConnectionRefused records that a worker refused a connection of this host or, if tunneled is
// set, of a peer. It proves that the worker's process ended unless its zone is unreachable. As a host
// that is cut off is refused everywhere, its own connection counts only once another worker has
// responded since, which a probe finds out.
func (t *transition) recordConnectionRefused(id ident.Target, tunneled bool) {
	w, ok := t.workers.Get(id)
	if !ok || !t.isZoneReachable(w.Zone) || !t.HasContact() && !tunneled {
		return
	}
	if tunneled || t.readyWorkers() == 1 || !t.crashObserver.HasSuspect(id, w.incarnation) {
		t.recordProcessEnd(id, w.incarnation)
		return
	}
	t.refusals = append(slices.Clone(t.refusals), refusal{worker: id, incarnation: w.incarnation, at: t.now})
	t.refusals = t.refusals[max(0, len(t.refusals)-maxRefusals):]
	t.probeAnotherWorker(id)
}

// confirmRefusals counts the refusals of other workers as the end of their processes, as a worker has
// responded since.
func (t *transition) confirmRefusals(responded ident.Target) {
	if len(t.refusals) == 0 {
		return
	}
	pending := t.refusals
	t.refusals = nil
	for _, r := range pending {
		switch {
		case r.worker == responded:
		case t.now.Sub(r.at) <= refusalLifetime:
			t.recordProcessEnd(r.worker, r.incarnation)
		}
	}
}

// dropRefusalsOfOthers forgets the refusals of other workers than one that cannot be connected to
// either: the host may be cut off.
func (t *transition) dropRefusalsOfOthers(id ident.Target) {
	t.refusals = slices.DeleteFunc(slices.Clone(t.refusals), func(r refusal) bool { return r.worker != id })
}

// refusal is a connection that a worker's address refused.
type refusal struct {
	worker      ident.Target
	incarnation uint64
	at          time.Time
}

const (
	// refusalLifetime is how long a refusal waits for a response of another worker: longer than a
	// probe takes.
	refusalLifetime = time.Second
	// maxRefusals bounds the refusals that wait.
	maxRefusals = 16
)

// recordAnswer records that the worker's process is alive and, for a successful answer, that the
// request does not crash every worker that runs it.
func (t *transition) recordAnswer(c call, r outcome.Answered) {
	t.crashObserver = t.crashObserver.WithProcessAlive(c.target, c.incarnation, c.sentAt)
	if r.Status < serverError {
		t.recentAnswers = t.recentAnswers.With(c.content, t.now)
		t.crashList = t.crashList.WithAnswer(c.content, t.now)
	}
	if r.Status < clientError {
		t.recordPartAnswers(c)
	}
}
