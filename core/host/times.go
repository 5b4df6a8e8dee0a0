// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/raft"
)

const (
	// seededElection and seededHeartbeat are the times of the replicated log in a seeded
	// fleet, whose entry hosts wait for confirmations: shorter than elsewhere, as an
	// election is an outage there. Chosen, not measured, after elections of 1.5 s and more
	// had refused requests with a key for as long; an election waits for four heartbeats.
	seededElection  = 900 * time.Millisecond
	seededHeartbeat = 200 * time.Millisecond
	// missedHeartbeats is how many heartbeats a worker may miss until it counts as silent.
	// Chosen, not measured.
	missedHeartbeats = 5
	// firstPoll is the time from a leader's election until a host knows of it: an interval
	// between polls, and two thirds of one for the reply.
	firstPoll = 500 * time.Millisecond
)

// SeededRaft returns the times of the replicated log in a seeded fleet, unless others are
// set.
func SeededRaft(o raft.Options) raft.Options {
	if o.Election == 0 {
		o.Election, o.Heartbeat = seededElection, seededHeartbeat
	}
	return o
}

// StartTime is how long an entry host may need until it can serve where replicas start at
// the same time: the wait of a restarted replica, the longest draw of an election, and a
// poll of the leader.
func StartTime() time.Duration { return 2*seededElection + firstPoll }

// WorkerSilence is how long a worker that sends heartbeats at an interval may be silent.
func WorkerSilence(heartbeat time.Duration) time.Duration { return missedHeartbeats * heartbeat }

// timeOfDay is the present time by the calendar, for what outlives the process or is compared
// with times that callers name. It may be set.
func (t *transition) timeOfDay() time.Time { return t.now.Add(-t.suspended) }
