// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/health"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/core/routing"
)

// Config returns the configuration in force here.
func (s State) Config() config.Config { return s.config }

// Catalog returns the replicated state; empty on a host that keeps none.
func (s State) Catalog() catalog.Catalog { return s.catalog }

// Raft returns the replica; inactive on a host that keeps no log.
func (s State) Raft() raft.State { return s.raft }

// Ready tells whether new requests should come to this host.
func (s State) Ready() bool { return s.ready && !s.draining }

// Draining tells whether a planned stop has begun.
func (s State) Draining() bool { return s.draining }

// Idle tells whether no request is in flight here.
func (s State) Idle() bool { return s.calls.Len() == 0 && s.requests.Idle() }

// Requests returns the route table's part of this host.
func (s State) Requests() requests.State { return s.requests }

// ReplicaAddresses returns the seeds followed by the addresses of the Raft members known to
// this replica.
func (s State) ReplicaAddresses() []ident.Host {
	out := slices.Clone(s.settings.Seeds)
	for _, m := range s.raft.Members() {
		out = append(out, m.ID.Address())
	}
	return out
}

// Registry returns the registrations heard by this replica.
func (s State) Registry() registry.Registry { return s.registry }

// Counters returns what was counted so far.
func (s State) Counters() Counters { return s.counters }

// Leader returns the leader as known here, or "".
func (s State) Leader() ident.Host { return s.leaderHint() }

func (s State) leaderHint() ident.Host {
	if s.raft.Active() {
		return s.raft.Leader()
	}
	return s.leader
}

// Seeded tells whether replicas are found through seeds, and a route table is served.
func (s State) Seeded() bool { return s.settings.Seeded() }

// Dump is a process's whole state without secrets and prompts.
type Dump struct {
	Host        ident.Host
	Zone        ident.Zone
	Incarnation uint64
	Started     time.Time
	Ready       bool
	Draining    bool
	Version     config.Version
	Leader      ident.Host
	Replica     *DumpReplica `json:",omitempty"`
	Sync        *DumpSync    `json:",omitempty"`
	Peers       []DumpPeer
	Groups      []DumpGroup
	Targets     []DumpTarget
	Calls       []DumpCall
	Writes      int
	Counters    Counters
}

// DumpReplica is the replicated log's part of a Dump.
type DumpReplica struct {
	Role      string
	Term      raft.Term
	Commit    raft.Index
	Applied   raft.Index
	First     raft.Index
	Last      raft.Index
	Snapshot  raft.Index
	Lease     bool
	Claims    int
	Members   []DumpMember
	Followers []DumpFollower
}

// DumpSync is what a host of a seeded fleet knows of replicas and hubs.
type DumpSync struct {
	// Hosts is how many entry hosts there are, Hubs which of them are hubs; Asks are
	// the hosts that this one asked last.
	Hosts int
	Hubs  []ident.Host
	Asks  []ident.Host
	// Serves is set on a replica and on a hub, Askers is how many hosts ask it.
	Serves bool
	Askers int
	// ConfirmedAt is as of when the route table held was surely the newest.
	ConfirmedAt time.Time
	Workers     int
	// Crashes are the requests under which workers ended.
	Crashes []DumpCrash
	// Drained are the drained zones, ZonesRevision how many orders have changed zones.
	Drained       []ident.Zone
	ZonesRevision uint64
}

// DumpCrash is a request under which Ends workers ended in a row, the last one at At; with
// Ends 0 one was answered then.
type DumpCrash struct {
	Content string
	Ends    int
	At      time.Time
	Refused bool
}

// DumpMember is one replica as the leader sees it.
type DumpMember struct {
	Host  ident.Host
	Voter bool
	Match raft.Index
}

// DumpFollower is the version that a host last named.
type DumpFollower struct {
	Host    ident.Host
	Version config.Version
	Heard   time.Time
}

// DumpPeer is another host.
type DumpPeer struct {
	Host     ident.Host
	Zone     ident.Zone
	Alive    bool
	Draining bool
	Version  config.Version
	Heard    time.Time
}

// DumpGroup is a group that this host owns.
type DumpGroup struct {
	Group   string
	Load    int
	Usable  int
	Permits int
	Waiting int
	Chats   int
	Engines []routing.Target
}

// DumpTarget is the health of a target as seen here.
type DumpTarget struct {
	Target  ident.Target
	Usable  bool
	Leaving bool
	Health  health.Target
}

// DumpCall is a request in flight.
type DumpCall struct {
	Request  ident.Request
	Account  ident.Account
	Phase    string
	Group    string
	Target   ident.Target
	Attempt  int
	Deadline time.Time
}

// String returns the phase's name.
func (p phase) String() string {
	return [...]string{"claiming", "asking", "queued", "waiting", "running", "fetching"}[p]
}

// Dump returns the state for operators at now.
func (s State) Dump(now time.Time) Dump {
	d := Dump{
		Host: s.settings.ID, Zone: s.settings.Zone, Incarnation: s.settings.Incarnation, Started: s.started,
		Ready: s.Ready(), Draining: s.draining, Version: s.config.Version, Leader: s.leaderHint(),
		Writes: s.writes.Len(), Counters: s.counters,
	}
	if s.raft.Active() {
		d.Replica = s.dumpReplica(now)
	}
	if s.settings.Seeded() {
		d.Sync = s.dumpSync(now)
	}
	for id, p := range s.peers.All() {
		d.Peers = append(d.Peers, DumpPeer{
			Host: id, Zone: p.heartbeat.Zone, Alive: p.alive, Draining: p.heartbeat.Draining, Version: p.heartbeat.Version, Heard: p.lastHeartbeat,
		})
	}
	for id, g := range s.groups.All() {
		d.Groups = append(d.Groups, DumpGroup{
			Group: id, Load: g.TotalLoad(), Usable: g.UsableTargets(), Permits: g.PermitCount(), Waiting: g.QueueLength(),
			Chats: g.ChatCount(), Engines: g.Targets(),
		})
	}
	for id, h := range s.health.All() {
		d.Targets = append(d.Targets, DumpTarget{Target: id, Usable: h.Usable(now), Leaving: h.IsLeaving(now), Health: h})
	}
	for id, c := range s.calls.All() {
		d.Calls = append(d.Calls, DumpCall{
			Request: id, Account: c.account.ID, Phase: c.phase.String(), Group: c.group.String(),
			Target: c.target, Attempt: c.attempt, Deadline: c.request.Deadline,
		})
	}
	return d
}

func (s State) dumpReplica(now time.Time) *DumpReplica {
	r := &DumpReplica{
		Role: s.raft.Role().String(), Term: s.raft.Term(), Commit: s.raft.CommitIndex(), Applied: s.applied,
		First: s.raft.Log().First(), Last: s.raft.Log().Last(), Snapshot: s.raft.SnapshotIndex(),
		Lease: s.raft.LeaseHeld(now), Claims: s.catalog.Claims(),
	}
	for _, m := range s.raft.Members() {
		r.Members = append(r.Members, DumpMember{Host: m.ID, Voter: m.Voter, Match: s.raft.Match(m.ID)})
	}
	for id, f := range s.followers.All() {
		r.Followers = append(r.Followers, DumpFollower{Host: id, Version: f.version, Heard: f.lastFollow})
	}
	return r
}

func (s State) dumpSync(now time.Time) *DumpSync {
	d := &DumpSync{
		Hosts: s.seeded.hosts, Asks: s.seeded.hub.polledLast, Serves: s.settings.IsReplica() || s.seeded.hub.serves,
		Askers: s.seeded.clients.Len(), ConfirmedAt: s.requests.Confirmation().AsOf, Workers: s.requests.WorkerCount(),
		Drained: s.currentZones().DrainedZones(), ZonesRevision: s.currentZones().Revision,
	}
	for _, h := range s.seeded.hub.list.Hosts {
		d.Hubs = append(d.Hubs, h.Host)
	}
	for _, e := range s.requests.CrashList().Entries() {
		_, refused := s.requests.CrashList().Refused(e.Content, now)
		d.Crashes = append(d.Crashes, DumpCrash{Content: e.Content.String(), Ends: e.Crashes, At: e.At, Refused: refused})
	}
	return d
}

// Incarnation is the start of this process.
func (s State) Incarnation() uint64 { return s.settings.Incarnation }

// Zone is the availability zone of this host.
func (s State) Zone() ident.Zone { return s.settings.Zone }

// ID is the name of this host.
func (s State) ID() ident.Host { return s.settings.ID }
