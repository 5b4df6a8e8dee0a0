// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package hubs

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// A host polls PolledAtOnce hubs, so that it misses nothing while one is lost: those of its
// own zone first, in another order for each host, so that each hub has about as many
// clients. A hub without a useful reply for a timeout is passed over for avoidance. Without
// any useful hub for FailedAfter, replicas are polled.
//
// Inputs: the list of hubs, when each gave its last useful reply, the host's zone.
const (
	// MaxPolled is how many hubs a host polls.
	MaxPolled = 2
	// avoidance is how long a hub without a useful reply is passed over. Chosen, not
	// measured.
	avoidance = 5 * time.Second
	// FailureTimeout is half of the default key lease.
	FailureTimeout = 2 * time.Second
)

// PollSet are the hubs that a host polls. It is immutable; the zero value polls none.
type PollSet struct {
	// polled are they, by since when; avoided are those without a useful reply, by when
	// they were passed over.
	polled  table.Table[ident.Host, time.Time]
	avoided table.Table[ident.Host, time.Time]
	// usefulAt is when any of them gave a useful reply last.
	usefulAt time.Time
}

// Self is the host that chooses.
type Self struct {
	ID   ident.Host
	Zone ident.Zone
}

// Updated returns the choice among the hubs of a list; lastUseful is when a hub gave its
// last useful reply, timeout how long it may give none.
func (c PollSet) Updated(list []Host, self Self, lastUseful func(ident.Host) time.Time, timeout time.Duration, now time.Time) PollSet {
	for id, since := range c.polled.All() {
		if now.Sub(since) > timeout && now.Sub(lastUseful(id)) > timeout {
			c.avoided = c.avoided.With(id, now)
		}
	}
	for id, since := range c.avoided.All() {
		if now.Sub(since) > avoidance {
			c.avoided = c.avoided.Without(id)
		}
	}
	c.polled = c.picked(list, self, now)
	return c
}

// picked are the hubs that rank first for the host and are not avoided.
func (c PollSet) picked(list []Host, self Self, now time.Time) table.Table[ident.Host, time.Time] {
	key := hash.Of("hub of", string(self.ID))
	ranked := slices.Clone(list)
	slices.SortFunc(ranked, func(a, b Host) int {
		if near := a.Zone == self.Zone; near != (b.Zone == self.Zone) {
			return SortOrder(near)
		}
		return byRank(key, a, b)
	})
	var polled table.Table[ident.Host, time.Time]
	for _, hub := range ranked {
		if polled.Len() == MaxPolled {
			break
		}
		if c.avoided.Has(hub.Host) {
			continue
		}
		since, ok := c.polled.Get(hub.Host)
		if !ok {
			since = now
		}
		polled = polled.With(hub.Host, since)
	}
	return polled
}

// Cleared returns the choice of a host that polls no hubs.
func (c PollSet) Cleared() PollSet {
	c.polled = table.Table[ident.Host, time.Time]{}
	return c
}

// Polled are the hubs that the host polls, in the order of their names.
func (c PollSet) Polled() []ident.Host {
	out := make([]ident.Host, 0, MaxPolled)
	for h := range c.polled.All() {
		out = append(out, h)
	}
	return out
}

// Has tells whether the host polls a hub.
func (c PollSet) Has(id ident.Host) bool { return c.polled.Has(id) }

// WithUsefulReply notes a useful reply of a hub, or that hubs have just come into force.
func (c PollSet) WithUsefulReply(now time.Time) PollSet {
	c.usefulAt = now
	return c
}

// Failed tells whether no hub has given a useful reply for so long that replicas must be
// polled.
func (c PollSet) Failed(now time.Time) bool { return now.Sub(c.usefulAt) > FailureTimeout }
