// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/hubs"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/relay"
	"github.com/yardhall/yardhall/core/requests"
)

// TestTimeoutsAreConsistent checks the relations between timeouts that the comments of the
// constants state.
func TestTimeoutsAreConsistent(t *testing.T) {
	const heartbeat = 1200 * time.Millisecond
	require.Equal(t, WorkerTimeout(heartbeat), defaultWorkerTimeout)
	require.Less(t, relay.ReportInterval+relay.ReplicaTimeout+heartbeat, defaultWorkerTimeout)
	require.Greater(t, relay.ReplicaTimeout, maxPollInterval)
	require.Greater(t, replicaTimeout, 2*maxPollInterval)
	require.Greater(t, clientLifetime, 2*maxPollInterval)
	require.Greater(t, clientLifetime, groupReportInterval+maxPollInterval)
	require.Equal(t, hubs.FailureTimeout, maxLeaderWait)
	require.Greater(t, fallbackAfter, leaderTimeoutIntervals*minPollInterval)
	require.Equal(t, requests.DefaultKeyLease, 2*maxLeaderWait)
	require.Less(t, balancerDelay, requests.DefaultKeyLease)
}

func TestSeededFleetsElectSooner(t *testing.T) {
	o := SeededRaftOptions(raft.Options{})
	require.Equal(t, raft.Options{Election: seededElectionTimeout, Heartbeat: seededHeartbeatInterval}, o)
	require.Equal(t, raft.Options{Election: time.Minute}, SeededRaftOptions(raft.Options{Election: time.Minute}))
	require.Greater(t, MaxStartupTime(), 2*o.Election)
	require.Greater(t, o.Election, 4*o.Heartbeat)
}
