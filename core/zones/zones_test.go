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
		var held zones.Drained
		states := append(make([]zones.Drained, 0, maxOrders), held)
		want := map[ident.Zone]bool{}
		for range rapid.IntRange(1, maxOrders-1).Draw(t, "orders") {
			zone := ident.Zone(fmt.Sprint("hall-", rapid.IntRange(0, 4).Draw(t, "zone")))
			received := states[rapid.IntRange(0, len(states)-1).Draw(t, "received")]
			c := zones.Change{Zone: zone, Drained: rapid.Bool().Draw(t, "drained"), Seen: received.RevisionOf(zone)}
			next, outcome := held.Apply(c)
			switch {
			case want[zone] == c.Drained:
				require.Equal(t, zones.Done, outcome)
				require.Equal(t, held, next, "a repeated order changes nothing")
			case received.RevisionOf(zone) != held.RevisionOf(zone):
				require.Equal(t, zones.Superseded, outcome)
				require.Equal(t, held, next)
			default:
				require.Equal(t, zones.Done, outcome)
				require.Equal(t, held.Revision+1, next.Revision)
				want[zone] = c.Drained
			}
			held = next
			states = append(states, held)
			requireDrained(t, want, held)
		}
	})
}

func requireDrained(t *rapid.T, want map[ident.Zone]bool, held zones.Drained) {
	n := 0
	for zone, drained := range want {
		require.Equal(t, drained, held.IsDrained(zone), zone)
		if drained {
			n++
		}
	}
	require.Len(t, held.DrainedZones(), n)
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
		var held zones.Drained
		revision := uint64(0)
		for range 30 {
			held = held.Latest(rapid.SampledFrom(states).Draw(t, "sent"))
			require.GreaterOrEqual(t, held.Revision, revision, "the revision never decreases")
			revision = held.Revision
		}
		require.Equal(t, last, held.Latest(last))
	})
}

func TestZoneCountIsBounded(t *testing.T) {
	var held zones.Drained
	outcome := zones.Done
	for i := 0; outcome == zones.Done; i++ {
		require.Less(t, i, 1000)
		held, outcome = held.Apply(zones.Change{Zone: ident.Zone(fmt.Sprint(i)), Drained: true})
	}
	require.Equal(t, zones.TooMany, outcome)
	_, outcome = held.Apply(zones.Change{Zone: "0", Drained: false, Seen: held.RevisionOf("0")})
	require.Equal(t, zones.Done, outcome, "a known zone can still be changed")
	require.Error(t, zones.Change{}.Validate())
}
