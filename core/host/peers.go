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
	// heartbeatInterval is the time between two heartbeats of a host.
	heartbeatInterval = time.Second
	// peerTimeout is how long after its last heartbeat a host is considered down.
	peerTimeout = 3 * time.Second
	// suspectTimeout is the same for a host that has left a request unanswered.
	suspectTimeout = 1300 * time.Millisecond
)

// peer is what is known of another host.
type peer struct {
	heartbeat     Heartbeat
	lastHeartbeat time.Time
	alive         bool
}

// tickPeers marks hosts down that have sent no heartbeat for peerTimeout. It sends this host's
// heartbeat every heartbeatInterval, or earlier if crashes are due to be reported.
func (t *transition) tickPeers() {
	for id, p := range t.peers.All() {
		if p.alive && t.now.Sub(p.lastHeartbeat) > peerTimeout {
			t.markPeerDown(id, p)
		}
	}
	if t.now.Before(t.nextHeartbeatAt) && !t.crashHeartbeatDue() {
		return
	}
	t.nextHeartbeatAt = t.now.Add(heartbeatInterval)
	t.sendHeartbeats()
	t.backUpChats()
}

func (t *transition) markPeerDown(id ident.Host, p peer) {
	p.alive = false
	t.peers = t.peers.With(id, p)
	t.gatherLoads()
	t.log(LogHostDown, string(id), "")
	t.dropRouterPermits(id, 0)
	t.updateOwners()
}

// suspectPeer marks a host down that left a request unanswered, if it has also missed
// heartbeats.
func (t *transition) suspectPeer(id ident.Host) {
	if p, ok := t.peers.Get(id); ok && p.alive && t.now.Sub(p.lastHeartbeat) > suspectTimeout {
		t.markPeerDown(id, p)
	}
}

// sendHeartbeats sends this host's state and the loads of its groups to all other hosts.
func (t *transition) sendHeartbeats() {
	t.heartbeats++
	b := Heartbeat{
		Host: t.settings.ID, Incarnation: t.settings.Incarnation, Counter: t.heartbeats,
		Version: t.config.Version, Draining: t.draining, Serves: t.settings.Serves,
		Zone: t.settings.Zone, Loads: t.ownGroupLoads(), Leaving: t.leavingTargets(), Lost: t.lostTargets(),
	}
	b = t.addCrashes(b)
	for _, h := range t.knownHosts() {
		if h.ID != t.settings.ID {
			t.send(h.ID, PeerHeartbeat{Beat: b})
		}
	}
}

// knownHosts returns the configured hosts, or before the first configuration those of the
// settings.
func (t *transition) knownHosts() []config.Host {
	if t.config.Hosts.Len() > 0 {
		return t.config.Hosts.Values()
	}
	return append(append([]config.Host{}, t.settings.Replicas...), t.settings.Neighbours...)
}

// handlePeerHeartbeat records a host's heartbeat and ignores outdated and duplicate ones. If the
// host restarted, the permits of its earlier incarnation are dropped. Owners are recomputed if the
// host came up, restarted, or started or stopped draining.
func (t *transition) handlePeerHeartbeat(from ident.Host, b Heartbeat) {
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
	t.handleCrashEntries(from, b.CrashEntries, t.now)
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
		t.updateOwners()
	}
}

// mayOwn reports whether a host may own groups as far as this host knows.
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

// ownerOf returns the owner of a group as far as this host knows: by rendezvous hash among the
// live serving hosts of its zone, or of all zones if its own has none.
func (t *transition) ownerOf(g routing.GroupID) (ident.Host, bool) {
	return t.ownerExcluding(g, "")
}

// nextOwner returns the host that would own a group if this one did not.
func (t *transition) nextOwner(g routing.GroupID) (ident.Host, bool) {
	return t.ownerExcluding(g, t.settings.ID)
}

// ownerExcluding returns the owner that ownerOf would return if the excluded host could own no
// groups. An empty id excludes none.
func (t *transition) ownerExcluding(g routing.GroupID, excluded ident.Host) (ident.Host, bool) {
	var sameZone, otherZones []ident.Host
	for _, h := range t.config.Hosts.All() {
		switch {
		case !t.mayOwn(h) || h.ID == excluded:
		case h.Zone == g.Zone:
			sameZone = append(sameZone, h.ID)
		default:
			otherZones = append(otherZones, h.ID)
		}
	}
	if len(sameZone) == 0 {
		sameZone = otherZones
	}
	return hash.Best(hash.Of(g.String()), sameZone, func(h ident.Host) string { return string(h) })
}

// countServingHosts returns the number of hosts that may own groups, at least 1.
func (t *transition) countServingHosts() int {
	n := 0
	for _, h := range t.config.Hosts.All() {
		if t.mayOwn(h) {
			n++
		}
	}
	return max(1, n)
}

// leavingTargets returns the targets that reported to this host that they are stopping.
func (t *transition) leavingTargets() []ident.Target {
	var out []ident.Target
	for id, h := range t.health.All() {
		if h.ReportsLeaving(t.now) {
			out = append(out, id)
		}
	}
	return out
}
