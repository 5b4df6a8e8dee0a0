// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// pollReplied takes what a replica or a hub told.
func (t *transition) pollReplied(from ident.Host, m PollReply) {
	if m.Neighbour {
		t.fallbackReplied(from, m)
		return
	}
	t.noteReply(from, m)
	if workers, err := registry.Unpack(m.Workers); err == nil && len(workers) > 0 {
		t.reduceRequests(requests.Registered{From: from, Workers: workers})
		t.keepRegistrations(workers)
	}
	t.takeHubList(m)
	t.takeFallbackPeers(m)
	if len(m.Gateway) > 0 && m.Version > t.config.Version {
		t.takeTable(m)
	}
	asked, known := t.seeded.rounds.Get(m.Round)
	t.seeded.rounds = t.seeded.rounds.Without(m.Round)
	if m.Summed && known {
		t.seeded.loadsAt = t.now.Add(time.Duration(len(m.Loads)) * loadByteTime)
		t.takeLoads(m.Loads, asked.Add(-t.pollInterval()/2-m.LoadsAge))
	}
	if !m.Fresh {
		// A fleet that starts has no leader yet, and must not ask its replicas as
		// often as a small one may.
		t.seeded.hosts = max(t.seeded.hosts, m.Hosts)
		t.followLeader(from, m.Leader)
		return
	}
	t.seeded.leaderContact, t.seeded.leaderReplyAt = from, t.now
	t.seeded.replicas = m.Replicas
	t.noteNewestTable(m.Version)
	if m.Hosts > 0 {
		t.seeded.hosts = m.Hosts
		t.requests = t.requests.WithHosts(m.Hosts)
	}
	if known && t.config.Version >= m.Version {
		// A hub's word is counted from before this host asked, so that a hub that
		// is held up makes it older and never younger.
		t.reduceRequests(requests.Confirmed{AsOf: asked.Add(-m.Age)})
	}
}

// tableOverdue tells whether the leader has named a newer table for so long that it
// is asked for it itself.
func (t *transition) tableOverdue() bool {
	return t.config.Version == 0 || !t.seeded.newerKnownAt.IsZero() && t.now.Sub(t.seeded.newerKnownAt) > t.pollInterval()
}

// followLeader turns to the leader that the replica asked last knows of. One
// that knows none, or is cut off itself, is left after leadTimeout.
func (t *transition) followLeader(from, leader ident.Host) {
	if from != t.seeded.leaderContact || leader == "" || leader == from || t.pollsHubs() {
		return
	}
	t.seeded.leaderContact = leader
	t.sendPoll(leader, t.poll(leader))
}

// takeTable puts a newer route table in force. A delta from another table
// than the one held is left; the next question asks again.
func (t *transition) takeTable(m PollReply) {
	g, err := t.unpackTable(m)
	if err != nil {
		t.counters.StaleConfig++
		return
	}
	next := t.config
	next.Version, next.Gateway = m.Version, g
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

// noteReply records how far the registry of a replica is known.
func (t *transition) noteReply(from ident.Host, m PollReply) {
	c, known := t.seeded.contacts.Get(from)
	if !known || c.lost {
		t.note(NoteReplica, string(from), "found")
	}
	c.lastReply, c.lost = t.now, false
	if !m.Cut {
		c.lastUsefulReply = t.now
		if t.seeded.hub.polled.Has(from) {
			t.seeded.hub.usefulAt = t.now
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

// reduceRequests feeds the gateway and carries out what it decides.
func (t *transition) reduceRequests(ev requests.Event) {
	next, decisions := requests.Reduce(t.requests, ev, t.now)
	t.requests = next
	for _, d := range decisions {
		switch d := d.(type) {
		case requests.WorkerChanged:
			t.note(NoteWorker, string(d.Worker.ID), fmt.Sprintf("usable=%t state=%s seq=%d at=%s failures=%d why=%q",
				d.Healthy, d.Worker.State, d.Worker.Seq, d.Worker.Address, d.Failures, d.Why))
		case requests.ZoneChanged:
			t.note(NoteZone, string(d.Zone), fmt.Sprintf("reached=%t others=%t missed=%s", d.Reachable, d.AllOthers, d.LastFailed))
		default:
			t.emit(RequestDecision{Decision: d})
		}
	}
}
