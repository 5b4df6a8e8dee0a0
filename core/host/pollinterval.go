// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"time"

	"github.com/yardhall/yardhall/core/hash"
)

// pollInterval returns the time between two polls, which grows with the number of hosts that
// poll replicas. Until a reply has named that number, it doubles with each round: hundreds of hosts
// that start together would otherwise poll at the rate of a small fleet while they get no replies.
func (t *transition) pollInterval() time.Duration {
	polling := t.seeded.hosts
	if n := t.seeded.hub.list.Len(); n > 0 {
		polling = n
	}
	if polling == 0 {
		return t.startInterval()
	}
	return min(max(minPollInterval, time.Duration(polling)*pollIntervalPerHost), maxPollInterval)
}

// startJitter is the share by which the time between two rounds of polls before the first reply is longer or
// shorter.
const startJitter = 0.2

// startInterval returns the time until the next round of polls before the first reply. Without jitter, hundreds of
// hosts that started together come back together: most of their connections wait too long for a handshake and are
// closed, and the replicas are idle until the next round.
func (t *transition) startInterval() time.Duration {
	interval := min(minPollInterval<<min(t.seeded.startRounds, maxStartDoublings), maxPollInterval)
	spread := time.Duration(2 * startJitter * float64(interval))
	draw := hash.Of("start", string(t.settings.ID), fmt.Sprint(t.settings.Incarnation, t.seeded.startRounds))
	return interval - spread/2 + time.Duration(uint64(draw)%uint64(spread)) //nolint:gosec // Intervals are positive and far below the limits of both types.
}
