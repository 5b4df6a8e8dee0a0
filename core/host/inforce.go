// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/table"
)

// A route table is acknowledged once it will be in force everywhere within
// Settings.InForce, not only once a quorum holds it. Entry hosts serve by a table under
// a lease: the word of a leader that it is the newest one, which counts for the key
// lease. Leases are granted by whoever passes that word on: the leader, hubs, and entry
// hosts that are asked in place of replicas. Each remembers until when those that it has
// told may serve by which table, and says in its own questions what the oldest of these
// is. So the leader knows, and answers a change once each of those that it has told
// either serves by no older table, or has a lease that ends within InForce. This is
// write-through under leases, after Gray and Cheriton, "Leases: An Efficient
// Fault-Tolerant Mechanism for Distributed File Cache Consistency" (1989); nobody who
// is lost holds an answer up for longer than the key lease less InForce.
const (
	// defaultInForce is the time after its acknowledgement in which a table is in force.
	defaultInForce = 2 * time.Second
	// leaseWarmUp is how long a replica that starts hears hosts before it knows who
	// holds leases: longer than hosts of any fleet leave between two questions.
	leaseWarmUp = maxPollInterval + minPollInterval
	// inForceMargin is kept from InForce for clocks that run at other rates, and for the
	// way of a request from the decision to its worker.
	inForceMargin = 100 * time.Millisecond
	// reportGap is kept between two questions of a host that has something to say of
	// what is in force, which it does not keep until its next question.
	reportGap = 100 * time.Millisecond
)

// tableLease is what a host knows of one that it has told which table is the newest.
type tableLease struct {
	boot uint64
	// inForce is the oldest table by which the other host, or any that it has told in
	// turn, may serve, by its own word.
	inForce config.Version
	// newestSent is the newest version that it was told of, last at toldAt; before is when it
	// was last told of an older one.
	newestSent  config.Version
	sentAt      time.Time
	olderSentAt time.Time
}

// lastSentBefore is when the host was last told that a table older than v was the newest.
func (l tableLease) lastSentBefore(v config.Version) time.Time {
	if l.newestSent < v {
		return l.sentAt
	}
	return l.olderSentAt
}

// withSent returns the lease after the host was told of v.
func (l tableLease) withSent(v config.Version, now time.Time) tableLease {
	if v > l.newestSent {
		if l.newestSent > 0 {
			l.olderSentAt = l.sentAt
		}
		l.newestSent = v
	}
	l.sentAt = now
	return l
}

// inForceState is what a host keeps to know which tables are in force.
type inForceState struct {
	leases table.Table[ident.Host, tableLease]
	// answers wait for a table to be in force, on the leader.
	answers table.Table[string, heldAnswer]
	// committedAt is when the newest table was committed here.
	committedAt time.Time
	// reported is the oldest table in force that this host told of last, at reportedAt.
	reported   config.Version
	reportedAt time.Time
}

// heldAnswer is the answer to a write that waits until version is in force.
type heldAnswer struct {
	to      ident.Host
	result  catalog.Result
	version config.Version
	// since is when it began to wait, waitsFor the host for which it does.
	since    time.Time
	waitsFor ident.Host
}

// inForceTime is the time after its acknowledgement in which a table is in force.
func (t *transition) inForceTime() time.Duration {
	if t.settings.InForce > 0 {
		return t.settings.InForce
	}
	return defaultInForce
}

// maxHold is how long after it was told of an older table a silent host may hold an
// acknowledgement up.
func (t *transition) maxHold() time.Duration {
	return max(0, t.requests.KeyLease()-t.inForceTime()+inForceMargin)
}

// grantLease takes what a host says in a question of the tables in force there. An
// earlier process of the host holds no lease any more.
func (t *transition) grantLease(from ident.Host, m Poll) {
	l, known := t.seeded.inForce.leases.Get(from)
	if known && m.Boot != l.boot {
		l = tableLease{}
	}
	l.boot = m.Boot
	l.inForce = max(l.inForce, m.InForce)
	l = l.withSent(t.heldConfig().Version, t.now)
	t.seeded.inForce.leases = t.seeded.inForce.leases.With(from, l)
}

// forgetLeases drops what was told so long ago that it is over.
func (t *transition) forgetLeases() {
	f := &t.seeded.inForce
	for id, l := range f.leases.All() {
		if t.now.Sub(l.sentAt) >= t.requests.KeyLease() {
			f.leases = f.leases.Without(id)
		}
	}
}

// oldestInForce is the oldest table by which this host, or any that it has told, may
// serve.
func (t *transition) oldestInForce() config.Version {
	oldest := t.config.Version
	for _, l := range t.seeded.inForce.leases.All() {
		if l.inForce < oldest && t.now.Sub(l.lastSentBefore(oldest)) < t.requests.KeyLease() {
			oldest = l.inForce
		}
	}
	return oldest
}

// inForceReportDue tells whether this host has news of what is in force, which a leader may
// wait for.
func (t *transition) inForceReportDue() bool {
	f := &t.seeded.inForce
	return t.now.Sub(f.reportedAt) >= reportGap && t.oldestInForce() > f.reported
}

// reportedInForce is the oldest table in force, as said in a question.
func (t *transition) reportedInForce() config.Version {
	f := &t.seeded.inForce
	f.reported, f.reportedAt = t.oldestInForce(), t.now
	return f.reported
}

// tableCommitted notes that another table has taken the place of the newest one.
func (t *transition) tableCommitted() { t.seeded.inForce.committedAt = t.now }

// willBeInForce tells whether a table that is committed here will be in force everywhere
// within InForce, and if not, one host that may serve by an older one; this replica
// itself stands for those that it does not know yet.
func (t *transition) willBeInForce(v config.Version) (ok bool, waitsFor ident.Host) {
	f := t.seeded.inForce
	grace := t.maxHold()
	if t.now.Sub(f.committedAt) >= grace && t.now.Sub(t.started) >= grace {
		// No older table was called the newest since.
		return true, ""
	}
	if t.now.Sub(t.started) < leaseWarmUp {
		return false, t.settings.ID
	}
	for id, l := range f.leases.All() {
		told := l.lastSentBefore(v)
		if l.inForce >= v || told.IsZero() {
			continue
		}
		if told.Before(t.leaderSince) {
			// The leader before may have told it later.
			told = t.leaderSince
		}
		if t.now.Sub(told) < grace {
			return false, id
		}
	}
	return true, ""
}

// holdAnswer keeps the answer to a write until version is in force; only a leader
// knows when that is.
func (t *transition) holdAnswer(id string, to ident.Host, version config.Version, r catalog.Result) {
	if !t.seeded.inForce.answers.Has(id) {
		t.seeded.inForce.answers = t.seeded.inForce.answers.With(id, heldAnswer{to: to, result: r, version: version, since: t.now})
	}
	t.releaseAnswers()
}

// releaseAnswers gives the answers whose tables are in force. It looks at all leases,
// so it runs once a tick, not for each question.
func (t *transition) releaseAnswers() {
	f := &t.seeded.inForce
	if f.answers.Len() == 0 || !t.raft.LeaseHeld(t.now) {
		return
	}
	for id, a := range f.answers.All() {
		ok, waitsFor := t.willBeInForce(a.version)
		if !ok {
			a.waitsFor = waitsFor
			f.answers = f.answers.With(id, a)
			continue
		}
		f.answers = f.answers.Without(id)
		t.note(NoteInForce, id, fmt.Sprintf("version=%d after=%s waited_for=%s", a.version, t.now.Sub(a.since), a.waitsFor))
		if a.to == t.settings.ID {
			t.writeAnswered(id, a.result)
			continue
		}
		t.send(a.to, WriteAnswered{ID: id, Result: a.result})
	}
}

// awaitInForceReceived holds the answer to a write whose table another replica knows to be
// committed.
func (t *transition) awaitInForceReceived(from ident.Host, m AwaitInForce) {
	if t.raft.Role() != raft.Leader || t.catalog.Config.Version < m.Version {
		return
	}
	t.holdAnswer(m.ID, from, m.Version, catalog.Result{Code: catalog.OK, Version: m.Version})
}

// awaitInForce waits for the table that answers a write, which is committed, to be in
// force.
func (t *transition) awaitInForce(p pendingWrite) {
	if p.inForce == 0 {
		p.inForce = t.catalog.Config.Version
	}
	p.resend = t.now.Add(resendInterval)
	t.writes = t.writes.With(p.write.ID, p)
	if t.raft.Role() == raft.Leader {
		t.holdAnswer(p.write.ID, t.settings.ID, p.inForce, catalog.Result{Code: catalog.OK, Version: p.inForce})
		return
	}
	if leader := t.leaderHint(); leader != "" && leader.Address() != t.settings.ID {
		t.send(leader, AwaitInForce{ID: p.write.ID, Version: p.inForce})
	}
}

// changesTable tells whether a write changes the route table of a seeded fleet.
func (t *transition) changesTable(w catalog.Write) bool {
	edit, _ := w.Command.(catalog.Edit)
	switch edit.Change.(type) {
	case config.PutRouteTable, config.PatchRouteTable:
		return t.settings.Seeded()
	}
	return false
}
