// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// testRouter runs a host that serves a plain service with at-most-once routes.
type testRouter struct {
	t   *testing.T
	now time.Time
	s   host.State
	out []host.Effect
}

func newRouter(t *testing.T) *testRouter { return newRouterWithConfig(t) }

// newRouterWithConfig returns a testRouter whose configuration has additional entries.
func newRouterWithConfig(t *testing.T, more ...config.Change) *testRouter {
	var cfg config.Config
	for _, ch := range append([]config.Change{
		config.PutService{Service: config.Service{ID: "floor", Kind: config.KindPlain, OnceRoutes: []string{"/once"}}},
		config.PutTarget{Target: config.Target{ID: "w1", Service: "floor", Zone: "z0", Address: "127.0.0.1:1", Slots: 4}},
		config.PutTarget{Target: config.Target{ID: "w2", Service: "floor", Zone: "z0", Address: "127.0.0.1:2", Slots: 4}},
		config.PutAccount{Account: config.Account{ID: "a", KeyHash: keyHashOf("a"), MaxInFlight: 2}},
		config.PutHost{Host: config.Host{ID: "h", Zone: "z0", Address: "127.0.0.1:3", Serves: true}},
	}, more...) {
		cfg = mustApply(cfg, ch)
	}
	r := &testRouter{t: t, now: time.Unix(1_000_000, 0)}
	r.s = host.New(host.Settings{ID: "h", Zone: "z0", Serves: true, Incarnation: 1}, 1, r.now)
	r.reduce(host.MessageReceived{From: "state", Message: host.WholeConfig{Leader: "state", Fresh: true, Document: cfg.Document()}})
	return r
}

func (r *testRouter) reduce(ev host.Event) { r.s, r.out = host.Reduce(r.s, ev, r.now) }

func (r *testRouter) arrive(id ident.Request, path, key string) {
	r.reduce(host.RequestArrived{Request: host.Request{
		ID: id, KeyHash: keyHashOf("a"), Service: "floor", Path: path, IdempotencyKey: key, KeyCreated: r.now, Deadline: r.now.Add(time.Minute),
	}})
}

// effect returns the first effect of a type, and whether there is one.
func effect[E host.Effect](r *testRouter) (E, bool) {
	for _, e := range r.out {
		if e, ok := e.(E); ok {
			return e, true
		}
	}
	var none E
	return none, false
}

func (r *testRouter) answerClaim(id string, code catalog.Code, claim catalog.Claim) {
	claim.Request = ident.Request(id)
	r.reduce(host.MessageReceived{From: "state", Message: host.WriteAnswered{ID: "claim/" + id, Result: catalog.Result{Code: code, Claim: claim}}})
}

func (r *testRouter) verdict() host.Verdict {
	f, ok := effect[host.Finish](r)
	require.True(r.t, ok)
	return f.Verdict
}

// claimOutcome returns the outcome with which the claim was ended, or "" if it was not.
func (r *testRouter) claimOutcome() outcome.Kind {
	for _, e := range r.out {
		if s, ok := e.(host.Send); ok {
			if w, ok := s.Message.(host.ForwardWrite); ok && strings.HasPrefix(w.ID, "end/") {
				write, err := catalog.DecodeWrite(w.Packed)
				require.NoError(r.t, err)
				return write.Command.(catalog.EndClaim).Outcome
			}
		}
	}
	return ""
}

// TestUnclaimedRequestDoesNotRun guards against running an at-most-once request whose claim was
// not granted in time.
func TestUnclaimedRequestDoesNotRun(t *testing.T) {
	r := newRouter(t)
	r.arrive("r1", "/once", "k")
	_, sent := effect[host.Dispatch](r)
	require.False(t, sent, "sent before its claim was granted")
	for range 100 {
		r.now = r.now.Add(tickInterval)
		r.reduce(host.Tick{})
		if f, ok := effect[host.Finish](r); ok {
			require.Equal(t, outcome.Unknown, f.Verdict.Outcome, "an earlier attempt may have run elsewhere")
			require.Equal(t, outcome.NotRun, r.claimOutcome(), "this attempt did not run, so a resend may")
			r.answerClaim("r1", catalog.OK, catalog.Claim{})
			_, sent = effect[host.Dispatch](r)
			require.False(t, sent, "a late grant must not start the request")
			return
		}
	}
	t.Fatal("never finished")
}

// TestAtMostOnceIsRetriedOnlyIfNotRun guards against sending an at-most-once request again after an
// attempt that may have run.
func TestAtMostOnceIsRetriedOnlyIfNotRun(t *testing.T) {
	r := newRouter(t)
	r.arrive("r1", "/once", "k")
	r.answerClaim("r1", catalog.OK, catalog.Claim{})
	first, ok := effect[host.Dispatch](r)
	require.True(t, ok)
	require.True(t, first.AtMostOnce)
	r.reduce(host.AttemptEnded{Request: "r1", Attempt: 1, Result: outcome.Declined{Reason: "busy"}})
	second, ok := effect[host.Dispatch](r)
	require.True(t, ok, "a declined attempt did not run")
	require.NotEqual(t, first.Target.ID, second.Target.ID)
	r.reduce(host.AttemptEnded{Request: "r1", Attempt: 1, Result: outcome.Answered{}})
	require.Empty(t, r.out, "late result of the first attempt must be ignored")
	r.reduce(host.AttemptEnded{Request: "r1", Attempt: 2, Result: outcome.Interrupted{Reason: "cut"}})
	require.Equal(t, outcome.Unknown, r.verdict().Outcome)
	require.Equal(t, outcome.Unknown, r.claimOutcome())
}

// TestClaimOfAbandonedRequestIsEnded guards against a claim that stays open if its caller
// disconnects before it is granted.
func TestClaimOfAbandonedRequestIsEnded(t *testing.T) {
	r := newRouter(t)
	r.arrive("r1", "/once", "k")
	r.reduce(host.AttemptEnded{Request: "r1", Result: outcome.Abandoned{}})
	r.answerClaim("r1", catalog.OK, catalog.Claim{Key: catalog.ClaimKey{Account: "a", Key: "k"}})
	_, sent := effect[host.Dispatch](r)
	require.False(t, sent)
	require.Equal(t, outcome.NotRun, r.claimOutcome())
}

// TestRefusalWithKeyIsNotRunOnlyAfterClaim guards against reporting a refused request as not run
// while an earlier attempt with its idempotency key may have run.
func TestRefusalWithKeyIsNotRunOnlyAfterClaim(t *testing.T) {
	r := newRouter(t)
	r.arrive("r1", "/free", "")
	r.arrive("r2", "/free", "")
	r.arrive("r3", "/free", "")
	require.Equal(t, outcome.NotRun, r.verdict().Outcome, "over the limit, without a key")
	r.arrive("r4", "/once", "k")
	require.Equal(t, host.CodeLimitExceeded, r.verdict().Code)
	require.Equal(t, outcome.Unknown, r.verdict().Outcome)
	r.reduce(host.AttemptEnded{Request: "r1", Attempt: 1, Result: outcome.Answered{}})
	r.arrive("r5", "/once", "k")
	r.answerClaim("r5", catalog.ClaimTaken, catalog.Claim{Ended: outcome.Ran, Host: "other"})
	_, finished := effect[host.Finish](r)
	require.False(t, finished, "the earlier answer must be fetched first")
	r.reduce(host.MessageReceived{From: "other", Message: host.AnswerOf{For: "r5", Answer: &host.Answer{Status: 200, Body: []byte("first")}}})
	require.Equal(t, outcome.Ran, r.verdict().Outcome)
	require.Equal(t, []byte("first"), r.verdict().Answer.Body)
	r.arrive("r7", "/once", "k")
	r.answerClaim("r7", catalog.ClaimTaken, catalog.Claim{Ended: outcome.Ran, Host: "other"})
	r.now = r.now.Add(2 * time.Second)
	r.reduce(host.Tick{})
	require.Equal(t, host.CodeAlreadyRan, r.verdict().Code, "the other host does not answer")
	require.Equal(t, outcome.Ran, r.verdict().Outcome)
	r.arrive("r6", "/once", "k2")
	r.answerClaim("r6", catalog.KeyReused, catalog.Claim{})
	require.Equal(t, outcome.NotRun, r.verdict().Outcome)
}
