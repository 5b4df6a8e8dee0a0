// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
)

// largeTable returns a route table with many routes and its source.
func largeTable(t *testing.T, number uint64, routes int) config.RouteTable {
	g := routeTable(routes)
	g.Number = number
	return withSource(t, g)
}

func withSource(t *testing.T, g config.RouteTable) config.RouteTable {
	var err error
	g.Source, err = json.Marshal(g.WithoutSource())
	require.NoError(t, err)
	return g
}

// TestSmallChangeOfALargeTableIsASmallEntry guards against a change of one of 1,600 routes
// logging the whole table, at the leader and at another replica.
func TestSmallChangeOfALargeTableIsASmallEntry(t *testing.T) {
	f := newSeededFleet(t, 3, 1)
	f.run(5 * time.Second)
	leader := f.leader()
	require.True(t, f.putTable(leader, largeTable(t, 1, 1600), 5*time.Second))
	number := uint64(1)
	for _, at := range []ident.Host{leader, f.anyFollower()} {
		number++
		next := largeTable(t, number, 1600)
		next.Routes[800].MaxAttempts = int(number) + 5
		next = withSource(t, next)
		require.True(t, f.putTable(at, next, 5*time.Second))
		log := f.states[leader].Raft().Log()
		require.Less(t, len(log.At(log.Last()).Data), 2000)
		f.run(2 * time.Second)
		for i := range 3 {
			held := f.states[replicaName(i)].Config().Gateway
			require.Equal(t, string(next.Source), string(held.Source))
			require.ElementsMatch(t, next.Routes, held.Routes)
		}
		require.EqualValues(t, number, f.states[entryName(0)].Config().Gateway.Number)
	}
}

// TestRacingChangesAreAllAccepted submits two changes at once at two replicas. The one logged
// later is a patch of an outdated table and must be rebuilt, not lost.
func TestRacingChangesAreAllAccepted(t *testing.T) {
	f := newSeededFleet(t, 3, 0)
	f.run(5 * time.Second)
	leader := f.leader()
	require.True(t, f.putTable(leader, largeTable(t, 1, 40), 5*time.Second))
	for id, race := range map[string]struct {
		at     ident.Host
		number uint64
	}{"lower": {leader, 5}, "higher": {f.anyFollower(), 6}} {
		g := largeTable(t, race.number, 40+int(race.number))
		f.reduce(race.at, host.WriteSubmitted{
			Write:    catalog.Write{ID: id, Command: catalog.Edit{Change: config.PutRouteTable{Gateway: g}}},
			Deadline: f.now.Add(5 * time.Second),
		})
	}
	f.run(3 * time.Second)
	for _, id := range []string{"lower", "higher"} {
		require.True(t, f.writes[id].Known, id)
		require.Equal(t, catalog.OK, f.writes[id].Result.Code, id)
	}
	for i := range 3 {
		held := f.states[replicaName(i)].Config().Gateway
		require.EqualValues(t, 6, held.Number)
		require.Equal(t, string(largeTable(t, 6, 46).Source), string(held.Source))
	}
}

// TestSupersededTableIsNotLogged resubmits superseded tables at the leader and at another
// replica. They must be answered without being logged.
func TestSupersededTableIsNotLogged(t *testing.T) {
	f := newSeededFleet(t, 3, 0)
	f.run(5 * time.Second)
	require.True(t, f.putTable(f.leader(), largeTable(t, 7, 400), 3*time.Second))
	f.run(time.Second)
	before := f.states[f.leader()].Raft().Log().Last()
	for _, at := range []ident.Host{f.leader(), f.anyFollower()} {
		for _, number := range []uint64{3, 7} {
			require.True(t, f.putTable(at, largeTable(t, number, 300), 2*seededStep), "the leader must answer without logging it")
		}
		invalid := largeTable(t, 3, 300)
		invalid.Routes[0].Timeout = 0
		require.False(t, f.putTable(at, invalid, 2*time.Second), "an invalid table must be rejected whatever its number")
	}
	require.Equal(t, string(largeTable(t, 7, 400).Source), string(f.states[f.leader()].Config().Gateway.Source))
	log := f.states[f.leader()].Raft().Log()
	for i := before + 1; i <= log.Last(); i++ {
		require.Less(t, len(log.At(i).Data), 2000)
	}
}

// TestConcurrentChangesAreLoggedAsPatches submits twenty changes at once at all replicas. All
// but one are made from an outdated table and must not be logged as whole tables.
func TestConcurrentChangesAreLoggedAsPatches(t *testing.T) {
	f := newSeededFleet(t, 3, 1)
	f.run(5 * time.Second)
	require.True(t, f.putTable(f.leader(), largeTable(t, 1, 800), 3*time.Second))
	before := f.states[f.leader()].Raft().Log().Last()
	const changes = 20
	for i := range changes {
		g := largeTable(t, uint64(2+i), 800)
		g.Routes[i].MaxAttempts = 9
		f.reduce(replicaName(i%3), host.WriteSubmitted{
			Write:    catalog.Write{ID: fmt.Sprint("storm-", i), Command: catalog.Edit{Change: config.PutRouteTable{Gateway: withSource(t, g)}}},
			Deadline: f.now.Add(5 * time.Second),
		})
	}
	f.run(3 * time.Second)
	for i := range changes {
		require.Equal(t, catalog.OK, f.writes[fmt.Sprint("storm-", i)].Result.Code, i)
	}
	require.EqualValues(t, 1+changes, f.states[entryName(0)].Config().Gateway.Number)
	bytes, log := 0, f.states[f.leader()].Raft().Log()
	for i := before + 1; i <= log.Last(); i++ {
		bytes += len(log.At(i).Data)
	}
	require.Less(t, bytes, 200_000, "20,000 bytes are one whole table")
}

// anyFollower returns a replica that is not the leader.
func (f *seededFleet) anyFollower() ident.Host {
	for _, id := range f.order {
		if f.disks[id] != nil && id != f.leader() {
			return id
		}
	}
	return ""
}

// BenchmarkChangeOfALargeTable measures a change of one of 1,600 routes on a fleet of one
// replica, from submission to the update of an entry host.
func BenchmarkChangeOfALargeTable(b *testing.B) {
	f := newSeededFleet(&testing.T{}, 1, 1)
	f.run(5 * time.Second)
	id := replicaName(0)
	g := routeTable(1600)
	tables := make([]config.RouteTable, 2)
	for i := range tables {
		next := g
		next.Routes = append([]config.Route(nil), g.Routes...)
		next.Routes[800].MaxAttempts = i + 5
		next.Source, _ = json.Marshal(next.WithoutSource()) //nolint:errchkjson // Only its size counts.
		tables[i] = next
	}
	number := uint64(0)
	for b.Loop() {
		number++
		next := tables[number%2]
		next.Number = number
		f.reduce(id, host.WriteSubmitted{
			Write:    catalog.Write{ID: "w", Command: catalog.Edit{Change: config.PutRouteTable{Gateway: next}}},
			Deadline: f.now.Add(time.Minute),
		})
	}
	if f.states[id].Config().Gateway.Number != number {
		b.Fatal("a change is missing")
	}
}
