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

// Config returns the current configuration.
func (s State) Config() config.Config { return s.config }

// Catalog returns the replicated state. It is empty on a host that is no replica.
func (s State) Catalog() catalog.Catalog { return s.catalog }

// Raft returns the Raft state. It is inactive on a host that is no replica.
func (s State) Raft() raft.State { return s.raft }

// Ready reports whether new requests should be sent to this host.
func (s State) Ready() bool { return s.ready && !s.draining }

// Draining reports whether a planned stop has begun.
func (s State) Draining() bool { return s.draining }

// Idle reports whether no request is in flight.
func (s State) Idle() bool { return s.calls.Len() == 0 && s.requests.Idle() }

// Requests returns the state of requests to the route table's pools.
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

// Registry returns the worker registrations that this host keeps.
func (s State) Registry() registry.Registry { return s.registry }

// Counters returns the counters of this process.
func (s State) Counters() Counters {
	c := s.counters
	c.Startup = s.seeded.startup.milestones
	return c
}

// Leader returns the leader known to this host, or "".
func (s State) Leader() ident.Host { return s.leaderHint() }

func (s State) leaderHint() ident.Host {
	if s.raft.Active() {
		return s.raft.Leader()
	}
	return s.leader
}

// Seeded reports whether this host belongs to a seeded fleet, which finds its replicas through
// seeds and serves a route table.
func (s State) Seeded() bool { return s.settings.Seeded() }

// Dump is the state of a process, without secrets and prompts.
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

// DumpReplica is the Raft state of a replica.
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

// DumpSync is what a host of a seeded fleet knows about replicas and hubs.
type DumpSync struct {
	// Hosts is the number of entry hosts, Hubs are the hubs among them, and Asks are the hosts
	// polled last by this one.
	Hosts int
	Hubs  []ident.Host
	Asks  []ident.Host
	// Serves is set if this host replies to polls, Askers is the number of hosts that poll it.
	Serves bool
	Askers int
	// ConfirmedAt is the latest time as of which the route table held was confirmed to be the
	// newest.
	ConfirmedAt time.Time
	Workers     int
	// Crashes are the requests during which workers crashed.
	Crashes []DumpCrash
	// Drained are the drained zones, ZonesRevision is the number of orders that changed zones.
	Drained       []ident.Zone
	ZonesRevision uint64
}

// DumpCrash is a request during which Ends workers crashed in a row, the last one at At. If
// Ends is 0, At is when such a request was answered.
type DumpCrash struct {
	Content string
	Ends    int
	At      time.Time
	Refused bool
}

// DumpMember is a replica as the leader sees it.
type DumpMember struct {
	Host  ident.Host
	Voter bool
	Match raft.Index
}

// DumpFollower is a host that replicates its configuration from this one, with the version it
// last requested.
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

// DumpGroup is a group owned by this host.
type DumpGroup struct {
	Group   string
	Load    int
	Usable  int
	Permits int
	Waiting int
	Chats   int
	Engines []routing.Target
}

// DumpTarget is the health of a target as seen by this host.
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

// Dump returns the state at now for operators.
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
		Hosts: s.seeded.hosts, Asks: s.seeded.hub.lastPolled, Serves: s.settings.IsReplica() || s.seeded.hub.replies,
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

// Incarnation returns the number that identifies this start of the process.
func (s State) Incarnation() uint64 { return s.settings.Incarnation }

// Zone returns the availability zone of this host.
func (s State) Zone() ident.Zone { return s.settings.Zone }

// ID returns the name of this host.
func (s State) ID() ident.Host { return s.settings.ID }
