// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/confirmation"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// pollReplied takes the reply of a replica or a hub.
func (t *transition) pollReplied(from ident.Host, m PollReply) {
	if m.Neighbour {
		t.fallbackReplied(from, m)
		return
	}
	t.noteReply(from, m)
	t.keepRegistrations(t.takeRegistrations(from, m))
	t.handleCrashEntries(from, m.CrashEntries)
	t.takeHubList(m)
	t.takeFallbackPeers(m)
	t.takeTable(m)
	t.applyZones(from, m.Zones)
	sent, known := t.takeRound(m.Round)
	if m.Summed && known {
		t.seeded.loadsAt = t.now.Add(time.Duration(len(m.Loads)) * loadByteTime)
		// Loads are summed up to half an interval before the reply.
		t.takeLoads(m.Loads, sent.Add(-t.pollInterval()/2-m.LoadsAge))
	}
	if !m.Fresh {
		// A fleet that starts has no leader yet, and must not poll its replicas as often
		// as a small one may.
		t.seeded.hosts = max(t.seeded.hosts, m.Hosts)
		t.followLeader(from, m.Leader)
		return
	}
	t.seeded.leaderContact, t.seeded.leaderReplyAt = from, t.now
	t.seeded.replicas = m.Replicas
	t.noteNewestTable(m.Version)
	if m.Hosts > 0 {
		t.seeded.hosts = m.Hosts
		t.requests = t.requests.WithHostCount(m.Hosts)
	}
	if known {
		t.takeConfirmation(m, sent)
	}
}

// takeRound returns when the poll of a round was sent; not known for an update that no
// poll asked for, and for a late reply.
func (t *transition) takeRound(round uint64) (sent time.Time, known bool) {
	sent, known = t.seeded.rounds.Get(round)
	t.seeded.rounds = t.seeded.rounds.Without(round)
	return sent, known
}

// takeConfirmation takes a reply that names the newest table, where this host holds it.
func (t *transition) takeConfirmation(m PollReply, sent time.Time) {
	if t.config.Version >= m.Version {
		t.reduceRequests(requests.Confirmed{Confirmation: confirmation.FromReply(sent, m.Age)})
	}
}

// takeRegistrations takes the workers that a reply reports.
func (t *transition) takeRegistrations(from ident.Host, m PollReply) []registry.Worker {
	workers, err := registry.Unpack(m.Workers)
	if err != nil {
		t.log(LogReplicaContact, string(from), "sent registrations that cannot be read: "+err.Error())
	}
	workers, err = registry.Checked(workers)
	if err != nil {
		t.log(LogReplicaContact, string(from), "sent a registration that cannot be used: "+err.Error())
	}
	if len(workers) == 0 {
		return nil
	}
	t.reduceRequests(requests.Registered{From: from, Workers: workers})
	return workers
}

// tableOverdue tells whether a newer table has been known for so long that the leader is
// asked for it itself.
func (t *transition) tableOverdue() bool {
	since := t.seeded.newerKnownAt
	return t.config.Version == 0 || !since.IsZero() && t.now.Sub(since) > t.pollInterval()
}

// noteNewestTable takes note of a table that was the newest one, and since when a newer one
// than the one held is known of.
func (t *transition) noteNewestTable(v config.Version) {
	s := &t.seeded
	s.newest = max(s.newest, v)
	switch newerKnown := t.config.Version < s.newest; {
	case !newerKnown:
		s.newerKnownAt = time.Time{}
	case s.newerKnownAt.IsZero():
		s.newerKnownAt = t.now
	}
	t.requests = t.requests.WithNewerTableKnown(!s.newerKnownAt.IsZero())
}

// followLeader turns to the leader that the leader contact knows of. A contact that knows
// none, or is cut off itself, is left after a while (pickLeaderContact).
func (t *transition) followLeader(from, leader ident.Host) {
	if from != t.seeded.leaderContact || leader == "" || leader == from || t.pollsHubs() {
		return
	}
	t.seeded.leaderContact = leader
	t.sendPoll(leader, t.poll(leader))
}

// takeTable puts a newer route table in force. A delta from another table than the one
// held is dropped; the next poll asks again.
func (t *transition) takeTable(m PollReply) {
	if len(m.Gateway) == 0 || m.Version <= t.config.Version {
		return
	}
	routes, err := t.unpackTable(m)
	if err != nil {
		t.counters.StaleConfig++
		return
	}
	next := t.config
	next.Version, next.Gateway = m.Version, routes
	t.useConfig(next)
}

func (t *transition) unpackTable(m PollReply) (config.RouteTable, error) {
	if m.Base == 0 {
		return config.UnpackRouteTable(m.Gateway)
	}
	if m.Base != t.config.Version {
		return config.RouteTable{}, errors.Errorf("a delta from version %d, held is %d", m.Base, t.config.Version)
	}
	d, err := config.UnpackRouteTableDelta(m.Gateway)
	if err != nil {
		return config.RouteTable{}, err
	}
	return t.config.Gateway.WithDelta(d)
}

// noteReply records that a contact replied, and how far its registry is known.
func (t *transition) noteReply(from ident.Host, m PollReply) {
	c, known := t.seeded.contacts.Get(from)
	if !known || c.lost {
		t.log(LogReplicaContact, string(from), "found")
	}
	c.lastReply, c.lost, c.crashList = t.now, false, m.CrashList
	if !m.Cut {
		c.lastUsefulReply = t.now
		if t.seeded.hub.choice.Has(from) {
			t.seeded.hub.choice = t.seeded.hub.choice.WithUsefulReply(t.now)
		}
	}
	switch {
	case c.epoch != m.Epoch && m.Since == 0:
		c.epoch, c.revision = m.Epoch, m.Revision
	case c.epoch == m.Epoch && m.Since <= c.revision:
		c.revision = max(c.revision, m.Revision)
	}
	t.seeded.contacts = t.seeded.contacts.With(from, c)
}
