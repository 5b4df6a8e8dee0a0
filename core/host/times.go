// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/raft"
)

const (
	// seededElectionTimeout and seededHeartbeatInterval are the Raft timing of a seeded fleet.
	// They are shorter than the defaults because entry hosts get no confirmations, and refuse
	// requests with a key, while an election lasts.
	seededElectionTimeout   = 900 * time.Millisecond
	seededHeartbeatInterval = 200 * time.Millisecond
	// maxMissedHeartbeats is how many heartbeats a worker may miss before it counts as silent.
	maxMissedHeartbeats = 5
	// firstPollTime is the time from a leader's election until an entry host learns of it: one
	// minPollInterval, and two thirds of one for the reply.
	firstPollTime = 500 * time.Millisecond
)

// SeededRaftOptions returns o with the election timeout and heartbeat interval of a seeded
// fleet, unless o already sets an election timeout.
func SeededRaftOptions(o raft.Options) raft.Options {
	if o.Election == 0 {
		o.Election, o.Heartbeat = seededElectionTimeout, seededHeartbeatInterval
	}
	return o
}

// MaxStartupTime returns how long an entry host may take until it can serve when all replicas
// start at the same time: the wait of a restarted replica, the longest randomized election
// timeout and one poll of the leader.
func MaxStartupTime() time.Duration { return 2*seededElectionTimeout + firstPollTime }

// WorkerTimeout returns how long a worker with the given heartbeat interval may be silent.
func WorkerTimeout(heartbeat time.Duration) time.Duration { return maxMissedHeartbeats * heartbeat }

// wallClock returns the calendar time, for values that outlive the process or are compared with
// times named by callers. t.now runs ahead of it by the time the machine was suspended. It may
// jump when the clock is set.
func (t *transition) wallClock() time.Time { return t.now.Add(-t.suspended) }
