// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// A request is admitted if a route matches its HTTP host and path, its key is valid or not needed, and
// its deadline has not passed. Whether a refusal is final depends on the lease: with a valid
// lease the table is the newest, so an unknown route or key is refused permanently; otherwise a
// newer table may differ, and the caller is sent to another host. Requests that need no key are
// also served without a valid lease, unless the table is known to be superseded.
//
// Inputs: the route table, its lease, the caller's key and deadline.

const (
	// retryAfter is the Retry-After advice to callers when the condition may clear soon.
	retryAfter = 300 * time.Millisecond
	// retryAfterElsewhere is the advice when another host can serve the request: just enough time
	// to open another connection.
	retryAfterElsewhere = 20 * time.Millisecond
)

// handleArrival refuses a request, queues it until this host has started, or admits and
// dispatches it.
func (t *transition) handleArrival(r Request) {
	t.counters.Requests++
	if t.calls.Has(r.ID) || t.waiting.Has(r.ID) {
		t.refuseDuplicate(r.ID)
		return
	}
	if t.refuseForStop(r) {
		return
	}
	if t.deferUntilStarted(r) || t.deferUntilResumed(r) {
		return
	}
	t.probeZones(r)
	t.admitAndDispatch(waitingRequest{request: r, arrived: t.now})
}

// admitAndDispatch refuses a request or sends it to its first worker.
func (t *transition) admitAndDispatch(w waitingRequest) {
	r := w.request
	if t.tableNumber == 0 {
		t.refuse(r.ID, CodeNotReady, "this host has no route table yet", retryAfter)
		return
	}
	c := call{req: r, arrived: w.arrived, combinedOutcome: outcome.NotRun}
	if !t.admit(&c) {
		return
	}
	if t.isBlockedForCrashes(c) {
		t.finish(r.ID, t.crashVerdictFor(c))
		return
	}
	if c.namesOrigin() && !t.pinToOrigin(&c, w) {
		return
	}
	t.creditRetries(c.pool.ID)
	t.dispatch(c, Verdict{Code: CodeNoWorker, Reason: "no worker is known"})
}

// admit resolves route, account, pool and deadline of a request. It reports false after refusing
// it.
func (t *transition) admit(c *call) bool {
	valid := t.LeaseValid(t.now)
	route, ok := t.routes.Route(c.req.Host, c.req.Path)
	if !ok {
		t.refuseIfLeaseValid(c.req.ID, valid, CodeNoRoute, "no route for host and path")
		return false
	}
	c.route, c.rank = route, route.Rank
	owner, known := t.routes.KeyOwner(c.req.KeyHash)
	if !known && !route.Public && t.routes.KeysRequired() {
		t.refuseIfLeaseValid(c.req.ID, valid, CodeBadKey, "the API key is not known")
		return false
	}
	needsLease := t.newerTableKnown || known && !route.Public
	if !valid && needsLease {
		t.refuseStale(c.req.ID)
		return false
	}
	if known {
		c.account = owner.Account
		if owner.Ranked {
			c.rank = owner.Rank
		}
	}
	if len(c.req.Digest) > 0 {
		c.content = crashes.ContentOf(string(c.account), c.req.Digest)
	}
	c.parts = contentsOfParts(c.req.Prompt)
	c.pool, _ = t.routes.Pool(pickPool(*c))
	return t.resolveDeadline(c)
}

// Rank returns the priority that a request has by the route table in force: that of its account, else that of its route.
// 0 is the highest.
func (s State) Rank(r Request) int {
	route, _ := s.routes.Route(r.Host, r.Path)
	if owner, known := s.routes.KeyOwner(r.KeyHash); known && owner.Ranked {
		return owner.Rank
	}
	return route.Rank
}

// resolveDeadline limits the request's deadline to the route's timeout. It reports false after
// refusing a request whose deadline has passed.
func (t *transition) resolveDeadline(c *call) bool {
	limit := t.now.Add(time.Duration(c.route.Timeout))
	if c.req.Deadline.IsZero() || c.req.Deadline.After(limit) {
		c.req.Deadline = limit
	}
	if !t.now.Before(c.req.Deadline) {
		t.refuse(c.req.ID, CodeDeadline, "the deadline has passed", 0)
		return false
	}
	return true
}

// pickPool picks one of the route's pools by weight, deterministically by the request's id.
func pickPool(c call) ident.Service {
	shares := c.route.Shares
	if len(shares) == 1 {
		return shares[0].Pool
	}
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	at := int(uint64(requestKey(c.req.ID)) % uint64(max(1, total))) //nolint:gosec // Below total, which is an int.
	for _, s := range shares {
		if at < s.Weight {
			return s.Pool
		}
		at -= s.Weight
	}
	return shares[0].Pool
}

// refuse ends a request that was sent to no worker. after is the Retry-After advice; 0 for none.
func (t *transition) refuse(id ident.Request, code Code, reason string, after time.Duration) {
	t.finish(id, Verdict{Outcome: outcome.NotRun, Code: code, Reason: reason, RetryAfter: after})
}

// refuseForOtherHost refuses a request that another host can likely serve.
func (t *transition) refuseForOtherHost(id ident.Request, code Code, reason string) {
	t.finish(id, Verdict{
		Outcome: outcome.NotRun, Code: code, Reason: reason, RetryAfter: retryAfterElsewhere, TryOtherHost: true,
	})
}

// refuseIfLeaseValid refuses a request permanently if the lease is valid, and as stale otherwise.
func (t *transition) refuseIfLeaseValid(id ident.Request, leaseValid bool, code Code, reason string) {
	if !leaseValid {
		t.refuseStale(id)
		return
	}
	t.refuse(id, code, reason, 0)
}

// refuseStale refuses a request because the route table was not confirmed in time.
func (t *transition) refuseStale(id ident.Request) {
	t.counters.Stale++
	t.refuseForOtherHost(id, CodeStale, "the configuration was not confirmed in time")
}

// refuseDuplicate ends a second request under an id in use; the first one continues.
func (t *transition) refuseDuplicate(id ident.Request) {
	t.counters.Refused++
	t.out = append(t.out, Finish{Request: id, Verdict: Verdict{
		Outcome: outcome.Unknown, Code: CodeDuplicate, Reason: "a request with this id is in progress",
	}})
}
