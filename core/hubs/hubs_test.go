// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package hubs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/hubs"
	"github.com/yardhall/yardhall/core/ident"
)

var start = time.Unix(1000, 0)

// fleet returns n entry hosts in three zones.
func fleet(n int) []hubs.Host {
	out := make([]hubs.Host, 0, n)
	for i := range n {
		out = append(out, hubs.Host{Host: ident.Host(fmt.Sprintf("h%03d", i)), Zone: ident.Zone(fmt.Sprint("z", i%3))})
	}
	return out
}

func TestHubsAreSelectedWithHysteresis(t *testing.T) {
	s := hubs.Selection{}.Updated(fleet(40), 40, start)
	require.Zero(t, s.Len())
	s = s.Updated(fleet(48), 40, start.Add(time.Second))
	require.Equal(t, 6, s.Len(), "two in each zone")
	later := start.Add(time.Minute)
	s = s.Updated(fleet(36), 40, later).Updated(fleet(36), 40, later.Add(hubs.SettleTime))
	require.Equal(t, 6, s.Len(), "above 75% of the threshold hubs are kept")
	s = s.Updated(fleet(30), 40, later.Add(time.Minute)).Updated(fleet(30), 40, later.Add(2*time.Minute))
	require.Zero(t, s.Len())
}

func TestNewListMustSettle(t *testing.T) {
	s := hubs.Selection{}.Updated(fleet(90), 40, start)
	first := s.Key
	s = s.Updated(fleet(45), 40, start.Add(time.Second))
	require.Equal(t, first, s.Key)
	s = s.Updated(fleet(90), 40, start.Add(2*time.Second))
	s = s.Updated(fleet(45), 40, start.Add(3*time.Second))
	s = s.Updated(fleet(45), 40, start.Add(3*time.Second+hubs.SettleTime-1))
	require.Equal(t, first, s.Key, "the list changed in between")
	s = s.Updated(fleet(45), 40, start.Add(3*time.Second+hubs.SettleTime))
	require.NotEqual(t, first, s.Key)
}

func TestSilentHubIsAvoided(t *testing.T) {
	list := hubs.Selection{}.Updated(fleet(48), 40, start).Hosts
	self := hubs.Self{ID: "h001", Zone: "z1"}
	replies := map[ident.Host]time.Time{}
	lastReply := func(h ident.Host) time.Time { return replies[h] }
	p := hubs.PollSet{}.Updated(list, self, lastReply, time.Second, start)
	before := p.Polled()
	require.Len(t, before, hubs.MaxPolled)
	replies[before[0]] = start.Add(2 * time.Second)
	p = p.Updated(list, self, lastReply, time.Second, start.Add(2*time.Second))
	require.True(t, p.Has(before[0]))
	require.False(t, p.Has(before[1]))
	require.Len(t, p.Polled(), hubs.MaxPolled, "the silent hub is replaced")
	require.Empty(t, p.Cleared().Polled())
}

func TestHubsFailWithoutAUsefulReply(t *testing.T) {
	p := hubs.PollSet{}.WithUsefulReply(start)
	require.False(t, p.Failed(start.Add(hubs.FailureTimeout)))
	require.True(t, p.Failed(start.Add(hubs.FailureTimeout+1)))
}
