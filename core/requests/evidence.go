// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/canary"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/table"
)

// While a rollout runs, a host counts the first attempts of the service's requests and how the
// attempts at both versions end (package canary). An attempt counts for the rollout that was running
// when it was sent, and for the version that its worker was registered with then.
//
//	how the attempt ended     counted as
//	answered                  an answer; failed with status 500 and above
//	interrupted               a failed answer, once per worker and second; not at all if the caller
//	                          left, the deadline passed, or the worker's zone is unreachable
//	declined, never sent      nothing
//	abandoned                 nothing
//
// An attempt at an engine that was canceled before its answer began counts as nothing either: an
// engine with an empty cache may take that long to read a prompt.
//
// Inputs: how attempts ended, and the state of rollouts.

// brokenOffInterval is the time in which the answers of a worker that broke off count once, so that
// the end of one process does not count once for each of its requests.
const brokenOffInterval = time.Second

// TakeEvidence returns what was counted since the last call for the rollouts that are running.
func (s State) TakeEvidence() (State, canary.Evidence) {
	var running canary.Evidence
	for _, e := range s.rollouts.Entries {
		if e.Rollout.IsRunning() {
			running = running.Merge(s.evidence.Of(e.Rollout.Order))
		}
	}
	s.evidence = canary.Evidence{}
	return s, running
}

// withoutEndedEvidence drops what was counted once no rollout is running.
func (s State) withoutEndedEvidence() State {
	if !s.rollouts.IsRunning() {
		s.evidence, s.brokenOffAt = canary.Evidence{}, table.Table[ident.Target, time.Time]{}
	}
	return s
}

// withSide records, before an attempt is sent to a worker, the version that it counts for, and counts
// the first attempt.
func (t *transition) withSide(c call, w *worker) call {
	c.side = canary.Side{}
	e, ok := t.rolloutOf(c.pool.ID)
	if !ok || !e.Rollout.IsRunning() {
		return c
	}
	c.side = canary.Side{Order: e.Rollout.Order, New: w.Version == e.Rollout.To}
	if c.attempt == 1 {
		t.evidence = t.evidence.WithRequest(c.side)
	}
	return c
}

// recordAnswerEvidence counts how an attempt ended.
func (t *transition) recordAnswerEvidence(c call, ev AttemptEnded) {
	e, ok := t.rolloutOf(c.pool.ID)
	if !ok || !e.Rollout.IsRunning() || c.side.Order != e.Rollout.Order {
		return
	}
	if answer, counts := t.answerEvidence(c, ev); counts {
		t.evidence = t.evidence.WithAnswer(c.side, answer)
	}
}

// answerEvidence returns what an ended attempt is counted as; counts is false if it is not counted.
func (t *transition) answerEvidence(c call, ev AttemptEnded) (answer canary.Answer, counts bool) {
	answer.Route = c.route.Name
	switch r := ev.Result.(type) {
	case outcome.Answered:
		answer.Failed, answer.Pace = r.Status >= serverError, r.Pace
		if c.pool.Engine && c.route.Kind != config.RouteStream {
			// The time to the header includes the reading of the prompt, which takes engines with an
			// empty cache longer.
			answer.Pace = 0
		}
		return answer, true
	case outcome.Interrupted:
		if ev.CallerWaiting && t.isWorkerFault(c) {
			t.brokenOffAt = t.brokenOffAt.With(c.target, t.now)
			answer.Failed = true
			return answer, true
		}
	case outcome.Declined, outcome.NeverSent, outcome.Abandoned:
	}
	return answer, false
}

// isWorkerFault reports whether an interrupted attempt is counted against its worker's version. At a host
// without contact, the partition or a peer may have broken it off.
func (t *transition) isWorkerFault(c call) bool {
	if !t.HasContact() || !t.now.Before(c.req.Deadline) || c.retryCharged && c.pool.Engine {
		return false
	}
	if w, ok := t.workers.Get(c.target); ok && !t.isZoneReachable(w.Zone) {
		return false
	}
	last, counted := t.brokenOffAt.Get(c.target)
	return !counted || t.now.Sub(last) >= brokenOffInterval
}
