// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package raft_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/raft"
)

// TestRepeatedChunkIsAnsweredOnceSynced guards against a follower that reports a snapshot as installed, in answer to a
// repeated chunk, while its disk has not written it: the leader counts on it and sends the entries after it.
func TestRepeatedChunkIsAnsweredOnceSynced(t *testing.T) {
	now := time.Unix(5000, 0)
	members := []raft.Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}}
	s := raft.New("b", raft.Options{}, 1, raft.Boot{Snapshot: raft.Snapshot{Members: members}}, now)
	chunk := raft.Receive{From: "a", Message: raft.SnapshotChunk{Term: 1, Index: 9, LogTerm: 1, Members: members, Data: []byte("x"), Last: true}}
	for range 2 {
		var effects []raft.Effect
		s, effects = s.Step(chunk, now)
		answers := 0
		for _, e := range effects {
			switch e := e.(type) {
			case raft.Send:
				_, isAnswer := e.Message.(raft.SnapshotReply)
				require.False(t, isAnswer, "answered before the disk")
			case raft.Persist:
				for _, then := range e.Then {
					if r, ok := then.Message.(raft.SnapshotReply); ok && r.Done {
						answers++
					}
				}
			}
		}
		require.Equal(t, 1, answers)
	}
}
