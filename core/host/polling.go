// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// In a seeded fleet hosts know the replicas but not each other. Each host polls every replica,
// or in a large fleet two hubs (hub.go), several times a second. The leader confirms which
// route table is the newest. One replica, chosen by hash for each host, sends the table, and
// another one the loads of all hosts, so that this traffic is spread over the replicas.
const (
	// minPollInterval and maxPollInterval bound the time between two polls of a replica. It
	// grows by pollIntervalPerHost for each host that polls replicas, which bounds the
	// replicas' traffic. Several polls must fit into a key lease. At 300 machines the busiest replica
	// used 46 to 55% of a tenth of a core.
	minPollInterval     = 300 * time.Millisecond
	maxPollInterval     = 1400 * time.Millisecond
	pollIntervalPerHost = 7 * time.Millisecond
	// maxStartDoublings is how often the interval doubles while no reply has arrived, after which it
	// is maxPollInterval.
	maxStartDoublings = 3
	// After leaderTimeoutIntervals polls without a confirmation a host turns to another
	// replica; after pollAllAfterIntervals it requests confirmations from all of them.
	leaderTimeoutIntervals = 3
	pollAllAfterIntervals  = 2
	// maxLeaderWait bounds both waits if intervals are long: half of the default key lease.
	maxLeaderWait = 2 * time.Second
	// replicaTimeout is how long a contact may leave polls unanswered before it is logged as
	// lost: a little more than two polls of the largest fleet.
	replicaTimeout = 3 * time.Second
	// loadByteTime is the pause before loads are requested again, for each byte of the last
	// reply: 20 kB/s.
	loadByteTime = 50 * time.Microsecond
	// pollNumberBits is the number of low bits of a poll number that count the polls of a
	// process; the bits above hold its incarnation, in milliseconds. A process that starts a
	// millisecond later thus uses other numbers.
	pollNumberBits = 20
	// minPendingPolls is how many unanswered polls are remembered at least, pendingPollsPerContact
	// how many for each polled host.
	minPendingPolls        = 32
	pendingPollsPerContact = 4
)

// contact is a replica, hub or fallback peer polled by this host.
type contact struct {
	// epoch and revision are the contact's incarnation and the revision up to which its
	// registry is known.
	epoch    uint64
	revision uint64
	// lastReply is when it last replied, lastUsefulReply when it last did so while it was
	// itself in contact with the replicas.
	lastReply       time.Time
	lastUsefulReply time.Time
	lost            bool
	// departures is the position up to which its departures are known.
	departures uint64
	// allDepartures is set if it was asked for the departures of all replicas.
	allDepartures bool
	// missedAt is when updates that were lost were last requested from it.
	missedAt time.Time
	// crashList is the key of the crash list in its last reply.
	crashList hash.Key
	// crashListSent is the crash list last sent to it.
	crashListSent crashListSent
	// noLoadsAt is when it last replied without the loads that it was asked for.
	noLoadsAt time.Time
	// zone is the contact's zone; empty if it has not said.
	zone ident.Zone
	// registered is set once all registrations of the contact have arrived.
	registered bool
	// workersAsOf is the time as of which all its registrations have arrived.
	workersAsOf time.Time
	// knowsRollouts is set if the contact supports rollouts.
	knowsRollouts bool
	// readsStreamsBegun is set if the contact reads StreamsBegun.
	readsStreamsBegun bool
	// collectors are those that the contact named.
	collectors collectorList
}

// tickPolls sends polls if they are due.
func (t *transition) tickPolls() {
	if !t.settings.Serves || t.now.Before(t.seeded.pollAt) && !t.inForceReportDue() && !t.zonesReportDue() && !t.rolloutsReportDue() && !t.crashPollDue() && !t.originPollDue() && !t.processPollDue() {
		return
	}
	t.seeded.pollAt = t.now.Add(t.pollInterval())
	if t.seeded.hosts == 0 {
		t.seeded.startRounds++
	}
	t.updateHubPollSet()
	t.expireCrashes()
	hosts := t.hostsToPoll()
	t.updateLeaderContact(hosts)
	t.markLostContacts(hosts)
	t.deregisterFromUnpolled(hosts)
	if !t.pollsHubs() {
		t.reduceRequests(requests.ZonesSilent{Zones: t.silentZones()})
	}
	heartbeats := t.dequeueHeartbeats(hosts)
	group, grouped := t.groupReport()
	inForce := t.takeInForceReports()
	t.queueKnownAnswers()
	peers := t.fallbackPeersToPoll()
	begun, lookedUp := t.originFields(len(peers) > 0 || !t.needsPeersForOrigins())
	processes := t.processesToLookUp()
	replaced, crashed, answered := t.replacedReport(), t.crashReports(), t.answerEntries()
	for _, h := range hosts {
		m := t.buildPoll(h).withInForce(inForce)
		m.Replaced, m.Crashes = replaced, crashed
		m.CrashEntries = append(m.CrashEntries, answered...)
		m.Begun, m.LookedUp, m.Processes = begun, lookedUp, processes
		m.Beats, m.Group, m.Grouped = registry.Pack(heartbeats[h]), group, grouped
		t.sendPoll(h, m)
	}
	for _, h := range peers {
		m := t.fallbackPoll(h).withInForce(inForce)
		m.Begun, m.LookedUp, m.Processes = begun, lookedUp, processes
		t.sendPoll(h, m)
	}
}

// updateLeaderContact switches to the next replica if the current one confirms nothing.
func (t *transition) updateLeaderContact(hosts []ident.Host) {
	s := &t.seeded
	if len(hosts) == 0 || t.pollsHubs() {
		return
	}
	limit := min(leaderTimeoutIntervals*t.pollInterval(), maxLeaderWait)
	if slices.Contains(hosts, s.leaderContact) && t.now.Sub(s.leaderReplyAt) < limit {
		return
	}
	s.leaderPicks++
	s.leaderContact = hosts[s.leaderPicks%len(hosts)]
}

// markLostContacts marks and logs the polled hosts that have stopped replying.
func (t *transition) markLostContacts(polled []ident.Host) {
	for _, h := range polled {
		c, ok := t.seeded.contacts.Get(h)
		if ok && !c.lost && t.now.Sub(c.lastReply) > replicaTimeout {
			c.lost = true
			t.seeded.contacts = t.seeded.contacts.With(h, c)
			t.log(LogReplicaContact, string(h), "lost")
		}
	}
}

// buildPoll returns a poll of the given host: what this host reports and requests.
func (t *transition) buildPoll(to ident.Host) Poll {
	c, _ := t.seeded.contacts.Get(to)
	primary := t.primaryHub()
	isLeaderContact := to == t.seeded.leaderContact
	pollAll := t.now.Sub(t.seeded.leaderReplyAt) > min(pollAllAfterIntervals*t.pollInterval(), maxLeaderWait)
	return t.withDepartureFields(Poll{
		KnowsZones: true, Zones: t.seeded.zones.Revision,
		KnowsRollouts: t.RolloutsEnabled(), EarlierHosts: t.RolloutsEnabled() && t.hasEarlierClients(), Rollouts: t.seeded.rollouts.held.Revision,
		Version: t.config.Version,
		Lead:    isLeaderContact || t.seeded.hub.pollSet.Has(to) || pollAll,
		Table:   to == t.tableSource() || isLeaderContact && t.tableOverdue(),
		Sums:    to == t.loadSource() && !t.now.Before(t.seeded.loadsDueAt),
		Epoch:   c.epoch, Revision: c.revision, Serves: t.settings.Serves && !t.draining, Loads: t.loadsToReport(to),
		Boot: t.settings.Incarnation, Zone: t.settings.Zone, Relay: t.relayAddress(),
		Home: primary != "" && to == primary, HubList: t.seeded.hub.list.Key,
		NeighbourList: t.seeded.fallback.list.Key,
		CrashList:     t.requests.CrashList().Key, CrashEntries: t.crashEntriesForContact(to),
		CountsPrompts: true, CollectorsKey: c.collectors.key,
		SkipWorkers: t.skipsWorkersOf(to), WorkersDigest: t.workersDigestFor(to, c),
	}, to)
}

// workersDigestFor returns the digest of the known workers if a hub is about to send this host its
// registrations: after a change of hubs, or once the primary hub has sent the same ones.
func (t *transition) workersDigestFor(hub ident.Host, c contact) registry.Digest {
	if !t.pollsHubs() || c.revision > 0 || c.registered || t.skipsWorkersOf(hub) {
		return 0
	}
	return registry.DigestOf(t.requests.Workers())
}

// skipsWorkersOf reports whether a hub must send this host no registrations for now: the primary
// hub has not sent all of its own yet. Receiving the same ones from two hubs at a time would take
// twice as long.
func (t *transition) skipsWorkersOf(hub ident.Host) bool {
	primary := t.primaryHub()
	if primary == "" || hub == primary {
		return false
	}
	sending, _ := t.seeded.contacts.Get(primary)
	c, _ := t.seeded.contacts.Get(hub)
	return !sending.registered && !c.registered
}

// relayAddress returns where this host accepts workers' heartbeats, or "" if it does not. Hubs
// do not, to limit their load.
func (t *transition) relayAddress() string {
	if !t.settings.Serves || t.draining || t.seeded.hub.replies {
		return ""
	}
	return t.settings.RelayAddress
}

// sendPoll numbers and sends a poll and records when it was sent.
func (t *transition) sendPoll(to ident.Host, m Poll) {
	s := &t.seeded
	if s.lastPollNumber == 0 {
		// Poll numbers must differ between processes. Otherwise a late reply to an earlier
		// process of this host could match a poll of this one and confirm an outdated table.
		s.lastPollNumber = t.settings.Incarnation << pollNumberBits
	}
	s.lastPollNumber++
	m.Round = s.lastPollNumber
	if m.Sums {
		s.loadsPoll = m.Round
	}
	s.pendingPolls = s.pendingPolls.With(s.lastPollNumber, t.now)
	for s.pendingPolls.Len() > max(minPendingPolls, pendingPollsPerContact*len(s.hub.lastPolled)) {
		oldest, _, _ := s.pendingPolls.First()
		s.pendingPolls = s.pendingPolls.Without(oldest)
	}
	t.send(to, m)
}

// tableSource returns the contact that sends route tables to this host.
func (t *transition) tableSource() ident.Host {
	return t.pickSource("table", t.liveContacts(replicaTimeout))
}

// loadSource returns the contact that reports the loads of all hosts to this one. Its timeout
// is short because loads become outdated quickly. A replica that has just started replies without
// loads, so another one that has them is asked.
func (t *transition) loadSource() ident.Host {
	live := t.liveContacts(leaderTimeoutIntervals * t.pollInterval())
	withLoads := slices.DeleteFunc(slices.Clone(live), func(h ident.Host) bool {
		c, _ := t.seeded.contacts.Get(h)
		return !c.noLoadsAt.IsZero() && t.now.Sub(c.noLoadsAt) < sumWarmUp
	})
	if len(withLoads) > 0 {
		live = withLoads
	}
	return t.pickSource("loads", live)
}

// liveContacts returns the contacts that replied within a timeout.
func (t *transition) liveContacts(timeout time.Duration) []ident.Host {
	var live []ident.Host
	for _, h := range t.sourceCandidates() {
		if c, ok := t.seeded.contacts.Get(h); ok && t.now.Sub(c.lastReply) <= timeout {
			live = append(live, h)
		}
	}
	return live
}

// pickSource picks one of the live contacts by rendezvous hash of the purpose and this host, so that the
// hosts spread over the contacts. If there is none, it returns the leader contact.
func (t *transition) pickSource(purpose string, live []ident.Host) ident.Host {
	source, ok := hash.Best(hash.Of(purpose, string(t.settings.ID)), live, func(h ident.Host) string { return string(h) })
	if !ok {
		return t.seeded.leaderContact
	}
	return source
}

func (t *transition) sourceCandidates() []ident.Host {
	if t.pollsHubs() && !t.hubsFailed() {
		return t.seeded.hub.pollSet.Polled()
	}
	return t.knownReplicas()
}
