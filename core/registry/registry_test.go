// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package registry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

var start = time.Unix(100, 0)

func worker(seq uint64, state registry.State) registry.Worker {
	return registry.Worker{ID: "w", Pool: "p", Address: "10.0.0.1:80", Slots: 4, State: state, Seq: seq}
}

// TestOrderOfWordsDoesNotMatter joins the same words in two orders: the newest
// wins both times, and gone is final.
func TestOrderOfWordsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) registry.Worker {
			return worker(uint64(rapid.IntRange(1, 5).Draw(t, "seq")), registry.State(rapid.IntRange(0, 3).Draw(t, "state")))
		}), 1, 8).Draw(t, "words")
		join := func(words []registry.Worker) registry.Worker {
			best := words[0]
			for _, w := range words[1:] {
				if registry.Newer(w, best) {
					best = w
				}
			}
			return best
		}
		shuffled := rapid.Permutation(words).Draw(t, "shuffled")
		a, b := join(words), join(shuffled)
		require.Equal(t, a.State, b.State)
		if a.State != registry.Gone {
			require.Equal(t, a, b)
		}
	})
}

func TestFollowersAreSentOnlyWhatChanged(t *testing.T) {
	var r registry.Registry
	r, changed := r.WithHeartbeat(worker(1, registry.Ready), start)
	require.True(t, changed)
	_, seen := r.After(0, 10, start)
	r, changed = r.WithHeartbeat(worker(2, registry.Ready), start.Add(time.Second))
	require.False(t, changed, "a heartbeat that says nothing new is no change")
	none, _ := r.After(seen, 10, start)
	require.Empty(t, none)
	r, changed = r.WithHeartbeat(worker(3, registry.Draining), start.Add(2*time.Second))
	require.True(t, changed)
	news, _ := r.After(seen, 10, start)
	require.Len(t, news, 1)
	require.Equal(t, registry.Draining, news[0].State)
}

func TestLateHeartbeatsChangeNothing(t *testing.T) {
	var r registry.Registry
	r, _ = r.WithHeartbeat(worker(5, registry.Draining), start)
	r, changed := r.WithHeartbeat(worker(4, registry.Ready), start)
	require.False(t, changed)
	r, _ = r.WithGone("w", 0, start)
	r, changed = r.WithHeartbeat(worker(9, registry.Ready), start)
	require.False(t, changed, "a late heartbeat brings nobody back")
	w, _ := r.Get("w")
	require.Equal(t, registry.Gone, w.State)
}

func TestSilentWorkerIsToldAndRevived(t *testing.T) {
	var r registry.Registry
	r, _ = r.WithHeartbeat(worker(1, registry.Ready), start)
	r, changed := r.Expire(6*time.Second, start.Add(7*time.Second))
	require.True(t, changed)
	w, _ := r.Get("w")
	require.Equal(t, registry.Silent, w.State)
	r, changed = r.WithHeartbeat(worker(2, registry.Ready), start.Add(8*time.Second))
	require.True(t, changed)
	w, _ = r.Get("w")
	require.Equal(t, registry.Ready, w.State)
	r, _ = r.Expire(6*time.Second, start.Add(10*time.Minute))
	r, _ = r.Expire(6*time.Second, start.Add(20*time.Minute))
	require.Zero(t, r.Len())
}

// TestManyChangesComeInPieces follows a registry three workers at a time.
func TestManyChangesComeInPieces(t *testing.T) {
	var r registry.Registry
	for i := range 8 {
		r, _ = r.WithHeartbeat(registry.Worker{ID: ident.Target(fmt.Sprint("w", i)), Seq: 1}, start)
	}
	got := make([]registry.Worker, 0, 8)
	var seen uint64
	for range 3 {
		var part []registry.Worker
		part, seen = r.After(seen, 3, start)
		unpacked, err := registry.Unpack(registry.Pack(part))
		require.NoError(t, err)
		require.Equal(t, part, unpacked)
		got = append(got, part...)
	}
	require.Len(t, got, 8)
	require.Equal(t, r.Revision(), seen)
}

// TestDrainingWorkerStaysDraining guards against a worker that says that it leaves, falls silent and is then
// tried by hosts that learn of it as merely silent.
func TestDrainingWorkerStaysDraining(t *testing.T) {
	r, _ := registry.Registry{}.WithHeartbeat(worker(2, registry.Draining), start)
	r, _ = r.Expire(time.Second, start.Add(2*time.Second))
	w, ok := r.Get("w")
	require.True(t, ok)
	require.Equal(t, registry.Draining, w.State)
	r, _ = r.Expire(time.Second, start.Add(6*time.Minute))
	require.Zero(t, r.Len())
}
