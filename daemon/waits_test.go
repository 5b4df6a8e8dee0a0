// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/common/clock"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/requests"
)

// TestWaitingRequestsGetTheirDecisions guards against a decision on a waiting request that goes to the caller whose
// event yielded it: also a pause before a worker that has no room.
func TestWaitingRequestsGetTheirDecisions(t *testing.T) {
	l := replicaDaemon(t).loop
	for _, d := range []requests.Decision{
		requests.Dispatch{Request: "a"}, requests.Pause{Request: "a"}, requests.Finish{Request: "a"},
	} {
		require.False(t, l.toWaiting(requests.Wait{Request: "a"}))
		require.True(t, l.toWaiting(d), "%T", d)
		require.Equal(t, d, <-l.waits["a"])
	}
	require.False(t, l.toWaiting(requests.Pause{Request: "b"}))
}

// TestSecondRequestUnderAnIDIsRefused guards against a request that gets the answer of one that waits under the same
// id, and against one that is refused in place of the other.
func TestSecondRequestUnderAnIDIsRefused(t *testing.T) {
	l := startingHost()
	arrived := requests.Arrived{Request: requests.Request{ID: "a", Host: "a.example", Path: "/x/", Deadline: l.now().Add(time.Minute)}}
	require.Equal(t, []requests.Decision{requests.Wait{Request: "a"}}, l.Decide(arrived))
	second := l.Decide(arrived)
	require.Len(t, second, 1)
	refused, ok := second[0].(requests.Finish)
	require.True(t, ok)
	require.Equal(t, requests.CodeDuplicate, refused.Verdict.Code)
	require.Empty(t, l.waits["a"], "the first one waits on")
}

// startingHost returns the event loop of an entry host that has just started, at which requests wait.
func startingHost() *loop {
	settings := host.Settings{
		ID: "127.77.0.1:7139", Seeds: []ident.Host{"127.77.0.2:7139"}, Serves: true,
		Requests: requests.Settings{StartupTimeout: time.Minute},
	}
	return newLoop(host.New(settings, 1, clock.Now()), logr.Discard(), nil, nil)
}
