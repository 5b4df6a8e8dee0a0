// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import "time"

// eventPace measures the mean pause between the events of a stream after the first one. The pause
// before the second event is left out as well: some engines send the first one before they have read
// the prompt. The zero value has no event.
type eventPace struct {
	events int
	// secondAt and lastAt are when the second and the last event arrived.
	secondAt time.Time
	lastAt   time.Time
}

// with returns the pace after n more events that arrived together.
func (p eventPace) with(n int, now time.Time) eventPace {
	if p.events < 2 && p.events+n >= 2 {
		p.secondAt = now
	}
	p.events += n
	p.lastAt = now
	return p
}

// mean returns the mean pause; 0 with fewer than three events.
func (p eventPace) mean() time.Duration {
	if p.events < 3 { //nolint:mnd // The least number with a pause after the first event.
		return 0
	}
	return p.lastAt.Sub(p.secondAt) / time.Duration(p.events-2)
}
