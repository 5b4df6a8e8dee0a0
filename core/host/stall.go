// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/requests"
)

// stallTime is the time without any event, ticks included, after which the process counts as having
// stood still: twenty ticks.
const stallTime = time.Second

// noteStall detects that the process stood still. Requests then wait for news of workers.
func (t *transition) noteStall() {
	if !t.settings.Seeded() || !t.settings.Serves {
		return
	}
	if last := t.seeded.lastEventAt; !last.IsZero() && t.now.Sub(last) > stallTime {
		t.askForDepartures()
		t.counters.Stalls++
	}
	t.seeded.lastEventAt = t.now
}

// askForDepartures polls at once, also a replica, and has requests wait for the reply
// (requests.State.WithResumedAt).
func (t *transition) askForDepartures() {
	t.requests = t.requests.WithResumedAt(t.now)
	t.seeded.pollAt = t.now
	if t.pollsHubs() && t.hubsSilent() {
		t.seeded.hub.pollReplicasAt = t.now
	}
}

// askIfOutdated asks for news of workers before a request is decided on, if what is known of them is old.
func (t *transition) askIfOutdated(ev requests.Event) {
	if _, isArrival := ev.(requests.Arrived); !isArrival || !t.settings.Seeded() || !t.requests.MustAsk(t.now) {
		return
	}
	t.askForDepartures()
	t.counters.DeparturesAsked++
	t.tickPolls()
}
