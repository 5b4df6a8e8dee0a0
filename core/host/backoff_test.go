// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// hostTarget is a pair of a host and a target.
type hostTarget struct {
	target ident.Target
	host   ident.Host
}

// TestListedTargetsInBackoffGetNoRequests guards against sending requests to targets during the
// backoff that they requested.
func TestListedTargetsInBackoffGetNoRequests(t *testing.T) {
	const backoff = 3 * time.Second
	f := newListedFleet(t, 3, 6)
	until := map[hostTarget]time.Time{}
	tooEarly, declined := 0, 0
	f.decline = func(target ident.Target, at ident.Host) time.Duration {
		p := hostTarget{target, at}
		if f.now.Before(until[p]) {
			tooEarly++
		}
		if target != "t1" && target != "t4" {
			return 0
		}
		declined++
		until[p] = f.now.Add(backoff)
		return backoff
	}
	for range 90 {
		for _, id := range f.order {
			f.arrive(id, "g", uint64(f.count))
		}
		f.advance(tickInterval)
	}
	f.advance(time.Second)
	require.Zero(t, tooEarly)
	require.Positive(t, declined)
	for id, v := range f.verdicts {
		require.Equal(t, outcome.Ran, v.Outcome, id)
	}
}

// TestRequestIsRefusedIfAllTargetsBackOff guards against requests that wait while all targets are
// in backoff. The refusal must advise when the first one is available.
func TestRequestIsRefusedIfAllTargetsBackOff(t *testing.T) {
	r := newRouter(t)
	decline := func(id ident.Request, attempt int, backoff time.Duration) {
		r.reduce(host.AttemptEnded{Request: id, Attempt: attempt, Result: outcome.Declined{Reason: "busy", RetryAfter: backoff}})
	}
	r.arrive("r1", "/x", "")
	decline("r1", 1, 4*time.Second)
	decline("r1", 2, 2*time.Second)
	v := r.verdict()
	require.Equal(t, outcome.NotRun, v.Outcome)
	require.Equal(t, 2*time.Second, v.RetryAfter)
	r.now = r.now.Add(500 * time.Millisecond)
	r.arrive("r2", "/x", "")
	_, sent := effect[host.Dispatch](r)
	require.False(t, sent)
	require.Equal(t, 1500*time.Millisecond, r.verdict().RetryAfter)
	r.now = r.now.Add(1500 * time.Millisecond)
	r.arrive("r3", "/x", "")
	_, sent = effect[host.Dispatch](r)
	require.True(t, sent)
}

// TestPermitsExcludeEnginesInBackoff guards against permits for an engine in backoff, and against
// requests that wait while all engines are.
func TestPermitsExcludeEnginesInBackoff(t *testing.T) {
	r := newRouterWithConfig(t,
		config.PutService{Service: config.Service{ID: "chat", Kind: config.KindEngine, Multiple: 4}},
		config.PutModel{Model: config.Model{ID: "m", Service: "chat"}},
		config.PutTarget{Target: config.Target{ID: "e1", Service: "chat", Zone: "z0", Address: "127.0.0.1:11", Slots: 8, Models: []ident.Model{"m"}}},
		config.PutTarget{Target: config.Target{ID: "e2", Service: "chat", Zone: "z0", Address: "127.0.0.1:12", Slots: 8, Models: []ident.Model{"m"}}},
	)
	ask := func(id ident.Request) (host.Dispatch, bool) {
		r.reduce(host.RequestArrived{Request: host.Request{ID: id, KeyHash: keyHashOf("a"), Model: "m", Work: 100, Deadline: r.now.Add(time.Minute)}})
		return effect[host.Dispatch](r)
	}
	first, ok := ask("r1")
	require.True(t, ok)
	r.reduce(host.AttemptEnded{Request: "r1", Attempt: 1, Result: outcome.Declined{Reason: "busy", RetryAfter: 3 * time.Second}})
	second, ok := effect[host.Dispatch](r)
	require.True(t, ok)
	require.NotEqual(t, first.Target.ID, second.Target.ID)
	r.reduce(host.AttemptEnded{Request: "r1", Attempt: 2, Result: outcome.Answered{Status: 200}})
	granted := r.s.Counters().Grants
	for _, id := range []ident.Request{"r2", "r3", "r4", "r5"} {
		d, ok := ask(id)
		require.True(t, ok)
		require.Equal(t, second.Target.ID, d.Target.ID)
		r.reduce(host.AttemptEnded{Request: id, Attempt: 1, Result: outcome.Answered{Status: 200}})
	}
	require.Equal(t, granted+4, r.s.Counters().Grants, "permits were granted for an engine in backoff")
	r.now = r.now.Add(3 * time.Second)
	r.reduce(host.Tick{})
	served := map[ident.Target]bool{}
	for _, id := range []ident.Request{"r6", "r7", "r8", "r9"} {
		if d, ok := ask(id); ok {
			served[d.Target.ID] = true
		}
		r.reduce(host.AttemptEnded{Request: id, Attempt: 1, Result: outcome.Declined{Reason: "busy", RetryAfter: 2 * time.Second}})
		if d, ok := effect[host.Dispatch](r); ok {
			served[d.Target.ID] = true
			r.reduce(host.AttemptEnded{Request: id, Attempt: 2, Result: outcome.Declined{Reason: "busy", RetryAfter: 2 * time.Second}})
		}
		if len(served) == 2 {
			break
		}
	}
	require.Len(t, served, 2, "both engines must be used after the backoff")
	_, sent := ask("r10")
	require.False(t, sent)
	require.Equal(t, outcome.NotRun, r.verdict().Outcome)
	require.Positive(t, r.verdict().RetryAfter)
}
