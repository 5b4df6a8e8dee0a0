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

// syncAnswered takes what a replica or a hub told.
func (t *turn) syncAnswered(from ident.Host, m SyncAnswer) {
	if m.Neighbour {
		t.neighbourAnswered(from, m)
		return
	}
	t.hearContact(from, m)
	if workers, err := registry.Unpack(m.Workers); err == nil && len(workers) > 0 {
		t.routed(requests.Registered{From: from, Workers: workers})
		t.heardAsHub(workers)
	}
	t.takeHubs(m)
	t.takeNeighbours(m)
	if len(m.Gateway) > 0 && m.Version > t.config.Version {
		t.takeGateway(m)
	}
	asked, known := t.sync.rounds.Get(m.Round)
	t.sync.rounds = t.sync.rounds.Without(m.Round)
	if m.Summed && known {
		t.sync.loadsAt = t.now.Add(time.Duration(len(m.Loads)) * loadByteTime)
		t.toldLoads(m.Loads, asked.Add(-t.syncInterval()/2-m.LoadsAge))
	}
	if !m.Fresh {
		// A fleet that starts has no leader yet, and must not ask its replicas as
		// often as a small one may.
		t.sync.hosts = max(t.sync.hosts, m.Hosts)
		t.followLeader(from, m.Leader)
		return
	}
	t.sync.lead, t.sync.leadAt = from, t.now
	t.sync.replicas = m.Replicas
	t.noteNewest(m.Version)
	if m.Hosts > 0 {
		t.sync.hosts = m.Hosts
		t.requests = t.requests.WithHosts(m.Hosts)
	}
	if known && t.config.Version >= m.Version {
		// A hub's word is counted from before this host asked, so that a hub that
		// is held up makes it older and never younger.
		t.routed(requests.Confirmed{AsOf: asked.Add(-m.Age)})
	}
}

// behind tells whether the leader has named a newer table for so long that it
// is asked for it itself.
func (t *turn) behind() bool {
	return t.config.Version == 0 || !t.sync.behindAt.IsZero() && t.now.Sub(t.sync.behindAt) > t.syncInterval()
}

// followLeader turns to the leader that the replica asked last knows of. One
// that knows none, or is cut off itself, is left after leadTimeout.
func (t *turn) followLeader(from, leader ident.Host) {
	if from != t.sync.lead || leader == "" || leader == from || t.followsHubs() {
		return
	}
	t.sync.lead = leader
	t.sendSync(leader, t.question(leader))
}

// takeGateway puts a newer route table in force. A delta from another table
// than the one held is left; the next question asks again.
func (t *turn) takeGateway(m SyncAnswer) {
	g, err := t.unpackGateway(m)
	if err != nil {
		t.counters.StaleConfig++
		return
	}
	next := t.config
	next.Version, next.Gateway = m.Version, g
	t.useConfig(next)
}

func (t *turn) unpackGateway(m SyncAnswer) (config.RouteTable, error) {
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

// hearContact records how far the registry of a replica is known.
func (t *turn) hearContact(from ident.Host, m SyncAnswer) {
	c, known := t.sync.contacts.Get(from)
	if !known || c.lost {
		t.note(NoteReplica, string(from), "found")
	}
	c.heard, c.lost = t.now, false
	if !m.Cut {
		c.useful = t.now
		if t.sync.hub.asked.Has(from) {
			t.sync.hub.usefulAt = t.now
		}
	}
	switch {
	case c.epoch != m.Epoch && m.Since == 0:
		c.epoch, c.revision = m.Epoch, m.Revision
	case c.epoch == m.Epoch && m.Since <= c.revision:
		c.revision = max(c.revision, m.Revision)
	}
	t.sync.contacts = t.sync.contacts.With(from, c)
}

// routed feeds the gateway and carries out what it decides.
func (t *turn) routed(ev requests.Event) {
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
