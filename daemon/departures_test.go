// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
)

// TestWorkersThatLeaveAreAnswered guards against answers that are kept from a worker although another replica
// holds its report, or that are given to another worker.
func TestWorkersThatLeaveAreAnswered(t *testing.T) {
	var waits departureWaits
	first, again, other := waits.add("w1"), waits.add("w1"), waits.add("w2")
	waits.end("w1")
	for _, ch := range []chan struct{}{first, again} {
		_, open := <-ch
		require.False(t, open)
	}
	select {
	case <-other:
		require.Fail(t, "answered for another worker")
	default:
	}
	waits.end("w1")
	waits.end("w2")
	require.Empty(t, waits.waiting)
}

// TestReplicaAloneAnswersAtOnce guards against workers of a fleet with a single replica that wait for others.
func TestReplicaAloneAnswersAtOnce(t *testing.T) {
	d := replicaDaemon(t)
	begun := time.Now()
	d.loop.Heartbeat(host.DeregistrationReceived{Worker: "w1"})
	require.Less(t, time.Since(begun), host.MaxShareTime/2)
}
