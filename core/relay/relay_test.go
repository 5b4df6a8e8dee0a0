// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/hubs"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/relay"
)

var start = time.Unix(1000, 0)

func worker(n int, zone ident.Zone) registry.Worker {
	return registry.Worker{ID: ident.Target(fmt.Sprintf("w%02d", n)), Pool: "p", Zone: zone, Slots: 1, Seq: 1}
}

func TestRelaysAreSelectedInLargeFleetsOnly(t *testing.T) {
	hosts := []hubs.Host{{Host: "a", Zone: "x", Relay: "a:1"}, {Host: "b", Zone: "y"}, {Host: "c", Zone: "y", Relay: "c:1"}}
	require.Empty(t, relay.Select(hosts, 150, time.Minute))
	require.Empty(t, relay.Select(hosts, 151, 0), "the replica is warming up")
	relays := relay.Select(hosts, 151, time.Minute)
	require.Len(t, relays, 2, "b accepts no heartbeats")
	require.Equal(t, "c:1", relay.AddressFor(worker(1, "y"), relays))
	require.NotEmpty(t, relay.AddressFor(worker(1, "z"), relays), "no relay in its zone")
	leaving := worker(1, "y")
	leaving.State = registry.Draining
	require.Empty(t, relay.AddressFor(leaving, relays))
}

func TestRelayAcknowledgesOnlyKnownState(t *testing.T) {
	w := worker(1, "x")
	require.True(t, relay.CanAcknowledge(w, registry.Worker{}, false))
	require.True(t, relay.CanAcknowledge(w, w, true))
	moved, leaving := w, w
	moved.Address = "elsewhere"
	leaving.State = registry.Draining
	require.False(t, relay.CanAcknowledge(moved, w, true))
	require.False(t, relay.CanAcknowledge(leaving, w, true))
	require.False(t, relay.CanAcknowledge(w, leaving, true))
}

func TestRelayWithoutReplicaRedirectsEachWorkerOnce(t *testing.T) {
	noReply := relay.ReplicaContact{Ever: true}
	s, accepted := relay.State{}.Accept("w", noReply, start)
	require.False(t, accepted)
	s, accepted = s.Accept("w", noReply, start.Add(time.Second))
	require.True(t, accepted, "it returned from a replica")
	s, accepted = s.Accept("w", noReply, start.Add(time.Second+relay.ReplicaTimeout))
	require.False(t, accepted)
	_, accepted = s.Accept("w", relay.ReplicaContact{Recent: true, Ever: true}, start)
	require.True(t, accepted)
	_, accepted = relay.State{}.Accept("w", relay.ReplicaContact{}, start)
	require.True(t, accepted, "a relay that has just started accepts redirected workers")
}

func TestHeartbeatsAreReportedTogether(t *testing.T) {
	s := relay.State{}.WithHeartbeats(worker(2, "x"), worker(1, "x")).WithHeartbeats(worker(2, "x"))
	require.True(t, s.ReportDue(false, start))
	s, workers := s.TakeReport(start)
	require.Equal(t, []registry.Worker{worker(1, "x"), worker(2, "x")}, workers)
	require.False(t, s.ReportDue(false, start.Add(time.Hour)), "nothing to report")
	s = s.WithHeartbeats(worker(3, "x"))
	require.False(t, s.ReportDue(false, start.Add(relay.ReportInterval-1)))
	require.True(t, s.ReportDue(true, start), "a hub reports at once")
	require.True(t, s.ReportDue(false, start.Add(relay.ReportInterval)))
}

func TestRelayCapacityIsBounded(t *testing.T) {
	s := relay.State{}
	for i := range 18 {
		require.True(t, s.HasCapacity(worker(i, "x").ID, 10, 10), "%d", i)
		s = s.WithHeartbeats(worker(i, "x"))
	}
	require.False(t, s.HasCapacity("another", 10, 10))
	require.True(t, s.HasCapacity(worker(0, "x").ID, 10, 10), "a worker that is pending already")
}
