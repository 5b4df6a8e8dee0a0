// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/hubs"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/registry"
)

// A replica or a hub replies to each poll with what the client lacks: confirmation, route table,
// registrations, loads, and the lists of hubs and fallback peers. It records what it sent, so that
// it can send changes without another poll (updates.go).
const (
	// clientLifetime is how long a host counts as a client after its last poll: almost three times
	// the maximum poll interval.
	clientLifetime = 4 * time.Second
	// earlierProcessLifetime is how long after a process's poll those of an earlier process at the
	// same address are ignored as delayed. It exceeds the interval between polls. After that they
	// are accepted, as incarnations come from the system clock, which may be set back.
	earlierProcessLifetime = maxPollInterval + minPollInterval
	// fullTransitTime is how long a full batch of registrations may take to arrive before it is sent
	// again; full batches fill links. transitTime is that of fewer registrations, which arrive within
	// a round trip. A lost one must be sent again soon, as it may say that a worker leaves, and may be
	// lost on the way to a hub and from there.
	fullTransitTime = 2 * time.Second
	transitTime     = 600 * time.Millisecond
)

// client is a host that polls this one.
type client struct {
	// version is the route table that the client holds.
	version     config.Version
	lastPoll    time.Time
	incarnation uint64
	// registrations is the window of registrations, by revision; updatedAt is when some were last sent.
	registrations sendWindow
	updatedAt     time.Time
	// sentFull is set if the registrations sent last were a full batch. skipsWorkers is set if the
	// client wants none for now.
	sentFull     bool
	skipsWorkers bool
	// holdsAll is set if the client has just reported that it knows all workers.
	holdsAll bool
	// departures is the window of departures, departuresAt is when some were last sent. allDepartures is set
	// if the client wants those registered by other replicas, too.
	knowsDepartures bool
	allDepartures   bool
	departures      sendWindow
	departuresAt    time.Time
	// receivesTable is set if the client gets the route table from this host.
	receivesTable bool
	serves        bool
	// fallback is set if the client polls this entry host because no replica replies.
	fallback bool
	// countsPrompts is set if the client counts prompts if it is a hub.
	countsPrompts bool
	// crashList is the key of the client's crash list.
	crashList hash.Key
	// crashListSent is the crash list last sent to the client.
	crashListSent crashListSent
	// supportsZones is set if the client's version supports drained zones; zonesRevision is the
	// revision that it holds.
	supportsZones bool
	zonesRevision uint64
	// knowsRollouts is set if the client supports rollouts, earlierHosts if it is polled by hosts
	// that do not; rolloutsRevision is the revision that it holds.
	knowsRollouts    bool
	earlierHosts     bool
	rolloutsRevision uint64
	loads            loads.Digest
	// host describes the client to others. primary is set if this hub is the client's primary hub;
	// group holds the hosts that a client which is a hub counts itself.
	host    hubs.Host
	primary bool
	group   []hubs.Host
}

// isLive reports whether the client polled within clientLifetime.
func (c client) isLive(now time.Time) bool { return now.Sub(c.lastPoll) <= clientLifetime }

// transitTime returns how long the registrations sent last may take to arrive.
func (c client) transitTime() time.Duration {
	if c.sentFull {
		return fullTransitTime
	}
	return transitTime
}

// awaitsFullBatch reports whether a full batch of registrations is on its way to the client. No more are
// sent until it has arrived, so that what waits for the link is bounded by a batch for each client, however
// slow the link is.
func (c client) awaitsFullBatch() bool {
	return c.sentFull && c.registrations.sent > c.registrations.acknowledged
}

// handlePoll processes the reports in a host's poll and replies to it.
func (t *transition) handlePoll(from ident.Host, m Poll) {
	if m.Neighbour && t.settings.Serves && !t.seeded.hub.replies {
		t.startReplyingToPolls()
	}
	if !t.repliesToPolls() || t.isFromEarlierProcess(from, m) {
		return
	}
	if m.Leaves {
		t.removeClient(from)
		return
	}
	if previous, ok := t.seeded.clients.Get(from); ok && previous.primary && !m.Home {
		t.keepDepartedLoads(from, previous)
	}
	t.recordLease(from, m)
	t.grantZonesLease(from, m)
	t.grantRolloutsLease(from, m)
	t.handleRelayedHeartbeats(from, m.Beats)
	t.applyReplacements(from, m.Replaced)
	t.handleCrashEntries(from, m.CrashEntries, t.now)
	t.handleCrashReports(from, m.Crashes)
	t.handleBegunStreams(from, m.Begun)
	t.sendReply(from, t.newClient(from, m), m)
}

// removeClient removes a client that has deregistered.
func (t *transition) removeClient(id ident.Host) {
	if c, ok := t.seeded.clients.Get(id); ok {
		t.keepDepartedLoads(id, c)
	}
	t.seeded.clients = t.seeded.clients.Without(id)
}

// newClient returns the client described by a poll, with what is known from earlier ones.
func (t *transition) newClient(from ident.Host, m Poll) client {
	c := client{
		version: m.Version, lastPoll: t.now, receivesTable: m.Table, serves: m.Serves, loads: m.Loads,
		incarnation: m.Boot, host: hubs.Host{Host: from, Zone: m.Zone, Relay: m.Relay}, primary: m.Home, group: m.Group,
		fallback: m.Neighbour, crashList: m.CrashList, supportsZones: m.KnowsZones, zonesRevision: m.Zones,
		knowsRollouts: m.KnowsRollouts, earlierHosts: m.EarlierHosts, rolloutsRevision: m.Rollouts,
		countsPrompts: m.CountsPrompts,
		skipsWorkers:  m.SkipWorkers, knowsDepartures: m.KnowsDepartures, allDepartures: m.AllDepartures,
	}
	revision, departuresUpTo := m.Revision, m.Departures
	if m.Epoch != t.settings.Incarnation {
		revision, departuresUpTo = 0, 0
	}
	if revision == 0 && m.WorkersDigest != 0 && m.WorkersDigest == t.registry.Digest() {
		revision, c.holdsAll = t.registry.Revision(), true
	}
	previous, known := t.seeded.clients.Get(from)
	if !known || previous.incarnation != c.incarnation {
		c.registrations, c.departures = newSendWindow(revision), newSendWindow(departuresUpTo)
		return c
	}
	c.updatedAt, c.sentFull, c.departuresAt, c.crashListSent = previous.updatedAt, previous.sentFull, previous.departuresAt, previous.crashListSent
	if !m.Grouped {
		c.group = previous.group
	}
	if previous.sentFull && revision > previous.registrations.acknowledged && revision == previous.registrations.sent {
		t.seeded.bulk = t.seeded.bulk.withAcknowledged(t.now.Sub(previous.updatedAt))
	}
	c.registrations = t.acknowledge(previous.registrations, revision, m.Missed, previous.transitTime())
	c.departures = t.acknowledge(previous.departures, departuresUpTo, m.Missed, transitTime)
	return c
}

// acknowledge returns a client's window after a poll, and counts updates that were lost.
func (t *transition) acknowledge(w sendWindow, n uint64, missed bool, timeout time.Duration) sendWindow {
	next := w.withAcknowledged(n, missed, timeout, t.now)
	if next.sent < w.sent {
		t.counters.UpdatesResent++
	}
	return next
}

// isFromEarlierProcess reports whether a poll was delayed so long that a newer process at the same
// address has polled since.
func (t *transition) isFromEarlierProcess(from ident.Host, m Poll) bool {
	previous, ok := t.seeded.clients.Get(from)
	return ok && m.Boot < previous.incarnation && t.now.Sub(previous.lastPoll) < earlierProcessLifetime
}

// handleRelayedHeartbeats handles heartbeats that a relay accepted: a replica registers the
// workers, a hub forwards the heartbeats to replicas.
func (t *transition) handleRelayedHeartbeats(from ident.Host, packed []byte) {
	workers, err := registry.Unpack(packed)
	if err != nil {
		t.log(LogWorkerRegistration, string(from), "sent unreadable heartbeats: "+err.Error())
	}
	if !t.settings.IsReplica() {
		t.seeded.relay = t.seeded.relay.WithHeartbeats(workers...)
		return
	}
	for _, w := range workers {
		if reason := t.invalidReason(w); reason != "" {
			t.rejectHeartbeat(w.ID, reason+", relayed by "+string(from))
		} else if t.makeRoom(w.ID) {
			t.registerHeartbeat(w, true)
		}
	}
}

// sendReply sends a client what it lacks and records what it holds then.
func (t *transition) sendReply(to ident.Host, c client, m Poll) {
	since := c.registrations.sent
	batch := workerBatch{revision: since}
	if !t.hubsExpected() && !c.skipsWorkers && !c.awaitsFullBatch() {
		batch = t.nextWorkers(since)
	}
	if !c.supportsZones {
		batch.packed = t.workersForEarlierVersion(batch.packed)
	}
	r := PollReply{
		Zones: t.currentZones(), Zone: t.settings.Zone,
		Round: m.Round, Version: t.currentConfig().Version,
		Epoch: t.settings.Incarnation, Since: since, Revision: batch.revision, Workers: batch.packed,
		NewestRevision: t.registry.Revision(),
		CrashList:      t.requests.CrashList().Key,
		Origins:        t.originsFor(m.LookedUp), ReadsStreamsBegun: true,
		KnowsProcesses: true, Lives: t.livesFor(m.Processes),
		ReadsPrompts: true, Frequent: t.frequentPrefixesFor(to),
	}
	r, c = t.withDepartures(r, c)
	if c.holdsAll {
		r.Since, c.holdsAll = 0, false
	}
	r.CrashEntries, c.crashListSent = t.crashEntriesFor(c.crashList, c.crashListSent)
	c.zonesRevision = r.Zones.Revision
	r.KnowsRollouts, r.Rollouts = t.RolloutsEnabled(), t.rolloutsFor(c)
	c.rolloutsRevision = max(c.rolloutsRevision, r.Rollouts.Revision)
	if t.settings.IsReplica() {
		r = t.withReplicaFields(r, m)
	} else {
		r = t.hubReply(r, m)
	}
	r = t.withCollectors(t.withLoads(r, to), m)
	r.Neighbour = c.fallback
	if m.Lead {
		r = t.withHubList(r, m)
		r = t.withFallbackPeers(r, m)
	}
	r, c = t.withTable(r, c)
	if batch.revision > since {
		c.registrations, c.updatedAt, c.sentFull = c.registrations.withSent(batch.revision, t.now), t.now, batch.full
	}
	t.seeded.clients = t.seeded.clients.With(to, c)
	t.send(to, r)
}

// withTable adds to a reply the route table if the client lacks it, and returns the client that has been sent it.
func (t *transition) withTable(r PollReply, c client) (PollReply, client) {
	if !c.receivesTable || c.version >= r.Version || !t.seeded.bulk.hasRoom() {
		return r, c
	}
	r.Gateway, r.Base = t.packedTable(c.version)
	c.version = r.Version
	t.seeded.bulk.sent += len(r.Gateway)
	return r, c
}

// withReplicaFields sets the fields of a reply that only replicas know.
func (t *transition) withReplicaFields(r PollReply, m Poll) PollReply {
	r.Leader, r.Hosts = t.raft.Leader().Address(), t.sumLoads().entryHosts
	if m.Lead {
		r.Fresh = t.raft.LeaseHeld(t.now)
		r.Replicas = t.memberAddresses()
	}
	r.Summed = m.Sums && t.now.Sub(t.started) >= sumWarmUp
	return r
}

// currentConfig returns the configuration that this host sends to others.
func (t *transition) currentConfig() config.Config {
	if t.settings.IsReplica() {
		return t.catalog.Config
	}
	return t.config
}

// memberAddresses returns the addresses of the replicas known to this one.
func (t *transition) memberAddresses() []ident.Host {
	var out []ident.Host
	for _, m := range t.raft.Members() {
		if a := m.ID.Address(); !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}
