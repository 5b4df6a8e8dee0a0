// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// captureMessages keeps the messages from one host, or to one, in transit and returns them for
// delivery by the test. An empty name matches any host.
func (f *seededFleet) captureMessages(from, to ident.Host) *[]seededPacket {
	kept := &[]seededPacket{}
	f.delay = func(p seededPacket) time.Duration {
		if (from == "" || p.from == from) && (to == "" || p.to == to) {
			*kept = append(*kept, p)
			return time.Hour
		}
		return 0
	}
	return kept
}

// TestLateReplyToEarlierProcessConfirmsNothing restarts an entry host while replies that
// confirm table 1 are in transit. The new process must not match them to its own polls, or it
// would serve by an outdated table.
func TestLateReplyToEarlierProcessConfirmsNothing(t *testing.T) {
	f := newSeededFleet(t, 3, 2)
	f.run(5 * time.Second)
	require.True(t, f.putTable(f.leader(), f.table(1, "old"), time.Second))
	f.sendHeartbeat(replicaName(1), "w1", registry.Ready, 1)
	f.run(time.Second)
	f.stop(entryName(0))
	f.start(entryName(0))
	late := f.captureMessages("", entryName(0))
	f.run(4 * time.Second)
	f.stop(entryName(0))
	f.start(entryName(0))
	require.NotEmpty(t, *late)
	kept := *late
	f.runUntilAcked(t, f.submitTable(f.leader(), f.table(2, "new")), 5*time.Second)
	for range 80 {
		f.run(seededStep)
		for _, p := range kept {
			f.reduce(p.to, host.MessageReceived{From: p.from, Message: p.message})
		}
		_, served := f.sendRequest(entryName(0), "/x/1", "old").(requests.Dispatch)
		require.False(t, served, "confirmed by a reply to the earlier process")
	}
}

// TestLatePollOfEarlierProcessIsIgnored restarts an entry host while its polls are in transit.
// When they arrive after polls of the new process, they must not change what a replica knows of
// the host.
func TestLatePollOfEarlierProcessIsIgnored(t *testing.T) {
	f := newSeededFleet(t, 3, 2)
	f.run(5 * time.Second)
	late := f.captureMessages(entryName(0), "")
	f.run(time.Second)
	// A fallback peer that the new process has not polled cannot know of it.
	kept := slices.DeleteFunc(*late, func(p seededPacket) bool { return f.disks[p.to] == nil })
	require.NotEmpty(t, kept)
	f.stop(entryName(0))
	f.delay = nil
	f.start(entryName(0))
	require.True(t, f.putTable(f.leader(), f.table(1, "k"), 3*time.Second))
	f.run(time.Second)
	f.onDeliver = func(p seededPacket) {
		a, ok := p.message.(host.PollReply)
		if ok && p.to == entryName(0) {
			require.Empty(t, a.Gateway, "sent a table that the new process already holds")
		}
	}
	for _, p := range kept {
		f.reduce(p.to, host.MessageReceived{From: p.from, Message: p.message})
	}
	f.run(500 * time.Millisecond)
}
