// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// These tests guard against refusing a request that many callers send and workers answer, because
// another request crashes workers that run it too.

// popularBody is sent by many callers continuously and crashes no worker.
const popularBody = "/x/popular"

// runMixedLoad sends a crashing request and a popular one for a while.
func (f *crashFleet) runMixedLoad(d time.Duration, popular string) {
	for begun, n := f.now, 0; f.now.Sub(begun) < d; n++ {
		if n%4 == 0 {
			f.arrive(f.randomEntry(), badRequest)
		}
		if n%4 < 3 {
			f.arrive(f.randomEntry(), popular)
		}
		f.callerRetries = nil
		f.arrive(f.randomEntry(), fmt.Sprintf("/x/%d", f.count))
		f.advance(seededStep)
	}
}

// sentAfterThirdCrash counts how often a request reached a worker more than crashSpreadTime after
// its third crash.
func (f *crashFleet) sentAfterThirdCrash(path string) int {
	n := 0
	for _, at := range f.sentAt[path] {
		if len(f.crashes[path]) >= 3 && at.After(f.crashes[path][2].Add(crashSpreadTime)) {
			n++
		}
	}
	return n
}

// TestPopularRequestIsNotRefused guards against refusing a popular request that runs beside a
// crashing one, both if crashes are proved at once and if they are proved only when the next
// process registers, as behind a proxy that accepts connections for a crashed worker.
func TestPopularRequestIsNotRefused(t *testing.T) {
	for _, late := range []bool{false, true} {
		for seed := range uint64(7) {
			t.Run(fmt.Sprintf("late=%t/%d", late, seed), func(t *testing.T) {
				t.Parallel()
				f := newCrashFleet(t, 7, 24, 100+seed)
				f.connectsWhileDown = late
				f.runMixedLoad(20*time.Second, popularBody)
				require.LessOrEqual(t, f.sentAfterThirdCrash(badRequest), 3, "sent to workers after the third crash")
				require.LessOrEqual(t, len(f.refusedAt[popularBody]), f.arrivals[popularBody]/50,
					"refused of %d; the other request crashed %d workers", f.arrivals[popularBody], len(f.crashes[badRequest]))
				require.NotEmpty(t, f.refusedAt[badRequest])
			})
		}
	}
}

// TestCrashingRequestIsRefusedDespiteLateProofs guards against refusing a crashing request too late
// if each crash is proved with a delay; this seed showed the failure.
func TestCrashingRequestIsRefusedDespiteLateProofs(t *testing.T) {
	f := newCrashFleet(t, 7, 24, 111)
	f.connectsWhileDown = true
	f.runMixedLoad(20*time.Second, popularBody)
	require.LessOrEqual(t, f.sentAfterThirdCrash(badRequest), 3, "sent to workers after the third crash")
}

// TestAnsweredRequestIsRefusedOnceItCrashesWorkers guards against earlier answers that prevent the
// refusal of a request which starts to crash workers.
func TestAnsweredRequestIsRefusedOnceItCrashesWorkers(t *testing.T) {
	f := newCrashFleet(t, 7, 24, 7)
	for range 40 {
		f.answersBad = true
		f.arrive(f.randomEntry(), badRequest)
		f.advance(seededStep)
	}
	f.advance(time.Second)
	f.answersBad = false
	f.runLoad(15*time.Second, 200*time.Millisecond, badRequest)
	require.LessOrEqual(t, f.sentAfterThirdCrash(badRequest), 3)
	require.NotEmpty(t, f.refusedAt[badRequest])
}
