// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/routing"
)

// In listed fleets a request is admitted (admit.go), claimed if it must run at most once
// (claim.go), granted a permit for a target (place.go), sent, and possibly retried (retry.go).
const (
	// permitTimeout is how long an owner may take to answer a permit request. After that this host
	// picks a target without a permit.
	permitTimeout = 250 * time.Millisecond
	// queuedPollInterval is the time between permit requests for a queued request, in case the
	// owner's grant was lost.
	queuedPollInterval = 2 * time.Second
	// claimTimeout bounds the wait for a claim: a leader election and a write.
	claimTimeout = 3 * time.Second
	// maxRedirects bounds the redirects of a request to other groups.
	maxRedirects = 2
	// defaultRequestTimeout applies if neither the caller nor the service sets a timeout.
	defaultRequestTimeout = 2 * time.Minute
	percent               = 100
)

// phase is the stage of a call.
type phase uint8

const (
	phaseClaiming phase = iota
	phaseRequestingPermit
	phaseQueued
	phaseRetryDelay
	phaseRunning
	phaseFetchingAnswer
)

// call is a caller's request in progress.
type call struct {
	request Request
	account config.Account
	class   config.Class
	service config.Service
	phase   phase
	// timerAt is when the timer of the phase expires; zero for none.
	timerAt time.Time
	group   routing.GroupID
	// owner granted the permit or is asked for it; empty after a pick without a permit.
	owner     ident.Host
	target    ident.Target
	attempt   int
	redirects int
	// permitRequests counts the permits requested; permit identifies the newest.
	permitRequests int
	permit         ident.PermitID
	// final is set if the request must not be redirected to another group.
	final        bool
	triedTargets []ident.Target
	// content identifies identical requests of an account. targetIncarnation is the incarnation of
	// the target's process known when the attempt was sent at sentAt.
	content           crashes.Content
	targetIncarnation uint64
	sentAt            time.Time
	// avoidGroups are groups in which a target was unreachable.
	avoidGroups []routing.GroupID
	// combinedOutcome combines the outcomes of all attempts so far.
	combinedOutcome outcome.Kind
	// claimed is set while this call may hold the claim of its key. claimDecided is set once the
	// result of the claim shows what earlier requests under the key did.
	claimed, claimDecided bool
	// denial is the verdict if the answer of the earlier request is not available.
	denial Verdict
}

func (t *transition) storeCall(c call) { t.calls = t.calls.With(c.request.ID, c) }

// handleRequestArrived admits a request and requests a claim or a permit for it.
func (t *transition) handleRequestArrived(r Request) {
	t.counters.Requests++
	t.retryBudget = min(maxRetryBudget, t.retryBudget+retryBudgetPerRequest)
	if r.Deadline.IsZero() {
		r.Deadline = t.now.Add(defaultRequestTimeout)
	}
	c := call{request: r, combinedOutcome: outcome.NotRun}
	if v, ok := t.admit(&c); !ok {
		t.answerCaller(c, v)
		return
	}
	c.content = callContent(c)
	if t.isRefusedForCrashes(c) {
		t.answerCaller(c, t.crashVerdict(c))
		return
	}
	t.addAccountInFlight(c.account.ID, 1)
	t.storeCall(c)
	if c.request.AtMostOnce && c.request.IdempotencyKey != "" {
		t.submitClaim(c)
		return
	}
	t.requestPermit(c)
}

// answerCaller ends a request with a verdict. Only a decided claim proves that no earlier attempt
// ran under an idempotency key.
func (t *transition) answerCaller(c call, v Verdict) {
	if c.request.IdempotencyKey != "" && !c.claimDecided && v.Outcome == outcome.NotRun {
		// This attempt did not run, but an earlier one under its key may have.
		v.Outcome = outcome.Unknown
	}
	t.countOutcome(v.Outcome)
	t.emit(Finish{Request: c.request.ID, Verdict: v})
}

func (t *transition) countOutcome(k outcome.Kind) {
	switch k {
	case outcome.Ran:
		t.counters.Ran++
	case outcome.NotRun:
		t.counters.NotRun++
	case outcome.Unknown:
		t.counters.Unknown++
	}
}

// finishCall ends an admitted call, releases its permit and ends its claim.
func (t *transition) finishCall(c call, v Verdict) {
	t.calls = t.calls.Without(c.request.ID)
	t.addAccountInFlight(c.account.ID, -1)
	t.releaseCall(c)
	if c.claimed {
		t.endClaim(c, c.combinedOutcome)
	}
	t.answerCaller(c, v)
}

// releaseCall releases the call's in-flight count and its permit or queue entry.
func (t *transition) releaseCall(c call) {
	if c.target != "" {
		t.addInFlight(c.target, -1)
	}
	if c.owner != "" {
		t.send(c.owner, ReleasePermit{Place: c.permit})
	}
}

func (t *transition) addInFlight(id ident.Target, n int) {
	count, _ := t.inFlight.Get(id)
	if count+n <= 0 {
		t.inFlight = t.inFlight.Without(id)
		return
	}
	t.inFlight = t.inFlight.With(id, count+n)
}

// dispatchCall sends an attempt to the target, unless the deadline has passed, the target has left
// the configuration, or the request is by then refused for crashes. It records the target's
// incarnation so that a crash is attributed to the process that ran the attempt.
func (t *transition) dispatchCall(c call, id ident.Target) {
	target, ok := t.config.Targets.Get(id)
	if !ok || !t.now.Before(c.request.Deadline) {
		t.finishCall(c, Verdict{Outcome: c.combinedOutcome, Code: CodeDeadlineExceeded, Reason: "the deadline passed before a target was found"})
		return
	}
	if t.isRefusedForCrashes(c) {
		t.finishCall(c, t.crashVerdict(c))
		return
	}
	h, _ := t.health.Get(id)
	c.targetIncarnation, c.sentAt = h.Boot, t.now
	c.phase, c.target = phaseRunning, id
	c.attempt++
	c.timerAt = time.Time{}
	c.triedTargets = append(c.triedTargets[:len(c.triedTargets):len(c.triedTargets)], id)
	t.addInFlight(id, 1)
	t.storeCall(c)
	t.emit(Dispatch{
		Request: c.request.ID, Attempt: c.attempt, Target: target,
		AtMostOnce: c.request.AtMostOnce, Rank: c.class.Rank, Deadline: c.request.Deadline,
	})
}

// tickCalls handles the calls whose timers have expired.
func (t *transition) tickCalls() {
	var due []call
	for _, c := range t.calls.All() {
		if !c.timerAt.IsZero() && !t.now.Before(c.timerAt) {
			due = append(due, c)
		}
	}
	for _, c := range due {
		t.handleTimer(c)
	}
}

// handleTimer continues a call whose timer has expired. If the group's owner has not answered, the
// call runs without a permit; a queued call repeats its request; a delayed retry starts. The
// deadline ends all of these. A call that waits for an earlier request's answer gets its denial
// without the answer.
func (t *transition) handleTimer(c call) {
	expired := !t.now.Before(c.request.Deadline)
	switch {
	case c.phase == phaseClaiming:
		// The deadline of the claim's write ends the phase.
	case c.phase == phaseFetchingAnswer:
		t.finishCall(c, c.denial)
	case expired:
		t.finishCall(c, Verdict{
			Outcome: c.combinedOutcome, Code: CodeDeadlineExceeded, RetryAfter: defaultRetryAfter, Reason: "no target became available before the deadline",
		})
	case c.phase == phaseRequestingPermit:
		// The permit request may still reach the owner.
		t.log(LogOwnerUnreachable, c.group.String(), string(c.owner))
		t.send(c.owner, ReleasePermit{Place: c.permit})
		t.pickWithoutPermit(c)
		t.suspectPeer(c.owner)
	case c.phase == phaseQueued:
		// The reply with the grant may have been lost.
		c.timerAt = earlierTime(c.request.Deadline, t.now.Add(queuedPollInterval))
		t.storeCall(c)
		t.sendPermitRequest(c)
	case c.phase == phaseRetryDelay:
		t.requestPermit(c)
	}
}
