// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package inforce decides when a change of the route table is acknowledged: once the new
// table will be in force everywhere within Settings.Within, not only once a quorum holds it.
//
// Entry hosts serve by a table under a lease: a confirmation that it is the newest one
// counts for the key lease. Whoever passes a confirmation on grants such a lease: the leader,
// hubs, and entry hosts that are polled in place of replicas. Each remembers which host it
// sent which version, and when, and reports in its own polls the oldest table by which it, or
// any host that it granted a lease, may serve. So the leader answers a change once each host
// that it granted a lease either serves by no older table, or holds a lease that ends within
// Settings.Within. This is write-through under leases, after Gray and Cheriton, "Leases: An
// Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency" (1989). A silent
// host holds an answer up for MaxHold at most.
//
// It owns the leases granted by one host, what that host last reported, and, on a leader,
// the answers that wait. It relies on core/host for polls and for what is committed.
//
// # Usage
//
//	s = s.WithGrant(inforce.Grant{From: from, Boot: boot, InForce: oldest, Sent: version}, now)
//	s, oldest := s.WithReport(held, settings, now)
//	s, released := s.Release(settings, view, now)
package inforce

import (
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

const (
	// DefaultInForceWithin is the time after its acknowledgement in which a table is in force
	// everywhere, as the users ask for it.
	DefaultInForceWithin = 2 * time.Second
	// margin is kept from Within for clocks that run at other rates, and for the path of
	// a request from the decision to its worker. Chosen, not measured.
	margin = 100 * time.Millisecond
	// reportGap is the least time between two polls that a host sends early because it
	// has news of what is in force. Chosen, not measured: a third of the time between
	// two polls of a small fleet.
	reportGap = 100 * time.Millisecond
)

// Settings are the bounds that a host keeps.
type Settings struct {
	// KeyLease is how long a confirmation serves requests with a key.
	KeyLease time.Duration
	// InForceWithin is the time after its acknowledgement in which a table is in force; 0 is
	// DefaultWithin.
	InForceWithin time.Duration
	// WarmUp is how long a replica that starts is polled before it knows who holds
	// leases: longer than hosts of any fleet leave between two polls.
	WarmUp time.Duration
}

// MaxAckDelay is how long after it was sent an older table a silent host may hold an
// acknowledgement up.
func (s Settings) MaxAckDelay() time.Duration {
	within := s.InForceWithin
	if within <= 0 {
		within = DefaultInForceWithin
	}
	return max(0, s.KeyLease-within+margin)
}

// WithAckDelay returns the bounds for something that must be in force within a time of its
// acknowledgement: that is held up for as long as leases need, and at least for hold.
func (s Settings) WithAckDelay(hold, within time.Duration) Settings {
	s.InForceWithin = min(within, max(s.KeyLease+margin-hold, time.Nanosecond))
	return s
}

// HostInfo is what the host knows besides.
type HostInfo struct {
	Self ident.Host
	// Started is when this process started, LeaderSince when it last became leader.
	Started     time.Time
	LeaderSince time.Time
}

// State is what a host keeps of tables in force. It is immutable; the zero value has
// granted no lease.
type State struct {
	leases table.Table[ident.Host, lease]
	// waiting are the answers that wait for a table to be in force, on the leader.
	waiting table.Table[string, waitingAnswer]
	// committedAt is when the newest table was committed here.
	committedAt time.Time
	// reported is the oldest table in force that this host reported last.
	reported   config.Version
	reportedAt time.Time
}

// Grant is a poll of another host, whose reply grants it a lease.
type Grant struct {
	From ident.Host
	// Boot is the start of the other host's process.
	Boot uint64
	// OldestInForce is the oldest table by which the other host, or any that it granted a
	// lease, may serve, as it reports.
	OldestInForce config.Version
	// SentVersion is the version that the reply names the newest.
	SentVersion config.Version
}

// WithGrant remembers the lease that the reply to a poll grants. An earlier process of
// the host holds no lease any more.
func (s State) WithGrant(g Grant, now time.Time) State {
	l, known := s.leases.Get(g.From)
	if known && g.Boot != l.boot {
		l = lease{}
	}
	l.boot = g.Boot
	l.inForce = max(l.inForce, g.OldestInForce)
	s.leases = s.leases.With(g.From, l.withSent(g.SentVersion, now))
	return s
}

// WithoutExpired drops the leases that have ended.
func (s State) WithoutExpired(set Settings, now time.Time) State {
	for id, l := range s.leases.All() {
		if now.Sub(l.sentAt) >= set.KeyLease {
			s.leases = s.leases.Without(id)
		}
	}
	return s
}

// OldestInForce is the oldest table by which this host, which holds a version, or any that it
// granted a lease, may serve.
func (s State) OldestInForce(held config.Version, set Settings, now time.Time) config.Version {
	oldest := held
	for _, l := range s.leases.All() {
		if l.inForce < oldest && now.Sub(l.lastSentBefore(oldest)) < set.KeyLease {
			oldest = l.inForce
		}
	}
	return oldest
}

// ReportDue tells whether this host has news of what is in force, for which a leader may
// wait, so that it polls before its time.
func (s State) ReportDue(held config.Version, set Settings, now time.Time) bool {
	return now.Sub(s.reportedAt) >= reportGap && s.OldestInForce(held, set, now) > s.reported
}

// TakeReport returns the oldest table in force, to be reported in polls now.
func (s State) TakeReport(held config.Version, set Settings, now time.Time) (State, config.Version) {
	s.reported, s.reportedAt = s.OldestInForce(held, set, now), now
	return s, s.reported
}

// WithCommit notes that another table has taken the place of the newest one.
func (s State) WithCommit(now time.Time) State {
	s.committedAt = now
	return s
}

// WillBeInForce tells whether a table that is committed here will be in force everywhere within
// Settings.Within, and if not, one host that may serve by an older one; this host itself
// stands for those that it does not know yet.
func (s State) WillBeInForce(v config.Version, set Settings, view HostInfo, now time.Time) (ok bool, waitsFor ident.Host) {
	hold := set.MaxAckDelay()
	if now.Sub(s.committedAt) >= hold && now.Sub(view.Started) >= hold {
		// No older table was confirmed since.
		return true, ""
	}
	if now.Sub(view.Started) < set.WarmUp {
		return false, view.Self
	}
	for id, l := range s.leases.All() {
		sent := l.lastSentBefore(v)
		if l.inForce >= v || sent.IsZero() {
			continue
		}
		if sent.Before(view.LeaderSince) {
			// The leader before may have sent it later.
			sent = view.LeaderSince
		}
		if now.Sub(sent) < hold {
			return false, id
		}
	}
	return true, ""
}
