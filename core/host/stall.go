// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import "time"

// stallTime is the time without any event, ticks included, after which the process counts as having
// stood still: twenty ticks.
const stallTime = time.Second

// noteStall detects that the process stood still, and has it poll at once, also a replica if hubs were silent
// before: requests wait for the reply (requests.State.WithResumedAt).
func (t *transition) noteStall() {
	if !t.settings.Seeded() || !t.settings.Serves {
		return
	}
	if last := t.seeded.lastEventAt; !last.IsZero() && t.now.Sub(last) > stallTime {
		t.requests = t.requests.WithResumedAt(t.now)
		t.seeded.pollAt, t.seeded.hub.pollReplicasAt = t.now, t.now
		t.counters.Stalls++
	}
	t.seeded.lastEventAt = t.now
}
