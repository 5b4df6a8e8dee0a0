// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package inforce_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/inforce"
)

var (
	start      = time.Unix(1000, 0)
	settings   = inforce.Settings{KeyLease: 4 * time.Second, InForceWithin: 2 * time.Second, WarmUp: time.Second}
	leaderInfo = inforce.HostInfo{Self: "leader", Started: start.Add(-time.Hour), LeaderSince: start.Add(-time.Hour)}
)

// granted records a poll of a host that has one version in force and is sent another.
func granted(s inforce.State, inForce, sent uint64, at time.Time) inforce.State {
	return s.WithGrant(inforce.Grant{From: "entry", Incarnation: 1, OldestInForce: config.Version(inForce), SentVersion: config.Version(sent)}, at)
}

func TestWriteWaitsForHostWithOlderTable(t *testing.T) {
	s := granted(inforce.State{}, 1, 1, start)
	s = s.WithCommit(start).WithPendingWrite(inforce.PendingWrite{ID: "w", Version: 2}, start)
	s, released := s.ReleaseWrites(settings, leaderInfo, start)
	require.Empty(t, released)
	s = granted(s, 2, 2, start.Add(300*time.Millisecond))
	s, released = s.ReleaseWrites(settings, leaderInfo, start.Add(300*time.Millisecond))
	require.Len(t, released, 1)
	require.EqualValues(t, "entry", released[0].BlockedBy)
	require.Equal(t, 300*time.Millisecond, released[0].Delay)
	require.Zero(t, s.PendingWrites())
}

func TestSilentHostDelaysWriteByAtMostMaxAckDelay(t *testing.T) {
	s := granted(inforce.State{}, 1, 1, start)
	s = s.WithCommit(start)
	ok, blockedBy := s.WillBeInForce(2, settings, leaderInfo, start.Add(settings.MaxAckDelay()-1))
	require.False(t, ok)
	require.EqualValues(t, "entry", blockedBy)
	ok, _ = s.WillBeInForce(2, settings, leaderInfo, start.Add(settings.MaxAckDelay()))
	require.True(t, ok)
	require.GreaterOrEqual(t, settings.MaxAckDelay()+settings.InForceWithin, settings.KeyLease, "its lease ends before the table must be in force")
}

func TestNewProcessHoldsNoLease(t *testing.T) {
	s := granted(inforce.State{}, 1, 1, start).WithCommit(start)
	s = s.WithGrant(inforce.Grant{From: "entry", Incarnation: 2, OldestInForce: 0, SentVersion: 2}, start)
	ok, _ := s.WillBeInForce(2, settings, leaderInfo, start)
	require.True(t, ok, "the new process was never sent an older table")
}

func TestOldestInForceCountsLeaseHolders(t *testing.T) {
	s := granted(inforce.State{}, 1, 1, start)
	require.EqualValues(t, 1, s.OldestInForce(5, settings, start.Add(settings.KeyLease-1)))
	require.EqualValues(t, 5, s.OldestInForce(5, settings, start.Add(settings.KeyLease)))
	s, oldest := s.TakeReport(5, settings, start)
	require.EqualValues(t, 1, oldest)
	require.False(t, s.ReportDue(5, settings, start.Add(time.Second)), "nothing new")
	s = granted(s, 5, 5, start.Add(time.Second))
	require.True(t, s.ReportDue(5, settings, start.Add(time.Second)))
}

func TestStartingReplicaWaitsForWarmUp(t *testing.T) {
	started := inforce.HostInfo{Self: "leader", Started: start, LeaderSince: start}
	ok, blockedBy := inforce.State{}.WillBeInForce(2, settings, started, start)
	require.False(t, ok)
	require.EqualValues(t, "leader", blockedBy)
	ok, _ = inforce.State{}.WillBeInForce(2, settings, started, start.Add(settings.WarmUp))
	require.True(t, ok)
}
