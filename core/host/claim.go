// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// claim asks the replicated state for the right to run.
func (t *transition) claim(c call) {
	c.phase = phaseClaiming
	c.wake = earlier(c.req.Deadline, t.now.Add(claimTimeout))
	t.keepCall(c)
	t.counters.Claims++
	t.submit(catalog.Write{
		ID: "claim/" + string(c.req.ID), Actor: string(t.settings.ID),
		Command: catalog.ClaimRun{
			Key:     catalog.ClaimKey{Account: c.account.ID, Key: c.req.IdempotencyKey},
			Created: c.req.KeyCreated, Digest: c.req.Digest, Host: t.settings.ID, Request: c.req.ID,
		},
	}, c.wake)
}

// claimAnswered goes on with a call whose claim was decided.
func (t *transition) claimAnswered(id ident.Request, r catalog.Result, known bool) {
	c, ok := t.calls.Get(id)
	if !ok || c.phase != phaseClaiming {
		t.dropClaim(id, r, known)
		return
	}
	if !known {
		// Nothing was sent, and the claim, if it was taken, is given back.
		c.claimed = true
		t.finish(c, Verdict{
			Outcome: outcome.NotRun, Code: CodeClaimUnavailable, RetryAfter: retryAfter,
			Reason: "the right to run it once could not be had in time; this attempt did not run",
		})
		return
	}
	c.decided = true
	if r.Code == catalog.OK {
		c.claimed = true
		t.requestPermit(c)
		return
	}
	t.counters.ClaimsDenied++
	c.denied = deniedVerdict(r)
	if r.Code == catalog.ClaimTaken && r.Claim.Ended == outcome.Ran {
		t.fetchAnswer(c, r.Claim)
		return
	}
	t.finish(c, c.denied)
}

// fetchTimeout bounds the wait for the answer of an earlier request.
const fetchTimeout = time.Second

// fetchAnswer asks the host that ran the earlier request for its answer.
func (t *transition) fetchAnswer(c call, earlier catalog.Claim) {
	c.phase, c.wake = phaseFetching, t.now.Add(fetchTimeout)
	t.keepCall(c)
	t.send(earlier.Host, FetchAnswer{Request: earlier.Request, For: c.req.ID})
}

func (t *transition) answerOf(m AnswerOf) {
	c, ok := t.calls.Get(m.For)
	if !ok || c.phase != phaseFetching {
		return
	}
	v := c.denied
	v.Answer = m.Answer
	t.finish(c, v)
}

// deniedVerdict tells what is known of the earlier request under the same key.
func deniedVerdict(r catalog.Result) Verdict {
	v := Verdict{Outcome: outcome.Unknown, Reason: r.Reason, Claim: &r.Claim}
	switch r.Code {
	case catalog.ClaimTaken:
		v.Code, v.Reason = CodeAlreadyRunning, "a request with this key has begun and its end is not known"
		if r.Claim.Ended == outcome.Ran {
			v.Outcome, v.Code, v.Reason = outcome.Ran, CodeAlreadyRan, "a request with this key has run"
		}
	case catalog.KeyExpired:
		// An earlier attempt under this key may have run and been forgotten.
		v.Code, v.Claim = CodeKeyExpired, nil
	case catalog.KeyReused:
		v.Outcome, v.Code = outcome.NotRun, CodeKeyReused
	default:
		v.Outcome, v.Code, v.Claim = outcome.NotRun, CodeKeyInvalid, nil
	}
	return v
}

// dropClaim gives back a claim whose caller left before it was granted.
func (t *transition) dropClaim(id ident.Request, r catalog.Result, known bool) {
	if known && r.Code == catalog.OK && r.Claim.Request == id {
		t.submitEnd(r.Claim.Key, id, outcome.NotRun)
	}
}

func (t *transition) endClaim(c call, k outcome.Kind) {
	t.submitEnd(catalog.ClaimKey{Account: c.account.ID, Key: c.req.IdempotencyKey}, c.req.ID, k)
}

func (t *transition) submitEnd(key catalog.ClaimKey, id ident.Request, k outcome.Kind) {
	t.submit(catalog.Write{
		ID: "end/" + string(id), Actor: string(t.settings.ID),
		Command: catalog.EndClaim{Key: key, Request: id, Outcome: k},
	}, t.now.Add(endClaimTime))
}

// endClaimTime is how long the end of a claim is sent again until answered.
const endClaimTime = time.Minute
