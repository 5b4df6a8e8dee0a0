// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/raft"
)

const (
	// seededElection and seededHeartbeat are the Raft election timeout and heartbeat interval
	// of a seeded fleet. They are shorter than the defaults because entry hosts get no
	// confirmations, and refuse requests with a key, while an election lasts.
	seededElection  = 900 * time.Millisecond
	seededHeartbeat = 200 * time.Millisecond
	// missedHeartbeats is how many heartbeats a worker may miss before it counts as silent.
	missedHeartbeats = 5
	// firstPoll is the time from a leader's election until an entry host learns of it: one
	// minPollInterval, and two thirds of one for the reply.
	firstPoll = 500 * time.Millisecond
)

// SeededRaftOptions returns o with the election timeout and heartbeat interval of a seeded
// fleet, unless o already sets an election timeout.
func SeededRaftOptions(o raft.Options) raft.Options {
	if o.Election == 0 {
		o.Election, o.Heartbeat = seededElection, seededHeartbeat
	}
	return o
}

// MaxStartupTime returns how long an entry host may take until it can serve when all replicas
// start at the same time: the wait of a restarted replica, the longest randomized election
// timeout and one poll of the leader.
func MaxStartupTime() time.Duration { return 2*seededElection + firstPoll }

// WorkerTimeout returns how long a worker with the given heartbeat interval may be silent.
func WorkerTimeout(heartbeat time.Duration) time.Duration { return missedHeartbeats * heartbeat }

// timeOfDay returns the wall clock time, for values that outlive the process or are compared
// with times named by callers. Unlike t.now it excludes suspensions of the machine, and it
// may jump when the clock is set.
func (t *transition) timeOfDay() time.Time { return t.now.Add(-t.suspended) }
