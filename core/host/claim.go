// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// submitClaim submits a claim for the call's idempotency key to the replicated state.
func (t *transition) submitClaim(c call) {
	c.phase = phaseClaiming
	c.timerAt = earlierTime(c.request.Deadline, t.now.Add(claimTimeout))
	t.storeCall(c)
	t.counters.Claims++
	t.submit(catalog.Write{
		ID: "claim/" + string(c.request.ID), Actor: string(t.settings.ID),
		Command: catalog.ClaimRun{
			Key:     catalog.ClaimKey{Account: c.account.ID, Key: c.request.IdempotencyKey},
			Created: c.request.KeyCreated, Digest: c.request.Digest, Host: t.settings.ID, Request: c.request.ID,
		},
	}, c.timerAt)
}

// handleClaimResult continues a call after the result of its claim. If known is false, the claim
// may or may not have been granted.
func (t *transition) handleClaimResult(id ident.Request, r catalog.Result, known bool) {
	c, ok := t.calls.Get(id)
	if !ok || c.phase != phaseClaiming {
		t.releaseAbandonedClaim(id, r, known)
		return
	}
	if !known {
		// Nothing was sent to a target. finishCall ends the claim in case it was granted.
		c.claimed = true
		t.finishCall(c, Verdict{
			Outcome: outcome.NotRun, Code: CodeClaimUnavailable, RetryAfter: defaultRetryAfter,
			Reason: "its claim was not decided in time; this attempt did not run",
		})
		return
	}
	c.claimDecided = true
	if r.Code == catalog.OK {
		c.claimed = true
		t.requestPermit(c)
		return
	}
	t.counters.ClaimsDenied++
	c.denial = deniedVerdict(r)
	if r.Code == catalog.ClaimTaken && r.Claim.Ended == outcome.Ran {
		t.fetchEarlierAnswer(c, r.Claim)
		return
	}
	t.finishCall(c, c.denial)
}

// fetchAnswerTimeout bounds the wait for the stored answer of an earlier request.
const fetchAnswerTimeout = time.Second

// fetchEarlierAnswer requests the stored answer from the host that ran the earlier request.
func (t *transition) fetchEarlierAnswer(c call, earlier catalog.Claim) {
	c.phase, c.timerAt = phaseFetchingAnswer, t.now.Add(fetchAnswerTimeout)
	t.storeCall(c)
	t.send(earlier.Host, FetchAnswer{Request: earlier.Request, For: c.request.ID})
}

// handleAnswerOf ends a call that waits for the stored answer of an earlier request. The verdict
// stays the denial, with that answer attached if it was found.
func (t *transition) handleAnswerOf(m AnswerOf) {
	c, ok := t.calls.Get(m.For)
	if !ok || c.phase != phaseFetchingAnswer {
		return
	}
	v := c.denial
	v.Answer = m.Answer
	t.finishCall(c, v)
}

// deniedVerdict returns the verdict of a call whose claim was denied, with what is known of the
// earlier request under the same key.
func deniedVerdict(r catalog.Result) Verdict {
	v := Verdict{Outcome: outcome.Unknown, Reason: r.Reason, Claim: &r.Claim}
	switch r.Code {
	case catalog.ClaimTaken:
		v.Code, v.Reason = CodeAlreadyRunning, "a request with this key has started and its outcome is unknown"
		if r.Claim.Ended == outcome.Ran {
			v.Outcome, v.Code, v.Reason = outcome.Ran, CodeAlreadyRan, "a request with this key has already run"
		}
	case catalog.KeyExpired:
		// An earlier attempt under this key may have run; its claim has expired.
		v.Code, v.Claim = CodeKeyExpired, nil
	case catalog.KeyReused:
		v.Outcome, v.Code = outcome.NotRun, CodeKeyReused
	default:
		v.Outcome, v.Code, v.Claim = outcome.NotRun, CodeKeyInvalid, nil
	}
	return v
}

// releaseAbandonedClaim ends a claim that was granted after its call had finished.
func (t *transition) releaseAbandonedClaim(id ident.Request, r catalog.Result, known bool) {
	if known && r.Code == catalog.OK && r.Claim.Request == id {
		t.submitClaimEnd(r.Claim.Key, id, outcome.NotRun)
	}
}

func (t *transition) endClaim(c call, k outcome.Kind) {
	t.submitClaimEnd(catalog.ClaimKey{Account: c.account.ID, Key: c.request.IdempotencyKey}, c.request.ID, k)
}

func (t *transition) submitClaimEnd(key catalog.ClaimKey, id ident.Request, k outcome.Kind) {
	t.submit(catalog.Write{
		ID: "end/" + string(id), Actor: string(t.settings.ID),
		Command: catalog.EndClaim{Key: key, Request: id, Outcome: k},
	}, t.now.Add(endClaimTimeout))
}

// endClaimTimeout is how long the write that ends a claim is retried.
const endClaimTimeout = time.Minute
