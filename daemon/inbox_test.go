// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
)

func pollFrom(from ident.Host, round uint64) host.MessageReceived {
	return host.MessageReceived{From: from, Message: host.Poll{Round: round, Boot: 1}}
}

// TestWaitingPollsAreBoundedByHosts guards against a queue of polls that grows while the processor is
// short, so that each is answered long after its host has sent the next one.
func TestWaitingPollsAreBoundedByHosts(t *testing.T) {
	b := newInbox()
	for round := range uint64(50) {
		for _, from := range []ident.Host{"a", "b", "c"} {
			b.put(pollFrom(from, round+1), nil)
		}
	}
	require.Equal(t, 3, b.len())
	require.EqualValues(t, 147, b.polls.superseded())
	report := host.MessageReceived{From: "b", Message: host.Poll{Round: 51, Boot: 1, Beats: []byte{1}}}
	b.put(report, nil)
	b.put(pollFrom("b", 52), nil)
	b.put(pollFrom("b", 53), nil)
	var order []host.MessageReceived
	for {
		m, ok := b.polls.take()
		if !ok {
			break
		}
		order = append(order, m)
	}
	require.Equal(t, []host.MessageReceived{pollFrom("a", 50), report, pollFrom("c", 50), pollFrom("b", 53)}, order)
	b.put(pollFrom("b", 54), nil)
	m, ok := b.polls.take()
	require.True(t, ok)
	require.Equal(t, pollFrom("b", 54), m)
}

// TestLogGoesBeforePolls guards against votes and entries that wait behind polls.
func TestLogGoesBeforePolls(t *testing.T) {
	b := newInbox()
	b.put(pollFrom("a", 1), nil)
	b.put(host.Tick{}, nil)
	b.put(host.MessageReceived{From: "r", Message: host.Raft{}}, nil)
	require.Len(t, b.log, 1)
	require.Len(t, b.events, 1)
	require.Equal(t, 3, b.len())
}
