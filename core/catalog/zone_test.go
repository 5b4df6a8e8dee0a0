// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/pack"
	"github.com/yardhall/yardhall/core/zones"
)

// zoneWrite is an order that was received where the zone had a revision.
func zoneWrite(zone string, drained bool, seen uint64) Write {
	change := zones.Change{Zone: ident.Zone("hall-" + zone), Drained: drained, Seen: seen}
	return Write{ID: "w", Actor: "operator", Command: ChangeZone{Change: change}}
}

// TestZonesAreApartFromTheRouteTable drains a zone, changes the route table, takes a
// snapshot and sends the order again: only an order takes the zone back.
func TestZonesAreApartFromTheRouteTable(t *testing.T) {
	c, r := Catalog{}.Apply(zoneWrite("a", true, 0))
	require.Equal(t, OK, r.Code)
	require.Equal(t, uint64(1), r.Zones)
	c, r = c.Apply(Write{Command: Edit{Change: config.PutRouteTable{Gateway: config.RouteTable{Number: 3}}}})
	require.Equal(t, OK, r.Code)
	require.True(t, c.Zones.IsDrained("hall-a"))
	restored, err := Decode(c.Encode())
	require.NoError(t, err)
	require.Equal(t, c.Zones, restored.Zones)
	same, r := restored.Apply(zoneWrite("a", true, 0))
	require.Equal(t, Result{Code: OK, Version: 1, Zones: 1}, r, "an order that is sent again is acknowledged again")
	require.Equal(t, restored.Zones, same.Zones)
	require.Len(t, same.Trail("zone/hall-a"), 1, "one line for each change")
}

// TestLateOrderUndoesNothing applies an order that was received before another one was
// committed: it would undo what its operator no longer waits for.
func TestLateOrderUndoesNothing(t *testing.T) {
	c, _ := Catalog{}.Apply(zoneWrite("a", true, 0))
	c, r := c.Apply(zoneWrite("a", false, 1))
	require.Equal(t, OK, r.Code)
	for _, seen := range []uint64{0, 1} {
		next, r := c.Apply(zoneWrite("a", true, seen))
		require.Equal(t, Overtaken, r.Code)
		require.Equal(t, c.Zones, next.Zones)
	}
	c, r = c.Apply(zoneWrite("b", true, 0))
	require.Equal(t, OK, r.Code, "zones do not hold each other up")
	require.True(t, c.Zones.IsDrained("hall-b"))
}

// TestEarlierReplicasPassOverZones reads the log record of an order as a program does that
// knows nothing of zones: it must apply it without a change, or its replica would stop.
func TestEarlierReplicasPassOverZones(t *testing.T) {
	data, err := pack.Unpack(zoneWrite("a", true, 0).Encode())
	require.NoError(t, err)
	var earlier Write
	require.NoError(t, modes.dec.Unmarshal(data, &earlier))
	earlier.Command = byValue(earlier.Command)
	before := Catalog{Time: time.Unix(1, 0)}
	after, r := before.Apply(earlier)
	require.Equal(t, NotFound, r.Code)
	require.Equal(t, before, after)
}
