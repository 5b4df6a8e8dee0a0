// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package clock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/common/clock"
)

// machine is a pair of clocks that a test sets.
type machine struct {
	boot, steady time.Duration
	// between is how much time passes with each read.
	between time.Duration
	broken  bool
}

func (m *machine) clock() *clock.Clock {
	return clock.New(func() (time.Duration, bool) {
		m.pass(m.between)
		return m.boot, !m.broken
	}, func() time.Duration { return m.steady })
}

func (m *machine) pass(d time.Duration) { m.boot, m.steady = m.boot+d, m.steady+d }

// TestSuspensionsAreCounted suspends a machine twice, with work in between.
func TestSuspensionsAreCounted(t *testing.T) {
	m := &machine{boot: 90 * time.Hour, steady: time.Hour}
	c := m.clock()
	m.pass(time.Minute)
	require.Zero(t, c.Suspended())
	m.boot += 5 * time.Second
	require.Equal(t, 5*time.Second, c.Suspended())
	m.pass(time.Minute)
	require.Equal(t, 5*time.Second, c.Suspended())
	m.boot += 700 * time.Millisecond
	require.Equal(t, 5700*time.Millisecond, c.Suspended())
}

// TestReadsThatAreApartCountNothing reads the clocks with pauses between, a little apart, and
// where one cannot be read.
func TestReadsThatAreApartCountNothing(t *testing.T) {
	m := &machine{boot: time.Hour}
	c := m.clock()
	m.between = time.Second
	require.Zero(t, c.Suspended())
	m.between = 0
	m.boot += 20 * time.Millisecond
	require.Zero(t, c.Suspended(), "as clocks are read")
	m.broken = true
	m.boot += time.Hour
	require.Zero(t, c.Suspended())
}

// TestClockOfThisMachineKeepsStep compares it with the time that timers keep.
func TestClockOfThisMachineKeepsStep(t *testing.T) {
	before := clock.Now()
	for range 1000 {
		now := clock.Now()
		require.False(t, now.Before(before))
		before = now
	}
	require.Less(t, time.Until(clock.Real(clock.Now().Add(time.Hour))), time.Hour+time.Second)
}

func BenchmarkNow(b *testing.B) {
	for range b.N {
		_ = clock.Now()
	}
}
