// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package departures_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/departures"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

var start = time.Unix(1000, 0)

// TestFollowersKnowAllDepartures guards against a departure that a follower never gets, whatever reports
// arrive in between and however few it is sent at a time.
func TestFollowersKnowAllDepartures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l departures.Log
		newest := map[ident.Target]registry.Worker{}
		registered := map[ident.Target]bool{}
		known := map[departures.Source]map[ident.Target]registry.Worker{departures.Registered: {}, departures.Relayed: {}}
		positions := map[departures.Source]uint64{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			w := registry.Worker{
				ID:    ident.Target(fmt.Sprint("w", rapid.IntRange(0, 5).Draw(t, "worker"))),
				State: rapid.SampledFrom([]registry.State{registry.Ready, registry.Draining, registry.Gone}).Draw(t, "state"),
				Seq:   rapid.Uint64Range(1, 9).Draw(t, "seq"), Born: registry.Incarnation(rapid.IntRange(1, 2).Draw(t, "born")),
			}
			source := rapid.SampledFrom([]departures.Source{departures.Registered, departures.Relayed}).Draw(t, "source")
			l = l.With(w, source, start.Add(time.Duration(step)*time.Millisecond))
			if departures.IsLeaving(w) {
				if have, ok := newest[w.ID]; !ok || registry.Newer(w, have) {
					newest[w.ID] = w
				}
				registered[w.ID] = registered[w.ID] || source == departures.Registered
			}
			follower := rapid.SampledFrom([]departures.Source{departures.Registered, departures.Relayed}).Draw(t, "follower")
			follow(l, follower, rapid.IntRange(1, 3).Draw(t, "limit"), positions, known[follower])
		}
		for _, follower := range []departures.Source{departures.Registered, departures.Relayed} {
			for range l.Len() + 1 {
				follow(l, follower, 1, positions, known[follower])
			}
			require.GreaterOrEqual(t, positions[follower], l.Newest(follower))
		}
		for id, w := range newest {
			require.Equal(t, w, known[departures.Relayed][id])
			if registered[id] {
				require.Equal(t, w, known[departures.Registered][id])
			}
		}
	})
}

func follow(l departures.Log, upTo departures.Source, limit int, positions map[departures.Source]uint64, known map[ident.Target]registry.Worker) {
	workers, position := l.After(positions[upTo], upTo, limit)
	positions[upTo] = position
	for _, w := range workers {
		known[w.ID] = w
	}
}

func TestOldDeparturesAreForgotten(t *testing.T) {
	var l departures.Log
	l = l.With(registry.Worker{ID: "a", State: registry.Draining, Seq: 1}, departures.Registered, start)
	l = l.With(registry.Worker{ID: "b", State: registry.Draining, Seq: 1}, departures.Registered, start.Add(time.Second))
	l = l.Forget(start.Add(departures.Lifetime + 1))
	require.Equal(t, 1, l.Len())
	workers, position := l.After(0, departures.Registered, 8)
	require.Len(t, workers, 1)
	require.EqualValues(t, 2, position)
	require.Empty(t, l.Since(start.Add(time.Second)))
}
