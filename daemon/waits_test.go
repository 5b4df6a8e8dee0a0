// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

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
