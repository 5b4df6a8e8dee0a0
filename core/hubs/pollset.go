// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package hubs

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// A host polls MaxPolled hubs, so that it misses nothing if one fails. It prefers hubs of its own
// zone and ranks them by a hash that includes its id, so that clients spread evenly over the
// hubs. A hub that gives no useful reply within a timeout is avoided for avoidDuration. If no hub
// gives one for FailureTimeout, the host polls replicas instead.
const (
	// MaxPolled is the number of hubs that a host polls.
	MaxPolled = 2
	// avoidDuration is how long a hub that gave no useful reply is not polled.
	avoidDuration = 5 * time.Second
	// FailureTimeout is half of the default key lease.
	FailureTimeout = 2 * time.Second
	// SilenceTimeout is how long hubs may give no useful reply before a host polls a replica, another one
	// each time: two polls of a large fleet.
	SilenceTimeout = time.Second
)

// PollSet is the set of hubs that a host polls. It is immutable; the zero value polls none.
type PollSet struct {
	// polled maps the hubs polled to the time since when; avoided maps hubs without a useful
	// reply to the time from which they are avoided.
	polled  table.Table[ident.Host, time.Time]
	avoided table.Table[ident.Host, time.Time]
	// usefulReplyAt is when any hub last gave a useful reply.
	usefulReplyAt time.Time
}

// Self identifies the host that selects hubs to poll.
type Self struct {
	ID   ident.Host
	Zone ident.Zone
}

// Updated selects hubs to poll from list. lastUsefulReply returns when a hub last gave a useful
// reply; a hub that gives none for longer than timeout is replaced.
func (p PollSet) Updated(list []Host, self Self, lastUsefulReply func(ident.Host) time.Time, timeout time.Duration, now time.Time) PollSet {
	for id, polledSince := range p.polled.All() {
		if now.Sub(polledSince) > timeout && now.Sub(lastUsefulReply(id)) > timeout {
			p.avoided = p.avoided.With(id, now)
		}
	}
	for id, since := range p.avoided.All() {
		if now.Sub(since) > avoidDuration {
			p.avoided = p.avoided.Without(id)
		}
	}
	p.polled = p.selectHubs(list, self, now)
	return p
}

// selectHubs returns the hubs that rank first for the host and are not avoided.
func (p PollSet) selectHubs(list []Host, self Self, now time.Time) table.Table[ident.Host, time.Time] {
	key := hash.Of("hub of", string(self.ID))
	ranked := slices.Clone(list)
	slices.SortFunc(ranked, func(a, b Host) int {
		if inZone := a.Zone == self.Zone; inZone != (b.Zone == self.Zone) {
			return SortOrder(inZone)
		}
		return byRank(key, a, b)
	})
	var polled table.Table[ident.Host, time.Time]
	for _, hub := range ranked {
		if polled.Len() == MaxPolled {
			break
		}
		if p.avoided.Has(hub.Host) {
			continue
		}
		since, ok := p.polled.Get(hub.Host)
		if !ok {
			since = now
		}
		polled = polled.With(hub.Host, since)
	}
	return polled
}

// Cleared returns the set with no hubs to poll.
func (p PollSet) Cleared() PollSet {
	p.polled = table.Table[ident.Host, time.Time]{}
	return p
}

// Polled returns the hubs polled, ordered by name.
func (p PollSet) Polled() []ident.Host {
	out := make([]ident.Host, 0, MaxPolled)
	for h := range p.polled.All() {
		out = append(out, h)
	}
	return out
}

// Has reports whether the host polls the given hub.
func (p PollSet) Has(id ident.Host) bool { return p.polled.Has(id) }

// WithUsefulReply records a useful reply of a hub, or that a list of hubs has just been adopted.
func (p PollSet) WithUsefulReply(now time.Time) PollSet {
	p.usefulReplyAt = now
	return p
}

// Failed reports whether no hub has given a useful reply for so long that the host must poll
// replicas.
func (p PollSet) Failed(now time.Time) bool { return now.Sub(p.usefulReplyAt) > FailureTimeout }

// Silent reports whether no hub has given a useful reply for so long that the host must ask a replica
// which workers leave.
func (p PollSet) Silent(now time.Time) bool { return now.Sub(p.usefulReplyAt) > SilenceTimeout }
