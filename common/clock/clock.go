// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package clock tells the time by which leases, ages and deadlines are measured. A machine
// may be suspended for seconds. The clock behind time.Now does not count that time, so that
// a process that wakes would go on by a lease that has long ended; this one counts it, and
// like time.Now minds no change of the time of day.
//
// # Usage
//
//	now := clock.Now()
//	ctx, cancel := context.WithDeadline(ctx, clock.Real(now.Add(limit)))
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// leastSuspension is the least difference between the clocks that counts: below it
	// they are only read one after the other.
	leastSuspension = 50 * time.Millisecond
	// readTime bounds the time between the reads of a pair of clocks, readTries how often
	// a pair is read that took longer, as the process lost the processor in between.
	readTime  = time.Millisecond
	readTries = 3
)

// Clock compares a clock that counts suspensions with one that does not. The zero Clock
// counts none.
type Clock struct {
	// boot counts suspensions, steady does not; both begin anywhere.
	boot   func() (time.Duration, bool)
	steady func() time.Duration
	// start is how far boot was ahead of steady at first, counted how much it has gained
	// since.
	start   time.Duration
	counted atomic.Int64
}

// New returns a clock over a pair of clocks.
func New(boot func() (time.Duration, bool), steady func() time.Duration) *Clock {
	c := &Clock{boot: boot, steady: steady}
	c.start, _ = c.ahead()
	return c
}

// ahead is how far boot is ahead of steady; not known where the clocks cannot be read
// together.
func (c *Clock) ahead() (time.Duration, bool) {
	for range readTries {
		before := c.steady()
		boot, ok := c.boot()
		if !ok {
			return 0, false
		}
		if after := c.steady(); after-before <= readTime {
			return boot - after, true
		}
	}
	return 0, false
}

// Suspended is for how long the machine was suspended since the clock began.
func (c *Clock) Suspended() time.Duration {
	counted := time.Duration(c.counted.Load())
	ahead, ok := c.ahead()
	if gained := ahead - c.start; ok && gained-counted >= leastSuspension {
		c.counted.CompareAndSwap(int64(counted), int64(gained))
	}
	return time.Duration(c.counted.Load())
}

var (
	begun  = time.Now()
	system = New(bootTime, func() time.Duration { return time.Since(begun) })
)

// bootTime reads the clock of the system that counts suspensions.
func bootTime() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}

// Now is the present time. It never goes back.
func Now() time.Time {
	suspended := system.Suspended()
	return time.Now().Add(suspended)
}

// Suspended is for how long the machine was suspended until Now was last called: by so much
// is Now ahead of the time of day.
func Suspended() time.Duration { return time.Duration(system.counted.Load()) }

// Real is a time of this clock as timers, contexts and connections take it.
func Real(t time.Time) time.Time { return t.Add(-Suspended()) }
