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
	start    = time.Unix(1000, 0)
	settings = inforce.Settings{KeyLease: 4 * time.Second, Within: 2 * time.Second, WarmUp: time.Second}
	view     = inforce.View{Self: "leader", Started: start.Add(-time.Hour), LeaderSince: start.Add(-time.Hour)}
)

// granted has a host poll at a time, hold a version and be sent another.
func granted(s inforce.State, inForce, sent uint64, at time.Time) inforce.State {
	return s.WithGrant(inforce.Grant{From: "entry", Boot: 1, InForce: config.Version(inForce), Sent: config.Version(sent)}, at)
}

func TestAnswerWaitsForAHostThatMayServeByAnOlderTable(t *testing.T) {
	s := granted(inforce.State{}, 1, 1, start)
	s = s.WithCommit(start).WithAnswer(inforce.Answer{ID: "w", Version: 2}, start)
	s, released := s.Release(settings, view, start)
	require.Empty(t, released)
	s = granted(s, 2, 2, start.Add(300*time.Millisecond))
	s, released = s.Release(settings, view, start.Add(300*time.Millisecond))
	require.Len(t, released, 1)
	require.EqualValues(t, "entry", released[0].WaitedFor)
	require.Equal(t, 300*time.Millisecond, released[0].After)
	require.Zero(t, s.Waiting())
}

func TestSilentHostHoldsAnAnswerUpForMaxHoldAtMost(t *testing.T) {
	s := granted(inforce.State{}, 1, 1, start)
	s = s.WithCommit(start)
	ok, waitsFor := s.WillBe(2, settings, view, start.Add(settings.MaxHold()-1))
	require.False(t, ok)
	require.EqualValues(t, "entry", waitsFor)
	ok, _ = s.WillBe(2, settings, view, start.Add(settings.MaxHold()))
	require.True(t, ok)
	require.GreaterOrEqual(t, settings.MaxHold()+settings.Within, settings.KeyLease, "its lease ends in time")
}

func TestAnotherProcessAtTheAddressHoldsNoLease(t *testing.T) {
	s := granted(inforce.State{}, 1, 1, start).WithCommit(start)
	s = s.WithGrant(inforce.Grant{From: "entry", Boot: 2, InForce: 0, Sent: 2}, start)
	ok, _ := s.WillBe(2, settings, view, start)
	require.True(t, ok, "it was never sent an older table")
}

func TestOldestCountsHostsWithALease(t *testing.T) {
	s := granted(inforce.State{}, 1, 1, start)
	require.EqualValues(t, 1, s.Oldest(5, settings, start.Add(settings.KeyLease-1)))
	require.EqualValues(t, 5, s.Oldest(5, settings, start.Add(settings.KeyLease)))
	s, oldest := s.WithReport(5, settings, start)
	require.EqualValues(t, 1, oldest)
	require.False(t, s.ReportDue(5, settings, start.Add(time.Second)), "nothing new")
	s = granted(s, 5, 5, start.Add(time.Second))
	require.True(t, s.ReportDue(5, settings, start.Add(time.Second)))
}

func TestReplicaThatStartsKnowsNobody(t *testing.T) {
	started := inforce.View{Self: "leader", Started: start, LeaderSince: start}
	ok, waitsFor := inforce.State{}.WillBe(2, settings, started, start)
	require.False(t, ok)
	require.EqualValues(t, "leader", waitsFor)
	ok, _ = inforce.State{}.WillBe(2, settings, started, start.Add(settings.WarmUp))
	require.True(t, ok)
}
