// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// delayed keeps the messages from one host, or to it, on their way until they are
// delivered by hand.
func (f *seededFleet) delayed(from, to ident.Host) *[]seededPacket {
	kept := &[]seededPacket{}
	f.hold = func(p seededPacket) time.Duration {
		if (from == "" || p.from == from) && (to == "" || p.to == to) {
			*kept = append(*kept, p)
			return time.Hour
		}
		return 0
	}
	return kept
}

// TestLateAnswerToAnEarlierProcessConfirmsNothing restarts an entry host while answers
// to it are under way that call table 1 the newest. The process that starts then asks
// questions of its own, and by their numbers must not take the late answers for answers
// to these: it would serve by table 1 as if that had been confirmed just now.
func TestLateAnswerToAnEarlierProcessConfirmsNothing(t *testing.T) {
	f := newSeededFleet(t, 3, 2)
	f.run(5 * time.Second)
	require.True(t, f.put(f.leader(), f.table(1, "old"), time.Second))
	f.beat(replicaName(1), "w1", registry.Ready, 1)
	f.run(time.Second)
	f.stop(entryName(0))
	f.start(entryName(0))
	late := f.delayed("", entryName(0))
	f.run(4 * time.Second)
	f.stop(entryName(0))
	f.start(entryName(0))
	require.NotEmpty(t, *late)
	kept := *late
	f.runUntilAcked(t, f.submit(f.leader(), f.table(2, "new")), 5*time.Second)
	for range 80 {
		f.run(seededStep)
		for _, p := range kept {
			f.reduce(p.to, host.MessageReceived{From: p.from, Message: p.message})
		}
		_, served := f.ask(entryName(0), "/x/1", "old").(requests.Dispatch)
		require.False(t, served, "by an answer to the process before")
	}
}

// TestLateWordOfAnEarlierProcessIsPassedOver restarts an entry host while its questions
// are under way, and lets them arrive after those of the next process: what a replica
// knows of the host stays what the later one said.
func TestLateWordOfAnEarlierProcessIsPassedOver(t *testing.T) {
	f := newSeededFleet(t, 3, 2)
	f.run(5 * time.Second)
	late := f.delayed(entryName(0), "")
	f.run(time.Second)
	kept := *late
	require.NotEmpty(t, kept)
	f.stop(entryName(0))
	f.hold = nil
	f.start(entryName(0))
	require.True(t, f.put(f.leader(), f.table(1, "k"), 3*time.Second))
	f.run(time.Second)
	f.seen = func(p seededPacket) {
		a, ok := p.message.(host.PollReply)
		if ok && p.to == entryName(0) {
			require.Empty(t, a.Gateway, "a table that the present process holds")
		}
	}
	for _, p := range kept {
		f.reduce(p.to, host.MessageReceived{From: p.from, Message: p.message})
	}
	f.run(500 * time.Millisecond)
}
