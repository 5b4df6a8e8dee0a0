// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

const (
	// followInterval is the time between two requests for configuration.
	followInterval = time.Second
	// followerTimeout is how long after its last request a replica pushes changes to a
	// follower: five request intervals.
	followerTimeout = 5 * time.Second
	// maxDeltas bounds the changes in one message.
	maxDeltas = 128
	// leaderWaitTimeout is how long a starting host waits for a leader before it serves with
	// the newest configuration available in its zone.
	leaderWaitTimeout = 8 * time.Second
)

// follower is a host that replicates its configuration from this replica.
type follower struct {
	version    config.Version
	lastFollow time.Time
}

// tickFollow requests configuration. A replica has its own, but it too becomes ready only once
// a leader is known.
func (t *transition) tickFollow() {
	if t.raft.Active() {
		t.tickReplicaReady()
	}
	if t.now.Before(t.nextFollowAt) {
		return
	}
	t.nextFollowAt = t.now.Add(followInterval)
	if t.raft.Active() {
		t.registerSelf()
		return
	}
	t.followAttempts++
	m := Follow{Host: t.selfHost(), Version: t.config.Version}
	if to, ok := t.followSource(); ok {
		t.send(to, m)
	}
	if t.ready || t.now.Sub(t.started) < leaderWaitTimeout {
		return
	}
	for _, h := range t.neighboursInZone() {
		t.send(h.ID, m)
	}
}

// tickReplicaReady makes a replica ready once it holds a configuration and knows a leader, or
// has waited long enough to serve while partitioned.
func (t *transition) tickReplicaReady() {
	if t.ready || t.config.Version == 0 {
		return
	}
	if t.raft.Leader() != "" && t.isRegistered() || t.now.Sub(t.started) >= leaderWaitTimeout {
		t.becomeReady("replicated state")
	}
}

// registerSelf registers this replica with the leader as a host.
func (t *transition) registerSelf() {
	self := t.selfHost()
	registered, _ := t.config.Hosts.Get(self.ID)
	self.Rev = registered.Rev
	if leader := t.raft.Leader(); leader != "" && registered != self {
		t.send(leader, Follow{Host: t.selfHost(), Version: t.config.Version})
	}
}

// isRegistered reports whether this host is in the configuration. Before that it cannot own a
// group.
func (t *transition) isRegistered() bool { return t.config.Hosts.Has(t.settings.ID) }

func (t *transition) becomeReady(source string) {
	t.ready = true
	t.log(LogReady, string(t.settings.ID), fmt.Sprintf("version=%d from %s", t.config.Version, source))
}

func (t *transition) selfHost() config.Host {
	s := t.settings
	return config.Host{ID: s.ID, Zone: s.Zone, Address: s.Address, Serves: s.Serves}
}

// followSource picks the replica to request configuration from. A ready host always picks the
// same live one by rendezvous hash, which spreads the load; otherwise replicas take turns.
func (t *transition) followSource() (ident.Host, bool) {
	replicas := t.settings.Replicas
	if len(replicas) == 0 {
		return "", false
	}
	if !t.ready {
		return replicas[t.followAttempts%len(replicas)].ID, true
	}
	var alive []ident.Host
	for _, r := range replicas {
		if p, ok := t.peers.Get(r.ID); ok && p.alive {
			alive = append(alive, r.ID)
		}
	}
	if len(alive) == 0 {
		return replicas[t.followAttempts%len(replicas)].ID, true
	}
	return hash.Best(hash.Of(string(t.settings.ID)), alive, func(h ident.Host) string { return string(h) })
}

func (t *transition) neighboursInZone() []config.Host {
	return slices.DeleteFunc(slices.Clone(t.settings.Neighbours), func(h config.Host) bool {
		return h.Zone != t.settings.Zone || h.ID == t.settings.ID
	})
}

// handleFollow replies to a host that requests configuration. A leader also registers a host
// that is new or has changed.
func (t *transition) handleFollow(from ident.Host, m Follow) {
	if t.raft.Active() {
		t.followers = t.followers.With(from, follower{version: m.Version, lastFollow: t.now})
		t.registerHost(from, m.Host)
	}
	t.sendChanges(from, m.Version)
}

// registerHost writes a host's description to the configuration if this replica leads and the
// description is new or changed. A host registers only itself, and Rev is not compared.
func (t *transition) registerHost(from ident.Host, h config.Host) {
	if h.ID != from || !t.raft.LeaseHeld(t.now) {
		return
	}
	registered, known := t.catalog.Config.Hosts.Get(h.ID)
	h.Rev = registered.Rev
	if known && registered == h {
		return
	}
	t.writeSeq++
	t.submit(catalog.Write{
		ID: fmt.Sprintf("auto/host/%s/%d", h.ID, t.writeSeq), Actor: string(t.settings.ID),
		Command: catalog.Edit{Change: config.PutHost{Host: h}},
	}, t.now.Add(claimTimeout))
}

// sendChanges sends the changes after version, or the whole document if the changes are not
// available. Hosts without a log send the configuration they follow, so that the hosts of a
// partitioned zone can start from each other.
func (t *transition) sendChanges(to ident.Host, version config.Version) {
	fresh := t.raft.LeaseHeld(t.now)
	leader := t.leaderHint()
	if t.raft.Active() {
		if deltas, ok := t.catalog.DeltasAfter(version, maxDeltas); ok {
			t.send(to, Changes{Leader: leader, Fresh: fresh, Version: t.catalog.Config.Version, Deltas: deltas})
			return
		}
	}
	if t.config.Version <= version {
		t.send(to, Changes{Leader: leader, Fresh: fresh, Version: t.config.Version})
		return
	}
	t.send(to, WholeConfig{Leader: leader, Fresh: fresh, Document: t.config.Document()})
}

// pushChanges sends new changes to the followers of this replica.
func (t *transition) pushChanges() {
	for id, f := range t.followers.All() {
		if t.now.Sub(f.lastFollow) > followerTimeout {
			t.followers = t.followers.Without(id)
			continue
		}
		t.sendChanges(id, f.version)
		f.version = t.catalog.Config.Version
		t.followers = t.followers.With(id, f)
	}
}

// handleChanges applies the deltas that continue the held configuration and skips all others. If
// versions are still missing, it requests them. Replicas ignore the message, as they apply the log
// instead.
func (t *transition) handleChanges(from ident.Host, m Changes) {
	if t.raft.Active() {
		return
	}
	t.setLeader(m.Leader)
	cfg := t.config
	for _, d := range m.Deltas {
		if d.Version != cfg.Version+1 {
			continue
		}
		next, err := cfg.With(d.Change)
		if err != nil {
			// A committed change applies to the same version everywhere. If it does not,
			// request the whole document.
			t.counters.StaleConfig++
			t.config.Version = 0
			return
		}
		cfg = next
	}
	t.applyFollowedConfig(cfg, m.Version, m.Fresh, from)
	if cfg.Version < m.Version && len(m.Deltas) > 0 {
		t.send(from, Follow{Host: t.selfHost(), Version: t.config.Version})
	}
}

func (t *transition) handleWholeConfig(from ident.Host, m WholeConfig) {
	if t.raft.Active() {
		return
	}
	t.setLeader(m.Leader)
	t.applyFollowedConfig(config.FromDocument(m.Document), m.Document.Version, m.Fresh, from)
}

func (t *transition) setLeader(leader ident.Host) {
	if leader != "" {
		t.leader = leader
	}
}

// applyFollowedConfig applies cfg unless it is older than the current configuration, and makes
// this host ready once it is current: either a leader with a lease confirmed it, or this host
// started in a partition and holds the newest version available in its zone.
func (t *transition) applyFollowedConfig(cfg config.Config, newest config.Version, fresh bool, from ident.Host) {
	if cfg.Version < t.config.Version {
		t.counters.StaleConfig++
		return
	}
	if cfg.Version > t.config.Version {
		t.applyConfig(cfg)
	}
	if t.ready || t.config.Version == 0 || t.config.Version < newest {
		return
	}
	if fresh && t.isRegistered() || t.now.Sub(t.started) >= leaderWaitTimeout {
		t.becomeReady(string(from))
	}
}

// applyConfig puts a configuration in force in this process.
func (t *transition) applyConfig(cfg config.Config) {
	if cfg.Version < t.config.Version {
		t.counters.StaleConfig++
		return
	}
	hostsChanged := t.config.Hosts != cfg.Hosts
	t.config = cfg
	if cfg.Gateway.Number > t.requests.TableNumber() {
		t.requests = t.requests.WithRouteTable(cfg.Gateway).WithRoutesChanged(t.now)
	}
	t.recordNewestVersion(cfg.Version)
	t.recordTable(cfg)
	t.counters.ConfigApplied++
	if hostsChanged {
		t.emit(UpdateHostAddresses{Hosts: cfg.Hosts.Values()})
	}
	if !t.settings.Seeded() {
		owners := t.layout.owners
		t.layout = newLayout(cfg)
		t.layout.owners = owners
		t.updateOwners()
	}
	t.log(LogConfiguration, string(t.settings.ID), fmt.Sprintf("version=%d", cfg.Version))
}
