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
	n := hubs.Selection{}.Updated(fleet(40), 40, start)
	require.Zero(t, n.Len())
	n = n.Updated(fleet(48), 40, start.Add(time.Second))
	require.Equal(t, 6, n.Len(), "two in each zone")
	later := start.Add(time.Minute)
	n = n.Updated(fleet(36), 40, later).Updated(fleet(36), 40, later.Add(hubs.SettleTime))
	require.Equal(t, 6, n.Len(), "above 75% of the threshold hubs are kept")
	n = n.Updated(fleet(30), 40, later.Add(time.Minute)).Updated(fleet(30), 40, later.Add(2*time.Minute))
	require.Zero(t, n.Len())
}

func TestNewListMustSettle(t *testing.T) {
	n := hubs.Selection{}.Updated(fleet(90), 40, start)
	first := n.Key
	n = n.Updated(fleet(45), 40, start.Add(time.Second))
	require.Equal(t, first, n.Key)
	n = n.Updated(fleet(90), 40, start.Add(2*time.Second))
	n = n.Updated(fleet(45), 40, start.Add(3*time.Second))
	n = n.Updated(fleet(45), 40, start.Add(3*time.Second+hubs.SettleTime-1))
	require.Equal(t, first, n.Key, "the list changed in between")
	n = n.Updated(fleet(45), 40, start.Add(3*time.Second+hubs.SettleTime))
	require.NotEqual(t, first, n.Key)
}

func TestSilentHubIsAvoided(t *testing.T) {
	list := hubs.Selection{}.Updated(fleet(48), 40, start).Hosts
	self := hubs.Self{ID: "h001", Zone: "z1"}
	replies := map[ident.Host]time.Time{}
	last := func(h ident.Host) time.Time { return replies[h] }
	c := hubs.PollSet{}.Updated(list, self, last, time.Second, start)
	before := c.Polled()
	require.Len(t, before, hubs.MaxPolled)
	replies[before[0]] = start.Add(2 * time.Second)
	c = c.Updated(list, self, last, time.Second, start.Add(2*time.Second))
	require.True(t, c.Has(before[0]))
	require.False(t, c.Has(before[1]))
	require.Len(t, c.Polled(), hubs.MaxPolled, "the silent hub is replaced")
	require.Empty(t, c.Cleared().Polled())
}

func TestHubsFailWithoutAUsefulReply(t *testing.T) {
	c := hubs.PollSet{}.WithUsefulReply(start)
	require.False(t, c.Failed(start.Add(hubs.FailureTimeout)))
	require.True(t, c.Failed(start.Add(hubs.FailureTimeout+1)))
}
