// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/hubs"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

// In a seeded fleet hosts know replicas, not each other: each host polls every replica, or
// in a large fleet two hubs (hub.go), a few times a second, for what it lacks. The leader
// confirms which route table is the newest; one replica, another one for each host, sends
// the table, and one the loads of all hosts, so that no replica's link carries all.
//
// Inputs of whom to poll, and when: how many entry hosts there are, when each contact
// replied last and with what, and the present time.
const (
	// minPollInterval and maxPollInterval bound the time between two polls of a replica;
	// it grows by pollIntervalPerHost for each host that polls replicas, so that replicas
	// stay within their bytes. Chosen; measured with them: at 300 machines the busiest
	// replica uses 46 to 55% of a tenth of a core, and several polls fit a key lease.
	minPollInterval     = 300 * time.Millisecond
	maxPollInterval     = 1400 * time.Millisecond
	pollIntervalPerHost = 7 * time.Millisecond
	// leaderTimeoutIntervals polls without a confirmation make a host turn to another
	// replica, pollAllAfterIntervals to all of them. Chosen, not measured.
	leaderTimeoutIntervals = 3
	pollAllAfterIntervals  = 2
	// maxLeaderWait bounds both where intervals are long: half of the default key lease.
	maxLeaderWait = 2 * time.Second
	// replicaTimeout without a reply is noted as a lost dependency. Chosen: a little more
	// than two polls of the largest fleet.
	replicaTimeout = 3 * time.Second
	// loadByteTime is kept between two polls for loads, for each byte of the last reply:
	// 20 kB a second. Chosen, not measured.
	loadByteTime = 50 * time.Microsecond
	// roundBits leaves room for the polls that a process may send before its numbers meet
	// those of one that starts a millisecond later.
	roundBits = 20
	// maxRounds bounds the unanswered polls remembered: some seconds of them.
	maxRounds = 32
)

// contact is a replica or a hub as the host that polls it sees it.
type contact struct {
	// epoch and revision tell how far its registry is known.
	epoch    uint64
	revision uint64
	// lastReply is when it replied last, lastUsefulReply when it did so while it was
	// itself in touch with replicas.
	lastReply       time.Time
	lastUsefulReply time.Time
	lost            bool
	// crashList names the list of crashes that it held then.
	crashList hash.Key
}

// tickPolls polls where that is due.
func (t *transition) tickPolls() {
	if !t.settings.Serves || t.now.Before(t.seeded.pollAt) && !t.inForceReportDue() && !t.zonesReportDue() && !t.crashPollDue() {
		return
	}
	t.seeded.pollAt = t.now.Add(t.pollInterval())
	t.renewHubs()
	t.expireCrashes()
	hosts := t.hostsToPoll()
	t.pickLeaderContact(hosts)
	t.noteLostReplicas(hosts)
	t.deregisterElsewhere(hosts)
	heartbeats := t.heartbeatsFor(hosts)
	group, grouped := []hubs.Host(nil), false
	if t.isHub() {
		group, grouped = t.groupReport()
	}
	inForce, zonesInForce := t.inForceReport(), t.zonesReport()
	t.queueKnownAnswers()
	replaced, crashed, answered := t.replacedReport(), t.crashReports(), t.answerEntries()
	for _, h := range hosts {
		m := t.poll(h)
		m.InForce, m.ZonesInForce, m.Replaced, m.Crashes = inForce, zonesInForce, replaced, crashed
		m.CrashEntries = append(m.CrashEntries, answered...)
		m.Beats, m.Group, m.Grouped = registry.Pack(heartbeats[h]), group, grouped
		t.sendPoll(h, m)
	}
	for _, h := range t.fallbackPeersToPoll() {
		m := t.fallbackPoll(h)
		m.InForce, m.ZonesInForce = inForce, zonesInForce
		t.sendPoll(h, m)
	}
}

// knownReplicas are the addresses of members and seeds.
func (t *transition) knownReplicas() []ident.Host {
	out := slices.Clone(t.seeded.replicas)
	for _, s := range t.settings.Seeds {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// hostsToPoll are replicas, or the hubs picked and, where these are of no use, now and then
// replicas too.
func (t *transition) hostsToPoll() []ident.Host {
	if !t.pollsHubs() {
		return t.knownReplicas()
	}
	out := t.seeded.hub.choice.Polled()
	if t.hubsFailed() && !t.now.Before(t.seeded.hub.pollReplicasAt) {
		t.seeded.hub.pollReplicasAt = t.now.Add(maxPollInterval)
		out = append(out, t.knownReplicas()...)
	}
	return out
}

// pollInterval is the time between two polls.
func (t *transition) pollInterval() time.Duration {
	polling := t.seeded.hosts
	if n := t.seeded.hub.list.Len(); n > 0 {
		polling = n
	}
	return min(max(minPollInterval, time.Duration(polling)*pollIntervalPerHost), maxPollInterval)
}

// pickLeaderContact turns to the next replica where the present one confirms nothing.
func (t *transition) pickLeaderContact(hosts []ident.Host) {
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

// noteLostReplicas logs the hosts polled that have not replied for long.
func (t *transition) noteLostReplicas(polled []ident.Host) {
	for _, h := range polled {
		c, ok := t.seeded.contacts.Get(h)
		if ok && !c.lost && t.now.Sub(c.lastReply) > replicaTimeout {
			c.lost = true
			t.seeded.contacts = t.seeded.contacts.With(h, c)
			t.log(LogReplicaContact, string(h), "lost")
		}
	}
}

// poll is what this host reports to another one, and what it asks for.
func (t *transition) poll(to ident.Host) Poll {
	c, _ := t.seeded.contacts.Get(to)
	primary := t.primaryHub()
	isLeaderContact := to == t.seeded.leaderContact
	pollAll := t.now.Sub(t.seeded.leaderReplyAt) > min(pollAllAfterIntervals*t.pollInterval(), maxLeaderWait)
	return Poll{
		KnowsZones: true, Zones: t.seeded.zones.Revision,
		Version: t.config.Version,
		Lead:    isLeaderContact || t.seeded.hub.choice.Has(to) || pollAll,
		Table:   to == t.tableSource() || isLeaderContact && t.tableOverdue(),
		Sums:    to == t.loadSource() && !t.now.Before(t.seeded.loadsAt),
		Epoch:   c.epoch, Revision: c.revision, Serves: t.settings.Serves && !t.draining, Loads: t.loadsFor(to),
		Boot: t.settings.Incarnation, Zone: t.settings.Zone, Relay: t.relayAddress(),
		Home: primary != "" && to == primary, HubList: t.seeded.hub.list.Key,
		NeighbourList: t.seeded.fallback.list.Key,
		CrashList:     t.requests.CrashList().Key, CrashEntries: t.crashEntriesFor(c.crashList),
	}
}

// relayAddress is where this host takes workers' heartbeats now; empty for nowhere. A hub
// has enough to do.
func (t *transition) relayAddress() string {
	if !t.settings.Serves || t.draining || t.seeded.hub.serves {
		return ""
	}
	return t.settings.RelayAddress
}

// sendPoll numbers a poll and remembers when it was sent.
func (t *transition) sendPoll(to ident.Host, m Poll) {
	s := &t.seeded
	if s.round == 0 {
		// Numbers differ from process to process: a late reply to an earlier process of
		// this host would confirm a table as of a time at which it was older.
		s.round = t.settings.Incarnation << roundBits
	}
	s.round++
	m.Round = s.round
	s.rounds = s.rounds.With(s.round, t.now)
	for s.rounds.Len() > maxRounds {
		oldest, _, _ := s.rounds.First()
		s.rounds = s.rounds.Without(oldest)
	}
	t.send(to, m)
}

// tableSource is the contact that sends this host route tables.
func (t *transition) tableSource() ident.Host { return t.sourceOf("table", replicaTimeout) }

// loadSource is the contact that reports the loads of all hosts to this one. It is left
// soon where it is silent, as loads age fast.
func (t *transition) loadSource() ident.Host {
	return t.sourceOf("loads", leaderTimeoutIntervals*t.pollInterval())
}

// sourceOf picks one of the contacts that replied within a time: another one for each
// host, so that none serves all of them.
func (t *transition) sourceOf(what string, within time.Duration) ident.Host {
	var live []ident.Host
	for _, h := range t.sources() {
		if c, ok := t.seeded.contacts.Get(h); ok && t.now.Sub(c.lastReply) <= within {
			live = append(live, h)
		}
	}
	source, ok := hash.Best(hash.Of(what, string(t.settings.ID)), live, func(h ident.Host) string { return string(h) })
	if !ok {
		return t.seeded.leaderContact
	}
	return source
}

// sources are the contacts of which one may be the source of something.
func (t *transition) sources() []ident.Host {
	if t.pollsHubs() && !t.hubsFailed() {
		return t.seeded.hub.choice.Polled()
	}
	return t.knownReplicas()
}
