// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/requests"
)

// TestTimesFitTogether holds what the comments of the constants say of each other.
func TestTimesFitTogether(t *testing.T) {
	const heartbeat = 1200 * time.Millisecond
	require.Equal(t, WorkerSilence(heartbeat), defaultWorkerSilence)
	require.Less(t, relayInterval+relayReplicaTimeout+heartbeat, defaultWorkerSilence)
	require.Greater(t, relayReplicaTimeout, maxPollInterval)
	require.Greater(t, replicaTimeout, 2*maxPollInterval)
	require.Greater(t, clientLifetime, 2*maxPollInterval)
	require.Greater(t, clientLifetime, groupReportInterval+maxPollInterval)
	require.Equal(t, hubTimeout, 4*minPollInterval)
	require.Greater(t, fallbackAfter, leaderTimeoutIntervals*minPollInterval)
	require.Equal(t, requests.DefaultKeyLease, 2*maxLeaderWait)
	require.Less(t, balancerNotice, requests.DefaultKeyLease)
}

func TestSeededFleetsElectSooner(t *testing.T) {
	o := SeededRaft(raft.Options{})
	require.Equal(t, raft.Options{Election: seededElection, Heartbeat: seededHeartbeat}, o)
	require.Equal(t, raft.Options{Election: time.Minute}, SeededRaft(raft.Options{Election: time.Minute}))
	require.Greater(t, StartTime(), 2*o.Election)
	require.Greater(t, o.Election, 4*o.Heartbeat)
}
