// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requireServedBySkewedHost requires that a host which suddenly gets all connections serves, from contactTime
// on, at least three quarters of what all hosts served before.
func requireServedBySkewedHost(t *testing.T, l plainLoad) {
	t.Helper()
	const contactTime = 3 * time.Second
	l.down, l.skewedFrom = -1, 8*time.Second
	f := newPlainFleet(l, 1)
	begin := f.run(3 * time.Second)
	before := f.run(l.skewedFrom - 3*time.Second)
	changed := f.run(contactTime)
	after := f.run(6 * time.Second)
	share := func(from, to plainResults) float64 {
		return float64(to.inTime-from.inTime) / float64(to.requests-from.requests)
	}
	was, is := share(begin, before), share(changed, after)
	t.Logf("%+v: %.3f in time before, %.3f in the first 3 s, %.3f after; %d crashes", l, was, share(before, changed), is, after.crashes)
	require.GreaterOrEqual(t, is, 0.75*was)
	require.LessOrEqual(t, after.crashes, 2)
}

// TestOneHostGetsAllConnections guards against a host that divides workers among all hosts although it alone
// gets connections.
func TestOneHostGetsAllConnections(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{6, 18, 72} {
		requireServedBySkewedHost(t, plainLoad{hosts: hosts, perSecond: 178})
		requireServedBySkewedHost(t, plainLoad{hosts: hosts, perSecond: 268})
	}
}

// TestOneHostGetsAllConnectionsToBrittleWorkers guards against the same before brittle workers.
func TestOneHostGetsAllConnectionsToBrittleWorkers(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{6, 18, 72} {
		requireServedBySkewedHost(t, plainLoad{hosts: hosts, perSecond: 178, brittle: 5})
	}
}
