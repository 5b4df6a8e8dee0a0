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
	// followInterval is the time between two requests for configuration. Chosen, not
	// measured.
	followInterval = time.Second
	// followerLife is how long a replica pushes changes to a host that follows it: five
	// requests.
	followerLife = 5 * time.Second
	// maxDeltas bounds the changes in one message. Chosen, not measured.
	maxDeltas = 128
	// cutOffBoot is how long a host without configuration waits for a leader
	// before it takes the highest version that its zone has. Chosen, not measured.
	cutOffBoot = 8 * time.Second
)

// follower is a host that follows this replica.
type follower struct {
	version    config.Version
	lastFollow time.Time
}

// tickFollow asks for configuration. A replica has its own, but it too is
// ready only once a leader is known.
func (t *transition) tickFollow() {
	if t.raft.Active() {
		t.tickReplicaReady()
	}
	if t.now.Before(t.nextFollowAt) {
		return
	}
	t.nextFollowAt = t.now.Add(followInterval)
	if t.raft.Active() {
		t.enterSelf()
		return
	}
	t.followAttempts++
	m := Follow{Host: t.selfHost(), Version: t.config.Version}
	if to, ok := t.followTarget(); ok {
		t.send(to, m)
	}
	if t.ready || t.now.Sub(t.started) < cutOffBoot {
		return
	}
	for _, h := range t.zoneHosts() {
		t.send(h.ID, m)
	}
}

// tickReplicaReady makes a replica ready when it holds a configuration and is
// in touch with a leader, or has waited long enough to serve cut off.
func (t *transition) tickReplicaReady() {
	if t.ready || t.config.Version == 0 {
		return
	}
	if t.raft.Leader() != "" && t.entered() || t.now.Sub(t.started) >= cutOffBoot {
		t.becomeReady("replicated state")
	}
}

// enterSelf makes a replica known to the leader as a host like any other.
func (t *transition) enterSelf() {
	self := t.selfHost()
	have, _ := t.config.Hosts.Get(self.ID)
	self.Rev = have.Rev
	if leader := t.raft.Leader(); leader != "" && have != self {
		t.send(leader, Follow{Host: t.selfHost(), Version: t.config.Version})
	}
}

// entered tells whether this host stands in the configuration: before that no
// group could have it for its owner.
func (t *transition) entered() bool { return t.config.Hosts.Has(t.settings.ID) }

func (t *transition) becomeReady(how string) {
	t.ready = true
	t.log(LogReady, string(t.settings.ID), fmt.Sprintf("version=%d from %s", t.config.Version, how))
}

func (t *transition) selfHost() config.Host {
	s := t.settings
	return config.Host{ID: s.ID, Zone: s.Zone, Address: s.Address, Serves: s.Serves}
}

// followTarget picks the replica to ask: always the same one, so that the load
// spreads; another one while that is silent, and in turn before the
// first configuration.
func (t *transition) followTarget() (ident.Host, bool) {
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

func (t *transition) zoneHosts() []config.Host {
	return slices.DeleteFunc(slices.Clone(t.settings.Neighbours), func(h config.Host) bool {
		return h.Zone != t.settings.Zone || h.ID == t.settings.ID
	})
}

// followReceived answers a host that asks for configuration. A leader also enters a
// host that is new or has moved.
func (t *transition) followReceived(from ident.Host, m Follow) {
	if t.raft.Active() {
		t.followers = t.followers.With(from, follower{version: m.Version, lastFollow: t.now})
		t.registerHost(from, m.Host)
	}
	t.sendChanges(from, m.Version)
}

func (t *transition) registerHost(from ident.Host, h config.Host) {
	if h.ID != from || !t.raft.LeaseHeld(t.now) {
		return
	}
	have, ok := t.catalog.Config.Hosts.Get(h.ID)
	h.Rev = have.Rev
	if ok && have == h {
		return
	}
	t.writeSeq++
	t.submit(catalog.Write{
		ID: fmt.Sprintf("auto/host/%s/%d", h.ID, t.writeSeq), Actor: string(t.settings.ID),
		Command: catalog.Edit{Change: config.PutHost{Host: h}},
	}, t.now.Add(claimTimeout))
}

// sendChanges answers with what came after version. Hosts that keep no log
// answer from what they follow, so that a cut-off zone can help itself.
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

// pushChanges sends new changes at once to the hosts that follow this replica.
func (t *transition) pushChanges() {
	for id, f := range t.followers.All() {
		if t.now.Sub(f.lastFollow) > followerLife {
			t.followers = t.followers.Without(id)
			continue
		}
		t.sendChanges(id, f.version)
		f.version = t.catalog.Config.Version
		t.followers = t.followers.With(id, f)
	}
}

func (t *transition) changesReceived(from ident.Host, m Changes) {
	if t.raft.Active() {
		return
	}
	t.noteLeader(m.Leader)
	cfg := t.config
	for _, d := range m.Deltas {
		if d.Version != cfg.Version+1 {
			continue
		}
		next, err := cfg.With(d.Change)
		if err != nil {
			// A change that a quorum accepted applies to the same version
			// everywhere; if not, the whole document is asked for.
			t.counters.StaleConfig++
			t.config.Version = 0
			return
		}
		cfg = next
	}
	t.takeConfig(cfg, m.Version, m.Fresh, from)
	if cfg.Version < m.Version && len(m.Deltas) > 0 {
		t.send(from, Follow{Host: t.selfHost(), Version: t.config.Version})
	}
}

func (t *transition) wholeConfigReceived(from ident.Host, m WholeConfig) {
	if t.raft.Active() {
		return
	}
	t.noteLeader(m.Leader)
	t.takeConfig(config.FromDocument(m.Document), m.Document.Version, m.Fresh, from)
}

func (t *transition) noteLeader(leader ident.Host) {
	if leader != "" {
		t.leader = leader
	}
}

// takeConfig puts cfg in force unless it is older than what is in force, and
// decides whether this host may serve: after a message of a leader with a lease
// or, cut off at start, with the best that the zone had.
func (t *transition) takeConfig(cfg config.Config, newest config.Version, fresh bool, from ident.Host) {
	if cfg.Version < t.config.Version {
		t.counters.StaleConfig++
		return
	}
	if cfg.Version > t.config.Version {
		t.useConfig(cfg)
	}
	if t.ready || t.config.Version == 0 || t.config.Version < newest {
		return
	}
	if fresh && t.entered() || t.now.Sub(t.started) >= cutOffBoot {
		t.becomeReady(string(from))
	}
}

// useConfig puts a configuration in force in this process.
func (t *transition) useConfig(cfg config.Config) {
	if cfg.Version < t.config.Version {
		t.counters.StaleConfig++
		return
	}
	hostsMoved := t.config.Hosts != cfg.Hosts
	t.config = cfg
	t.requests = t.requests.WithRouteTable(cfg.Gateway)
	t.noteNewestTable(cfg.Version)
	t.rememberTable(cfg)
	t.counters.ConfigApplied++
	if hostsMoved {
		t.emit(UpdateHostAddresses{Hosts: cfg.Hosts.Values()})
	}
	if !t.settings.Seeded() {
		owners := t.layout.owners
		t.layout = newLayout(cfg)
		t.layout.owners = owners
		t.ownersChanged()
	}
	t.log(LogConfiguration, string(t.settings.ID), fmt.Sprintf("version=%d", cfg.Version))
}
