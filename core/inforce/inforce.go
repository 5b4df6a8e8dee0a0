// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package inforce decides when a change of the route table is acknowledged: not as soon as a
// quorum holds the new table, but once it will be in force on every host within
// Settings.InForceWithin.
//
// Entry hosts apply a table under a lease: a confirmation that it is the newest one is valid
// for the key lease. Leases are granted by whoever sends confirmations: the leader, hubs, and
// entry hosts that are polled instead of replicas. Each of them records which version it sent
// to which host and when, and reports in its own polls the oldest table that it, or any host
// to which it granted a lease, may still apply. The leader acknowledges a change once every
// host to which it granted a lease either applies no older table, or holds a lease that ends
// within Settings.InForceWithin. This is write-through under leases, after Gray and Cheriton,
// "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency"
// (1989). A host that stops polling delays an acknowledgement by at most MaxAckDelay.
//
// State keeps the leases granted by one host, what that host last reported and, on a leader,
// the pending writes. Package core/host provides polls and commits.
//
// # Usage
//
//	s = s.WithGrant(inforce.Grant{From: from, Incarnation: incarnation, OldestInForce: oldest, SentVersion: version}, now)
//	s, oldest := s.TakeReport(currentVersion, settings, now)
//	s, released := s.ReleaseWrites(settings, host, now)
package inforce

import (
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

const (
	// DefaultInForceWithin is the default of Settings.InForceWithin.
	DefaultInForceWithin = 2 * time.Second
	// safetyMargin is subtracted from InForceWithin for clocks that run at different rates, and
	// for the time between the routing of a request and its arrival at the worker.
	safetyMargin = 100 * time.Millisecond
	// minReportInterval is the minimum time between two early polls that report a newer table in
	// force.
	minReportInterval = 100 * time.Millisecond
)

// Settings are the time limits that a host applies.
type Settings struct {
	// KeyLease is how long a confirmation allows a host to serve requests authenticated by an API
	// key.
	KeyLease time.Duration
	// InForceWithin is how long after its acknowledgement a table is in force on every host; 0
	// means DefaultInForceWithin.
	InForceWithin time.Duration
	// WarmUp is how long a started replica is polled before it knows all lease holders: longer
	// than the poll interval of hosts in a fleet of any size.
	WarmUp time.Duration
}

// MaxAckDelay returns how long a host that was sent an older table, and then stops polling, may
// delay an acknowledgement.
func (s Settings) MaxAckDelay() time.Duration {
	within := s.InForceWithin
	if within <= 0 {
		within = DefaultInForceWithin
	}
	return max(0, s.KeyLease-within+safetyMargin)
}

// WithAckDelay returns the settings for a state that must be in force within the given time of
// its acknowledgement, with a MaxAckDelay of at least minDelay.
func (s Settings) WithAckDelay(minDelay, inForceWithin time.Duration) Settings {
	s.InForceWithin = min(inForceWithin, max(s.KeyLease+safetyMargin-minDelay, time.Nanosecond))
	return s
}

// HostInfo is what the caller provides about this host.
type HostInfo struct {
	Self ident.Host
	// Started is when this process started, LeaderSince when it last became leader.
	Started     time.Time
	LeaderSince time.Time
}

// State tracks which tables are in force. It is immutable; the zero value has granted no lease.
type State struct {
	leases table.Table[ident.Host, lease]
	// heldWrites are the writes that wait for their table to be in force, on the leader.
	heldWrites table.Table[string, heldWrite]
	// committedAt is when the newest table was committed on this host.
	committedAt time.Time
	// reported is the oldest table in force that this host last reported.
	reported   config.Version
	reportedAt time.Time
}

// Grant is a poll of another host; the reply grants that host a lease.
type Grant struct {
	From ident.Host
	// Incarnation is that of the other host's process.
	Incarnation uint64
	// OldestInForce is the oldest table that the other host, or any host to which it granted a
	// lease, may still apply, as it reports.
	OldestInForce config.Version
	// SentVersion is the version that the reply confirms as the newest.
	SentVersion config.Version
}

// WithGrant records the lease granted by the reply to a poll. It replaces the lease of an earlier
// process of that host.
func (s State) WithGrant(g Grant, now time.Time) State {
	l, known := s.leases.Get(g.From)
	if known && g.Incarnation != l.incarnation {
		l = lease{}
	}
	l.incarnation = g.Incarnation
	l.inForce = max(l.inForce, g.OldestInForce)
	s.leases = s.leases.With(g.From, l.withSent(g.SentVersion, now))
	return s
}

// WithoutExpired drops the leases that have expired.
func (s State) WithoutExpired(settings Settings, now time.Time) State {
	for id, l := range s.leases.All() {
		if now.Sub(l.sentAt) >= settings.KeyLease {
			s.leases = s.leases.Without(id)
		}
	}
	return s
}

// OldestInForce returns the oldest table that this host, which holds the given version, or any
// host to which it granted a lease, may still apply.
func (s State) OldestInForce(current config.Version, settings Settings, now time.Time) config.Version {
	oldest := current
	for _, l := range s.leases.All() {
		if l.inForce < oldest && now.Sub(l.lastSentBefore(oldest)) < settings.KeyLease {
			oldest = l.inForce
		}
	}
	return oldest
}

// ReportDue reports whether this host should poll early, as it can report a newer table in force
// and the leader may be waiting for that.
func (s State) ReportDue(current config.Version, settings Settings, now time.Time) bool {
	return now.Sub(s.reportedAt) >= minReportInterval && s.OldestInForce(current, settings, now) > s.reported
}

// TakeReport returns the oldest table in force, and records that it is reported now.
func (s State) TakeReport(current config.Version, settings Settings, now time.Time) (State, config.Version) {
	s.reported, s.reportedAt = s.OldestInForce(current, settings, now), now
	return s, s.reported
}

// WithCommit records that a newer table was committed.
func (s State) WithCommit(now time.Time) State {
	s.committedAt = now
	return s
}

// WillBeInForce reports whether a committed table will be in force on every host within
// Settings.InForceWithin, and if not, one host that may still apply an older one. During the
// warm-up that is this host itself, as it does not know all lease holders yet.
func (s State) WillBeInForce(v config.Version, settings Settings, host HostInfo, now time.Time) (ok bool, blockedBy ident.Host) {
	maxDelay := settings.MaxAckDelay()
	if now.Sub(s.committedAt) >= maxDelay && now.Sub(host.Started) >= maxDelay {
		// No older table has been confirmed since the commit.
		return true, ""
	}
	if now.Sub(host.Started) < settings.WarmUp {
		return false, host.Self
	}
	for id, l := range s.leases.All() {
		sent := l.lastSentBefore(v)
		if l.inForce >= v || sent.IsZero() {
			continue
		}
		if sent.Before(host.LeaderSince) {
			// The previous leader may have sent it later.
			sent = host.LeaderSince
		}
		if now.Sub(sent) < maxDelay {
			return false, id
		}
	}
	return true, ""
}
