// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import "time"

// pollInterval returns the time between two polls, which grows with the number of hosts that
// poll replicas. Until a reply has named that number, it doubles with each round: hundreds of hosts
// that start together would otherwise poll at the rate of a small fleet while they get no replies.
func (t *transition) pollInterval() time.Duration {
	polling := t.seeded.hosts
	if n := t.seeded.hub.list.Len(); n > 0 {
		polling = n
	}
	if polling == 0 {
		return min(minPollInterval<<min(t.seeded.startRounds, maxStartDoublings), maxPollInterval)
	}
	return min(max(minPollInterval, time.Duration(polling)*pollIntervalPerHost), maxPollInterval)
}
