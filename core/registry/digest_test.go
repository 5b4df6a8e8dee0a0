// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package registry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

// TestDigestIsThatOfAllWorkers applies heartbeats, reports, deregistrations and expiries in any
// order. The digest of a registry must be that of its workers, and must differ from the one before
// whenever hosts are sent a change.
func TestDigestIsThatOfAllWorkers(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var reg registry.Registry
		now := start
		for range rapid.IntRange(1, 40).Draw(r, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(r, "seconds")) * time.Second)
			n := rapid.IntRange(0, 5).Draw(r, "worker")
			w := registry.Worker{
				ID: ident.Target(fmt.Sprint("w", n)), Pool: "p", Zone: "z", Address: fmt.Sprint("10.0.0.1:", n%3), Slots: 4,
				Seq: rapid.Uint64Range(1, 9).Draw(r, "seq"), Born: registry.Incarnation(rapid.IntRange(0, 2).Draw(r, "born")),
				State:   registry.State(rapid.IntRange(0, 2).Draw(r, "state")),
				Version: ident.Version(rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(r, "version")),
			}
			switch rapid.IntRange(0, 4).Draw(r, "event") {
			case 0, 1:
				reg, _ = reg.WithHeartbeat(w, now)
			case 2:
				reg = reg.WithReport(w, now)
			case 3:
				reg, _ = reg.WithGone(w.ID, w.Born, now)
			case 4:
				reg, _ = reg.Expire(30*time.Second, now)
			}
			all, _ := reg.After(0, 1000, now)
			require.Equal(r, registry.DigestOf(slices.Values(all)), reg.Digest())
			require.Len(r, all, reg.Len())
		}
	})
}

// TestVersionIsPartOfARegistration guards against hosts that are not sent a changed version, and
// against digests without versions that differ from those of earlier programs.
func TestVersionIsPartOfARegistration(t *testing.T) {
	w := registry.Worker{ID: "w", Pool: "p", Zone: "z", Address: "10.0.0.1:80", Slots: 4, Seq: 1}
	r, _ := registry.Registry{}.WithHeartbeat(w, start)
	// As computed before registrations had versions.
	require.Equal(t, registry.Digest(1345830039989408763), r.Digest())
	for i, version := range []ident.Version{"v1", "v2", ""} {
		before := r.Digest()
		w.Version, w.Seq = version, uint64(i)+2
		var changed bool
		r, changed = r.WithHeartbeat(w, start)
		require.True(t, changed, version)
		require.NotEqual(t, before, r.Digest(), version)
	}
}
