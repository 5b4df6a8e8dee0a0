// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/canary"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/origins"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
)

// call is a request in progress.
type call struct {
	req     Request
	arrived time.Time
	route   config.Route
	pool    config.Pool
	account ident.Account
	content crashes.Content
	// parts are the contents of the parts that the prompt shares with others.
	parts []crashes.Content
	rank  int
	// attempt counts the attempts, reachedWorkers those by which the request may have reached a
	// worker.
	attempt        int
	reachedWorkers int
	// target is the worker of the current attempt; tried holds the workers of all attempts.
	target ident.Target
	tried  []ident.Target
	// incarnation is the worker's at the start of the attempt, sentAt the time of the attempt.
	incarnation uint64
	sentAt      time.Time
	// resends counts the resends to the same worker; pausing is set during the pause before one,
	// while the request is at no worker.
	resends int
	pausing bool
	// awaitsRoom is set if the pause ends with another choice of a worker.
	awaitsRoom bool
	// cacheSource is the first engine tried, if it answered without success; empty otherwise.
	cacheSource ident.Target
	// retryCharged is set if the retry budget has already been charged for the next attempt.
	retryCharged bool
	// drawn is set if the first attempt was drawn for a version being rolled out; side is the version
	// that the current attempt counts for, zero if no rollout runs.
	drawn bool
	side  canary.Side
	// version is that of the worker of the current attempt. origin is the service and version that began
	// the stream, once hasOrigin is set.
	version   ident.Version
	origin    origins.Origin
	hasOrigin bool
	// checksProcess is set if the current attempt depends on its worker's process (process.go), known by born when the
	// worker was chosen. openedAt is when the connection to it was opened, if that was reported.
	checksProcess bool
	born          registry.Incarnation
	openedAt      time.Time
	// originUnproved is set while the process that began the stream is not known: that to which a connection was
	// opened at originOpenedAt, for originAttempt.
	originUnproved bool
	originWorker   ident.Target
	originAttempt  int
	originOpenedAt time.Time
	// unknownProcess are the workers from which the call was withheld as their process is not known, for which it has
	// waited since processAwaitedSince. withheld counts such attempts.
	unknownProcess      []ident.Target
	processAwaitedSince time.Time
	withheld            int
	// path is that of the current attempt.
	path Path
	// combinedOutcome combines the outcomes of the attempts so far.
	combinedOutcome outcome.Kind
}

// dispatch sends the call to the best worker, or ends it with v if there is none.
func (t *transition) dispatch(c call, v Verdict) {
	if !t.mayDispatch(&c, v) {
		return
	}
	if c.attempt == 0 {
		c.drawn = t.isDrawn(c)
		t.recordPrefix(c)
	}
	picked, ok := t.chooseWorker(c)
	if !ok && picked.noRoom {
		t.growRoom(c.pool)
		if t.pauseForRoom(c) {
			return
		}
	}
	if !ok && t.awaitProcess(c) {
		return
	}
	if !ok {
		v = t.withoutWorker(c, v, picked)
	}
	if !ok || !t.now.Before(c.req.Deadline) {
		v.Outcome = c.combinedOutcome
		if v.Outcome == outcome.NotRun && v.RetryAfter == 0 {
			v.RetryAfter = retryAfter
		}
		t.finish(c.req.ID, v)
		return
	}
	c.target = picked.worker.ID
	c.tried = append(c.tried[:len(c.tried):len(c.tried)], c.target)
	t.counters.Dispatched++
	picked.kind = FirstAttempt
	if c.attempt > 0 {
		picked.kind = RetryAttempt
	}
	t.send(c, picked)
}

// mayDispatch reports whether a call may be sent to any worker now. If not, it ends or waits.
func (t *transition) mayDispatch(c *call, v Verdict) bool {
	if t.isBlockedForCrashes(*c) {
		t.finish(c.req.ID, t.crashVerdictFor(*c))
		return false
	}
	if c.originUnproved {
		t.proveOrigin(c)
	}
	if c.originUnproved {
		t.dispatchUnproved(*c)
		return false
	}
	if _, ok := t.pathFor(*c); !ok {
		v.Code, v.Reason = CodeNoWorker, "no host is known that reaches workers"
		t.finishWithoutPath(*c, v)
		return false
	}
	return true
}

// withoutWorker returns the verdict on a call for which no worker could be chosen, with the reason.
func (t *transition) withoutWorker(c call, v Verdict, picked choice) Verdict {
	switch {
	case t.hasOnlyDrainedWorkers(c):
		v.Code, v.Reason, v.RetryAfter = CodeDrained, "all workers of the service are in drained zones", retryAfterDrained
	case picked.onlyCold && c.attempt == 0:
		v.Code, v.Reason, v.RetryAfter = CodeOverloaded, "all workers of the service are cold and at their rate limit", retryAfterCold
	case picked.noRoom && c.attempt == 0:
		v.Code, v.Reason = CodeOverloaded, "all workers of the service are brittle and have no room"
	case t.shortestBackoff(c) > 0:
		return t.backoffVerdict(c, v)
	case c.hasOrigin:
		t.counters.VersionsUnavailable++
		v.Code, v.Reason, v.RetryAfter = CodeNoVersion, "no worker of the version that began the stream is available", retryAfterVersion
	}
	return v
}

// send starts the call's next attempt at the chosen worker.
func (t *transition) send(c call, picked choice) {
	c.attempt++
	c.incarnation, c.version, c.sentAt = picked.worker.incarnation, picked.worker.Version, t.now
	c.born = picked.worker.Born
	c.checksProcess, c.openedAt = t.checksProcess(c, picked.worker.Worker), time.Time{}
	c.path, _ = t.pathFor(c)
	if !c.path.Direct {
		t.counters.Tunneled++
	}
	c = t.withSide(c, &picked.worker)
	t.recordPartProbes(c)
	t.addInFlight(picked.worker.ID)
	rate, _ := t.sendRates.Get(c.pool.ID)
	t.sendRates = t.sendRates.With(c.pool.ID, rate.withRequest(t.now))
	t.recordColdSend(picked.worker, c.sentAt)
	t.calls = t.calls.With(c.req.ID, c)
	header, eventGap := c.responseTimeouts()
	inputs := t.decisionInputs(c, picked)
	inputs.Rollout = c.drawn && c.side.New
	t.countLoad(inputs)
	t.out = append(t.out, Dispatch{
		Request: c.req.ID, Attempt: c.attempt, Worker: picked.worker.Worker, Route: c.route,
		Account: c.account, Content: c.content, Rank: c.rank, Deadline: c.req.Deadline, Engine: c.pool.Engine,
		CacheFrom: picked.cacheFrom, HeaderTimeout: header, StallTimeout: eventGap,
		Path: c.path, DecidedAt: t.now, Inputs: inputs, ReportsConnection: t.reportsConnection(c, picked.worker.Worker),
	})
}

// decisionInputs collects the inputs of a decision for the log.
func (t *transition) decisionInputs(c call, picked choice) Inputs {
	in := Inputs{
		TableNumber: t.tableNumber, MeanLoad: picked.meanLoad, Position: picked.position, Candidates: picked.candidates,
		Load: t.load(&picked.worker, t.now), ConfigAge: neverConfirmed,
	}
	if !t.confirmed.IsZero() {
		in.ConfigAge = t.confirmed.Age(t.now)
	}
	if asOf := t.loadAsOf(&picked.worker); !asOf.IsZero() {
		in.LoadAge = t.now.Sub(asOf)
	}
	t.addLoadInputs(&in, &picked.worker)
	t.addPrefixInputs(&in, c)
	in.DeparturesAge = neverKnown
	if !t.departuresAsOf.IsZero() {
		in.DeparturesAge = t.now.Sub(t.departuresAsOf)
	}
	in.Kind, in.LastResort = picked.kind, picked.lastResort
	in.DeclinedAgo, in.BackoffLeft = neverDeclined, picked.worker.backoffLeft(t.now)
	if at := picked.worker.declinedAt; !at.IsZero() {
		in.DeclinedAgo = t.now.Sub(at)
	}
	return in
}

// countLoad counts attempts at engines by what is known of their load.
func (t *transition) countLoad(in Inputs) {
	if in.LoadAged {
		t.counters.LoadsAged++
	}
	if in.LoadBound > 0 && float64(in.Load) > in.LoadBound {
		t.counters.AboveBound++
	}
}

// addLoadInputs adds the bound on an engine's load, and what its load rests on.
func (t *transition) addLoadInputs(in *Inputs, w *worker) {
	if in.MeanLoad == 0 {
		return
	}
	in.LoadBound = t.loadBound(in.MeanLoad)
	in.LoadTold = w.selfReportedAt.After(t.reportedAsOf)
	in.LoadAged = t.hostCount > 1 && t.now.Sub(t.loadAsOf(w)) > reportTTL
}

// addPrefixInputs adds what is known of the prefix of a prompt.
func (t *transition) addPrefixInputs(in *Inputs, c call) {
	if in.LoadBound == 0 || len(c.req.Prompt.Parts) < 2 {
		return
	}
	in.Prefix, in.PrefixShare = prefixKey(c), t.prefixShare(c, 0)
	in.PrefixEngines = t.enginesForPrefix(c, in.Candidates, in.MeanLoad, in.LoadBound)
	t.addPrefixCounts(in, c)
}

// neverConfirmed is the logged age of a route table that was never confirmed.
const neverConfirmed = -time.Millisecond

// neverKnown is the logged age of departures and counts of prompts that were never known.
const neverKnown = -time.Millisecond

// neverDeclined is the logged age of the last decline of a worker that never declined.
const neverDeclined = -time.Millisecond

// finish ends a request.
func (t *transition) finish(id ident.Request, verdict Verdict) {
	if c, ok := t.calls.Get(id); ok {
		t.settleOrigin(c, verdict)
		t.recordDuration(c, verdict)
	}
	t.calls = t.calls.Without(id)
	if verdict.Code != CodeOK {
		t.counters.Refused++
	}
	if verdict.Outcome == outcome.Unknown {
		t.counters.Unknown++
	}
	t.out = append(t.out, Finish{Request: id, Verdict: verdict, Inputs: t.decisionInputs(call{}, choice{})})
}

// handleExpiry ends a request whose deadline has passed.
func (t *transition) handleExpiry(id ident.Request) {
	c, ok := t.calls.Get(id)
	if !ok {
		return
	}
	t.removeInFlight(c)
	t.keepUnproved(&c)
	t.finish(id, Verdict{
		Outcome: outcome.Combine(c.combinedOutcome, outcome.Unknown), Code: CodeDeadline, Reason: "the deadline has passed",
	})
}
