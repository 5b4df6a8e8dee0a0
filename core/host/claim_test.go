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

// router is one host that serves a plain service whose calls run once.
type router struct {
	t   *testing.T
	now time.Time
	s   host.State
	out []host.Effect
}

func newRouter(t *testing.T) *router { return newRouterWith(t) }

// newRouterWith is newRouter with more in its configuration.
func newRouterWith(t *testing.T, more ...config.Change) *router {
	var cfg config.Config
	for _, ch := range append([]config.Change{
		config.PutService{Service: config.Service{ID: "floor", Kind: config.KindPlain, OnceRoutes: []string{"/once"}}},
		config.PutTarget{Target: config.Target{ID: "w1", Service: "floor", Zone: "z0", Address: "127.0.0.1:1", Slots: 4}},
		config.PutTarget{Target: config.Target{ID: "w2", Service: "floor", Zone: "z0", Address: "127.0.0.1:2", Slots: 4}},
		config.PutAccount{Account: config.Account{ID: "a", KeyHash: keyOf("a"), MaxInFlight: 2}},
		config.PutHost{Host: config.Host{ID: "h", Zone: "z0", Address: "127.0.0.1:3", Serves: true}},
	}, more...) {
		cfg = must(cfg, ch)
	}
	r := &router{t: t, now: time.Unix(1_000_000, 0)}
	r.s = host.New(host.Settings{ID: "h", Zone: "z0", Serves: true, Incarnation: 1}, 1, r.now)
	r.feed(host.MessageReceived{From: "state", Message: host.WholeConfig{Leader: "state", Fresh: true, Document: cfg.Document()}})
	return r
}

func (r *router) feed(ev host.Event) { r.s, r.out = host.Reduce(r.s, ev, r.now) }

func (r *router) arrive(id ident.Request, path, key string) {
	r.feed(host.RequestArrived{Request: host.Request{
		ID: id, KeyHash: keyOf("a"), Service: "floor", Path: path, IdempotencyKey: key, KeyCreated: r.now, Deadline: r.now.Add(time.Minute),
	}})
}

// effect returns the first effect of a kind, or nothing.
func effect[E host.Effect](r *router) (E, bool) {
	for _, e := range r.out {
		if e, ok := e.(E); ok {
			return e, true
		}
	}
	var none E
	return none, false
}

func (r *router) claimed(id string, code catalog.Code, claim catalog.Claim) {
	claim.Request = ident.Request(id)
	r.feed(host.MessageReceived{From: "state", Message: host.WriteAnswered{ID: "claim/" + id, Result: catalog.Result{Code: code, Claim: claim}}})
}

func (r *router) verdict() host.Verdict {
	f, ok := effect[host.Finish](r)
	require.True(r.t, ok)
	return f.Verdict
}

// ended returns how the claim was given back.
func (r *router) ended() outcome.Kind {
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

func TestNoClaimNoRun(t *testing.T) {
	r := newRouter(t)
	r.arrive("r1", "/once", "k")
	_, sent := effect[host.Dispatch](r)
	require.False(t, sent, "not before the claim")
	for range 100 {
		r.now = r.now.Add(tickTime)
		r.feed(host.Tick{})
		if f, ok := effect[host.Finish](r); ok {
			require.Equal(t, outcome.Unknown, f.Verdict.Outcome, "an earlier attempt may have run elsewhere")
			require.Equal(t, outcome.NotRun, r.ended(), "but this one did not, so a resend may")
			r.claimed("r1", catalog.OK, catalog.Claim{})
			_, sent = effect[host.Dispatch](r)
			require.False(t, sent, "a late grant runs nothing")
			return
		}
	}
	t.Fatal("never finished")
}

func TestOnceIsTriedAgainOnlyWhereItDidNotRun(t *testing.T) {
	r := newRouter(t)
	r.arrive("r1", "/once", "k")
	r.claimed("r1", catalog.OK, catalog.Claim{})
	first, ok := effect[host.Dispatch](r)
	require.True(t, ok)
	require.True(t, first.AtMostOnce)
	r.feed(host.AttemptEnded{Request: "r1", Attempt: 1, Result: outcome.Declined{Reason: "busy"}})
	second, ok := effect[host.Dispatch](r)
	require.True(t, ok, "declined means that it did not run")
	require.NotEqual(t, first.Target.ID, second.Target.ID)
	r.feed(host.AttemptEnded{Request: "r1", Attempt: 1, Result: outcome.Answered{}})
	require.Empty(t, r.out, "a late result of the first try")
	r.feed(host.AttemptEnded{Request: "r1", Attempt: 2, Result: outcome.Interrupted{Reason: "cut"}})
	require.Equal(t, outcome.Unknown, r.verdict().Outcome)
	require.Equal(t, outcome.Unknown, r.ended())
}

func TestClaimOfACallerThatLeftIsGivenBack(t *testing.T) {
	r := newRouter(t)
	r.arrive("r1", "/once", "k")
	r.feed(host.AttemptEnded{Request: "r1", Result: outcome.Abandoned{}})
	r.claimed("r1", catalog.OK, catalog.Claim{Key: catalog.ClaimKey{Account: "a", Key: "k"}})
	_, sent := effect[host.Dispatch](r)
	require.False(t, sent)
	require.Equal(t, outcome.NotRun, r.ended())
}

func TestRefusalUnderAKeyIsNotRunOnlyWhenDecided(t *testing.T) {
	r := newRouter(t)
	r.arrive("r1", "/free", "")
	r.arrive("r2", "/free", "")
	r.arrive("r3", "/free", "")
	require.Equal(t, outcome.NotRun, r.verdict().Outcome, "over the limit, no key")
	r.arrive("r4", "/once", "k")
	require.Equal(t, host.CodeLimitExceeded, r.verdict().Code)
	require.Equal(t, outcome.Unknown, r.verdict().Outcome)
	r.feed(host.AttemptEnded{Request: "r1", Attempt: 1, Result: outcome.Answered{}})
	r.arrive("r5", "/once", "k")
	r.claimed("r5", catalog.ClaimTaken, catalog.Claim{Ended: outcome.Ran, Host: "other"})
	_, told := effect[host.Finish](r)
	require.False(t, told, "the answer of the first is asked for")
	r.feed(host.MessageReceived{From: "other", Message: host.AnswerOf{For: "r5", Answer: &host.Answer{Status: 200, Body: []byte("first")}}})
	require.Equal(t, outcome.Ran, r.verdict().Outcome)
	require.Equal(t, []byte("first"), r.verdict().Answer.Body)
	r.arrive("r7", "/once", "k")
	r.claimed("r7", catalog.ClaimTaken, catalog.Claim{Ended: outcome.Ran, Host: "other"})
	r.now = r.now.Add(2 * time.Second)
	r.feed(host.Tick{})
	require.Equal(t, host.CodeAlreadyRan, r.verdict().Code, "the other host does not answer")
	require.Equal(t, outcome.Ran, r.verdict().Outcome)
	r.arrive("r6", "/once", "k2")
	r.claimed("r6", catalog.KeyReused, catalog.Claim{})
	require.Equal(t, outcome.NotRun, r.verdict().Outcome)
}
