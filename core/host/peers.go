// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/routing"
)

const (
	// heartbeatInterval is the time between two heartbeats of a host. Chosen, not measured.
	heartbeatInterval = time.Second
	// peerTimeout without a new heartbeat makes a host count as gone. Chosen, not measured.
	peerTimeout = 3 * time.Second
	// suspectAfter is the same for a host that has left a request unanswered.
	// Chosen, not measured.
	suspectAfter = 1300 * time.Millisecond
)

// peer is what is known of another host.
type peer struct {
	heartbeat     Heartbeat
	lastHeartbeat time.Time
	alive         bool
}

func (t *transition) tickPeers() {
	for id, p := range t.peers.All() {
		if p.alive && t.now.Sub(p.lastHeartbeat) > peerTimeout {
			t.peerDown(id, p)
		}
	}
	if t.now.Before(t.nextHeartbeatAt) && !t.crashHeartbeatDue() {
		return
	}
	t.nextHeartbeatAt = t.now.Add(heartbeatInterval)
	t.sendHeartbeats()
	t.backUpChats()
}

func (t *transition) peerDown(id ident.Host, p peer) {
	p.alive = false
	t.peers = t.peers.With(id, p)
	t.gatherLoads()
	t.log(LogHostDown, string(id), "")
	t.dropRouterPermits(id, 0)
	t.ownersChanged()
}

// suspect takes a silent host for gone sooner, once it does not answer either.
func (t *transition) suspect(id ident.Host) {
	if p, ok := t.peers.Get(id); ok && p.alive && t.now.Sub(p.lastHeartbeat) > suspectAfter {
		t.peerDown(id, p)
	}
}

// sendHeartbeats tells every other host that this one lives and what it owns.
func (t *transition) sendHeartbeats() {
	t.heartbeats++
	b := Heartbeat{
		Host: t.settings.ID, Incarnation: t.settings.Incarnation, Counter: t.heartbeats,
		Version: t.config.Version, Draining: t.draining, Serves: t.settings.Serves,
		Zone: t.settings.Zone, Loads: t.ownGroupLoads(), Leaving: t.leavingSigns(), Lost: t.lostTargets(),
	}
	b = t.addCrashes(b)
	for _, h := range t.knownHosts() {
		if h.ID != t.settings.ID {
			t.send(h.ID, PeerHeartbeat{Beat: b})
		}
	}
}

// knownHosts returns the configured hosts; before there is a configuration,
// those of the settings.
func (t *transition) knownHosts() []config.Host {
	if t.config.Hosts.Len() > 0 {
		return t.config.Hosts.Values()
	}
	return append(append([]config.Host{}, t.settings.Replicas...), t.settings.Neighbours...)
}

func (t *transition) peerHeartbeat(from ident.Host, b Heartbeat) {
	if b.Host != from {
		return
	}
	old, known := t.peers.Get(from)
	if known && (b.Incarnation < old.heartbeat.Incarnation ||
		(b.Incarnation == old.heartbeat.Incarnation && b.Counter <= old.heartbeat.Counter)) {
		return
	}
	t.peers = t.peers.With(from, peer{heartbeat: b, lastHeartbeat: t.now, alive: true})
	t.gatherLoads()
	t.handleCrashEntries(from, b.CrashEntries)
	t.handleCrashReports(from, b.Crashes)
	if !known || !old.alive {
		t.log(LogHostUp, string(from), "")
	}
	if known && b.Incarnation != old.heartbeat.Incarnation {
		t.dropRouterPermits(from, b.Incarnation)
	}
	for _, id := range b.Leaving {
		t.markLeaving(id)
	}
	if !known || !old.alive || old.heartbeat.Draining != b.Draining || old.heartbeat.Incarnation != b.Incarnation {
		t.ownersChanged()
	}
}

// mayOwn tells whether a host may own groups as seen from here.
func (t *transition) mayOwn(h config.Host) bool {
	if !h.Serves {
		return false
	}
	if h.ID == t.settings.ID {
		return !t.draining
	}
	p, ok := t.peers.Get(h.ID)
	return ok && p.alive && !p.heartbeat.Draining
}

// ownerOf returns the owner of a group as seen from here: by rendezvous among
// the live serving hosts of its zone, and only where there is none, of others.
func (t *transition) ownerOf(g routing.GroupID) (ident.Host, bool) {
	return t.ownerBut(g, "")
}

// nextOwner returns who would own a group if this host did not.
func (t *transition) nextOwner(g routing.GroupID) (ident.Host, bool) {
	return t.ownerBut(g, t.settings.ID)
}

func (t *transition) ownerBut(g routing.GroupID, but ident.Host) (ident.Host, bool) {
	var near, far []ident.Host
	for _, h := range t.config.Hosts.All() {
		switch {
		case !t.mayOwn(h) || h.ID == but:
		case h.Zone == g.Zone:
			near = append(near, h.ID)
		default:
			far = append(far, h.ID)
		}
	}
	if len(near) == 0 {
		near = far
	}
	return hash.Best(hash.Of(g.String()), near, func(h ident.Host) string { return string(h) })
}

// aliveServing counts the hosts that take requests, this one included.
func (t *transition) aliveServing() int {
	n := 0
	for _, h := range t.config.Hosts.All() {
		if t.mayOwn(h) {
			n++
		}
	}
	return max(1, n)
}

// leavingSigns are the targets that reported to this host that they are stopping.
func (t *transition) leavingSigns() []ident.Target {
	var out []ident.Target
	for id, h := range t.health.All() {
		if h.ReportsLeaving(t.now) {
			out = append(out, id)
		}
	}
	return out
}
