// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// startKeyed starts a fleet of three replicas and two entry hosts whose table holds keys.
func startKeyed(t *testing.T, keys ...string) *seededFleet {
	f := newSeededFleet(t, 3, 2)
	f.run(5 * time.Second)
	require.True(t, f.putTable(f.leader(), f.table(1, keys...), time.Second))
	f.sendHeartbeat(replicaName(0), "w1", registry.Ready, 1)
	f.run(time.Second)
	for i := range 2 {
		require.IsType(t, requests.Dispatch{}, f.sendRequest(entryName(i), "/x/1", keys[0]))
	}
	return f
}

// requireClosed requires that an entry host serves neither a key that was taken away, nor one that no table
// ever held, nor a request without a key.
func (f *seededFleet) requireClosed(at ident.Host) {
	f.t.Helper()
	for _, key := range []string{"k", "never held", ""} {
		require.Equal(f.t, requests.CodeBadKey, codeOf(f.t, f.sendRequest(at, "/x/1", key)), "key %q", key)
	}
}

// TestRoutesStayClosedOnceTheLastKeyIsTakenAway guards against taking a table without keys for one that needs
// none: every request would be served, whatever its key.
func TestRoutesStayClosedOnceTheLastKeyIsTakenAway(t *testing.T) {
	for name, empty := range map[string]func(*seededFleet) config.RouteTable{
		"account without keys": func(f *seededFleet) config.RouteTable {
			g := f.table(2)
			g.Keys = []config.KeyOwner{{Account: "holder-k"}}
			return g.WithKeysRequired()
		},
		"account without keys, of an earlier version": func(f *seededFleet) config.RouteTable {
			g := f.table(2)
			g.Keys = []config.KeyOwner{{Account: "holder-k"}}
			return g
		},
		"no account": func(f *seededFleet) config.RouteTable { return f.table(2).WithKeysRequired() },
	} {
		t.Run(name, func(t *testing.T) {
			f := startKeyed(t, "k")
			require.True(t, f.putTable(f.leader(), empty(f), time.Second), "as a delta")
			f.run(time.Second)
			f.requireClosed(entryName(0))
			f.requireClosed(entryName(1))

			f.start(entryName(0))
			for i := range 3 {
				f.start(replicaName(i))
			}
			f.run(8 * time.Second)
			f.sendHeartbeat(replicaName(0), "w1", registry.Ready, 2)
			f.run(time.Second)
			f.requireClosed(entryName(0))
			f.requireClosed(entryName(1))

			require.True(t, f.putTable(f.leader(), f.table(3, "given back"), 2*time.Second))
			f.run(time.Second)
			require.IsType(t, requests.Dispatch{}, f.sendRequest(entryName(1), "/x/1", "given back"))
			f.requireClosed(entryName(1))
		})
	}
}

// TestCutOffHostServesNoKeyOnceTheLastIsTakenAway guards against the same at a host that does not learn of it,
// and as it learns of it late.
func TestCutOffHostServesNoKeyOnceTheLastIsTakenAway(t *testing.T) {
	f := startKeyed(t, "k")
	f.partition(entryName(0), true)
	f.run(seededStep)
	id := f.commitTable(f.leader(), f.table(2).WithKeysRequired())
	f.run(requests.DefaultKeyLease)
	require.True(t, f.isAcknowledged(id))
	require.Equal(t, requests.CodeStale, codeOf(t, f.sendRequest(entryName(0), "/x/1", "k")))
	f.partition(entryName(0), false)
	f.run(time.Second)
	f.requireClosed(entryName(0))
	f.partition(entryName(0), true)
	f.run(requests.DefaultKeyLease + time.Second)
	require.Equal(t, requests.CodeStale, codeOf(t, f.sendRequest(entryName(0), "/x/1", "k")))
}

// TestTableWithoutAccountsNeedsNoKey guards against asking for keys where the operators use none.
func TestTableWithoutAccountsNeedsNoKey(t *testing.T) {
	f := startKeyed(t, "k")
	require.True(t, f.putTable(f.leader(), f.table(2), time.Second))
	f.run(time.Second)
	require.IsType(t, requests.Dispatch{}, f.sendRequest(entryName(0), "/x/1", ""))
}
