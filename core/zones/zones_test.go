// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package zones_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/zones"
)

// maxOrders bounds the number of orders drawn.
const maxOrders = 40

// TestOrderAppliesUnlessSuperseded draws orders, some of them delayed, and guards against
// applying one after another order for its zone was committed.
func TestOrderAppliesUnlessSuperseded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var current zones.Drained
		states := append(make([]zones.Drained, 0, maxOrders), current)
		want := map[ident.Zone]bool{}
		for range rapid.IntRange(1, maxOrders-1).Draw(t, "orders") {
			zone := ident.Zone(fmt.Sprint("hall-", rapid.IntRange(0, 4).Draw(t, "zone")))
			received := states[rapid.IntRange(0, len(states)-1).Draw(t, "received")]
			c := zones.Change{Zone: zone, Drained: rapid.Bool().Draw(t, "drained"), Seen: received.RevisionOf(zone)}
			next, outcome := current.Apply(c)
			switch {
			case want[zone] == c.Drained:
				require.Equal(t, zones.Done, outcome)
				require.Equal(t, current, next, "a repeated order changes nothing")
			case received.RevisionOf(zone) != current.RevisionOf(zone):
				require.Equal(t, zones.Superseded, outcome)
				require.Equal(t, current, next)
			default:
				require.Equal(t, zones.Done, outcome)
				require.Equal(t, current.Revision+1, next.Revision)
				want[zone] = c.Drained
			}
			current = next
			states = append(states, current)
			requireDrained(t, want, current)
		}
	})
}

func requireDrained(t *rapid.T, want map[ident.Zone]bool, drainedZones zones.Drained) {
	n := 0
	for zone, drained := range want {
		require.Equal(t, drained, drainedZones.IsDrained(zone), zone)
		if drained {
			n++
		}
	}
	require.Len(t, drainedZones.DrainedZones(), n)
}

// TestLatestStateWins guards against a host that reverts to an older state when states arrive out
// of order or repeatedly.
func TestLatestStateWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var last zones.Drained
		states := append(make([]zones.Drained, 0, maxOrders), last)
		for i := range rapid.IntRange(1, 10).Draw(t, "orders") {
			zone := ident.Zone(fmt.Sprint("hall-", i%3))
			last, _ = last.Apply(zones.Change{Zone: zone, Drained: !last.IsDrained(zone), Seen: last.RevisionOf(zone)})
			states = append(states, last)
		}
		var current zones.Drained
		revision := uint64(0)
		for range 30 {
			current = current.Latest(rapid.SampledFrom(states).Draw(t, "sent"))
			require.GreaterOrEqual(t, current.Revision, revision, "the revision never decreases")
			revision = current.Revision
		}
		require.Equal(t, last, current.Latest(last))
	})
}

func TestZoneCountIsBounded(t *testing.T) {
	var current zones.Drained
	outcome := zones.Done
	for i := 0; outcome == zones.Done; i++ {
		require.Less(t, i, 1000)
		current, outcome = current.Apply(zones.Change{Zone: ident.Zone(fmt.Sprint(i)), Drained: true})
	}
	require.Equal(t, zones.TooMany, outcome)
	_, outcome = current.Apply(zones.Change{Zone: "0", Drained: false, Seen: current.RevisionOf("0")})
	require.Equal(t, zones.Done, outcome, "a known zone can still be changed")
	require.Error(t, zones.Change{}.Validate())
}
