// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/confirmation"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// handlePollReply applies the reply of a replica, a hub or a fallback peer.
func (t *transition) handlePollReply(from ident.Host, m PollReply) {
	if m.Neighbour {
		t.handleFallbackReply(from, m)
		return
	}
	t.recordReply(from, m)
	t.applyDepartures(from, m)
	t.storeRegistrations(t.applyRegistrations(from, m))
	t.handleCrashEntries(from, m.CrashEntries, t.pollSentAt(m.Round))
	t.handleFoundOrigins(from, m.Origins)
	t.applyHubList(m)
	t.applyFallbackPeers(m)
	// A host that had the route table first would send requests to all versions meanwhile.
	t.applyRollouts(from, m.Rollouts)
	t.applyTable(m)
	t.applyZones(from, m.Zones)
	t.requestMoreWorkers(from, m)
	if from == t.primaryHub() {
		t.reduceRequests(requests.ZonesSilent{Zones: m.SilentZones})
	}
	sent, known := t.popPendingPoll(m.Round)
	if m.KnowsProcesses {
		t.requests = t.requests.WithProcessesReported()
	}
	if known {
		t.applyDatedReply(from, m, sent)
	}
	if !m.Fresh {
		// A starting fleet has no leader yet, but its size must already limit how often its
		// hosts poll the replicas.
		t.seeded.hosts = max(t.seeded.hosts, m.Hosts)
		t.redirectToLeader(from, m.Leader)
		return
	}
	t.seeded.leaderContact, t.seeded.leaderReplyAt = from, t.now
	t.seeded.replicas = m.Replicas
	t.recordNewestVersion(m.Version)
	if m.Hosts > 0 {
		t.seeded.hosts = m.Hosts
		t.requests = t.requests.WithHostCount(t.mostHosts(m.Hosts))
	}
	if known {
		t.applyConfirmation(m, sent)
	}
}

// hostsSettleTime is how long a number of entry hosts must be lower before it counts: longer than a leader that has just
// started lacks hosts, or the hosts of hubs.
const hostsSettleTime = 5 * time.Second

// mostHosts returns the highest number of entry hosts that leaders have reported lately. Limits of the whole fleet are
// divided by it, so that a number that is too low for a while would let all hosts together exceed them.
func (t *transition) mostHosts(reported int) int {
	s := &t.seeded
	if reported >= s.mostHosts || t.now.Sub(s.mostHostsAt) > hostsSettleTime {
		s.mostHosts, s.mostHostsAt = reported, t.now
	}
	return s.mostHosts
}

// applyDatedReply applies what the reply to a poll that was sent at a time says as of then.
func (t *transition) applyDatedReply(from ident.Host, m PollReply, sent time.Time) {
	t.handleLives(m.Lives, sent)
	t.recordWorkersKnown(from, m, sent)
	if !m.Cut && t.hasAllDepartures(from, m) {
		t.requests = t.requests.WithDeparturesKnown(sent)
	}
	switch {
	case m.Summed:
		t.applyLoadSums(m, sent)
	case m.Round == t.seeded.loadsPoll:
		c, _ := t.seeded.contacts.Get(from)
		c.noLoadsAt = t.now
		t.seeded.contacts = t.seeded.contacts.With(from, c)
	}
}

// applyLoadSums stores the loads in the reply to a poll that was sent at a time.
func (t *transition) applyLoadSums(m PollReply, sent time.Time) {
	t.seeded.loadsDueAt = t.now.Add(time.Duration(len(m.Loads)) * loadByteTime)
	reported, ok := t.extrapolated(m)
	if !ok {
		return
	}
	// The sender may have summed the loads up to half an interval before its reply.
	t.applyReportedLoads(reported, sent.Add(-t.pollInterval()/2-m.LoadsAge))
}

// minReportedShare is the least share of the other hosts that a sum must include.
const minReportedShare = 0.25

// extrapolated returns the loads of all other hosts. Where a replica lacks those of some, as after its start or while
// hosts turn to other hubs, they are assumed to have as many requests as the hosts that it knows. ok is false if it knows
// too few.
func (t *transition) extrapolated(m PollReply) (reported loads.Digest, ok bool) {
	others := t.seeded.hosts - 1
	if t.seeded.hub.replies {
		others = t.seeded.hosts - len(t.loadReports()) - 1
	}
	if m.LoadsOf == 0 || m.LoadsOf >= others {
		return m.Loads, true
	}
	return m.Loads.Scaled(float64(others) / float64(m.LoadsOf)), float64(m.LoadsOf) >= minReportedShare*float64(others)
}

// popPendingPoll removes a poll from the pending ones and returns when it was sent. known is
// false for an unsolicited update and for a late reply.
func (t *transition) popPendingPoll(round uint64) (sent time.Time, known bool) {
	sent, known = t.seeded.pendingPolls.Get(round)
	t.seeded.pendingPolls = t.seeded.pendingPolls.Without(round)
	return sent, known
}

// pollSentAt returns when a pending poll was sent; the present for an unsolicited update and for a late reply.
func (t *transition) pollSentAt(round uint64) time.Time {
	if sent, ok := t.seeded.pendingPolls.Get(round); ok {
		return sent
	}
	return t.now
}

// applyConfirmation records that the table held here was the newest when the poll was sent,
// unless the reply names a newer one.
func (t *transition) applyConfirmation(m PollReply, sent time.Time) {
	if t.config.Version >= m.Version {
		t.reduceRequests(requests.Confirmed{Confirmation: confirmation.FromReply(sent, m.Age)})
	}
}

// applyRegistrations stores the valid registrations in a reply and returns them.
func (t *transition) applyRegistrations(from ident.Host, m PollReply) []registry.Worker {
	workers := t.unpackWorkers(from, m.Workers)
	if len(workers) > 0 {
		t.reduceRequests(requests.Registered{From: from, Workers: workers})
	}
	return workers
}

// unpackWorkers returns the valid registrations in a message.
func (t *transition) unpackWorkers(from ident.Host, packed []byte) []registry.Worker {
	workers, err := registry.Unpack(packed)
	if err != nil {
		t.log(LogReplicaContact, string(from), "cannot decode registrations: "+err.Error())
	}
	workers, err = registry.Checked(workers)
	if err != nil {
		t.log(LogReplicaContact, string(from), "invalid registration: "+err.Error())
	}
	return workers
}

// tableOverdue reports whether a newer table has been known for so long that this host requests
// it from the leader itself.
func (t *transition) tableOverdue() bool {
	since := t.seeded.newerKnownAt
	return t.config.Version == 0 || !since.IsZero() && t.now.Sub(since) > t.pollInterval()
}

// recordNewestVersion records a version that was the newest when it was reported, and since
// when this host has known of a newer table than its own.
func (t *transition) recordNewestVersion(v config.Version) {
	s := &t.seeded
	s.newestVersion = max(s.newestVersion, v)
	switch newerKnown := t.config.Version < s.newestVersion; {
	case !newerKnown:
		s.newerKnownAt = time.Time{}
	case s.newerKnownAt.IsZero():
		s.newerKnownAt = t.now
	}
	t.requests = t.requests.WithNewerTableKnown(!s.newerKnownAt.IsZero())
}

// redirectToLeader polls the leader that the leader contact reported. A contact that knows no
// leader or is partitioned is replaced after a timeout (updateLeaderContact).
func (t *transition) redirectToLeader(from, leader ident.Host) {
	if from != t.seeded.leaderContact || leader == "" || leader == from || t.pollsHubs() {
		return
	}
	t.seeded.leaderContact = leader
	t.sendPoll(leader, t.buildPoll(leader))
}

// applyTable puts a newer route table in force. A delta from a version other than the one held
// is dropped; the next poll requests the table again.
func (t *transition) applyTable(m PollReply) {
	if len(m.Gateway) == 0 || m.Version <= t.config.Version {
		return
	}
	routes, err := t.unpackTable(m)
	if err != nil {
		t.counters.StaleConfig++
		return
	}
	next := t.config
	next.Version, next.Gateway = m.Version, routes
	t.applyConfig(next)
}

// unpackTable returns the route table of a reply: a complete one if Base is 0, or else the held
// table with the delta applied, which requires that this host holds version Base.
func (t *transition) unpackTable(m PollReply) (config.RouteTable, error) {
	if m.Base == 0 {
		return config.UnpackRouteTable(m.Gateway)
	}
	if m.Base != t.config.Version {
		return config.RouteTable{}, errors.Errorf("route table delta from version %d does not apply to held version %d", m.Base, t.config.Version)
	}
	d, err := config.UnpackRouteTableDelta(m.Gateway)
	if err != nil {
		return config.RouteTable{}, err
	}
	return t.config.Gateway.WithDelta(d)
}

// recordReply records that a contact replied, and up to which revision its registry is known.
func (t *transition) recordReply(from ident.Host, m PollReply) {
	c, known := t.seeded.contacts.Get(from)
	if !known || c.lost {
		t.log(LogReplicaContact, string(from), "found")
	}
	c.lastReply, c.lost, c.crashList, c.zone, c.knowsRollouts = t.now, false, m.CrashList, m.Zone, m.KnowsRollouts
	c.readsStreamsBegun = m.ReadsStreamsBegun
	c = c.withCollectors(m)
	if !m.Cut {
		c.lastUsefulReply = t.now
		if t.seeded.hub.pollSet.Has(from) {
			t.seeded.hub.pollSet = t.seeded.hub.pollSet.WithUsefulReply(t.now)
		}
	}
	missed := false
	switch {
	case c.epoch != m.Epoch && m.Since == 0:
		c.epoch, c.revision, c.registered, c.departures = m.Epoch, m.Revision, false, 0
	case c.epoch == m.Epoch && m.Since <= c.revision:
		c.revision = max(c.revision, m.Revision)
	default:
		missed = true
	}
	switch {
	case !m.KnowsDepartures || c.epoch != m.Epoch:
	case m.DeparturesSince <= c.departures:
		c.departures = max(c.departures, m.DeparturesUpTo)
	default:
		missed = true
	}
	c.registered = c.registered || c.revision >= m.NewestRevision
	t.seeded.contacts = t.seeded.contacts.With(from, c)
	if missed {
		t.requestMissed(from)
	}
}

// missedPollInterval is the time between two requests for lost updates: several round trips.
const missedPollInterval = 100 * time.Millisecond

// requestMissed polls a contact at once for the updates that were lost on the way from it.
func (t *transition) requestMissed(from ident.Host) {
	c, _ := t.seeded.contacts.Get(from)
	if t.now.Sub(c.missedAt) < missedPollInterval || !slices.Contains(t.seeded.hub.lastPolled, from) {
		return
	}
	c.missedAt = t.now
	t.seeded.contacts = t.seeded.contacts.With(from, c)
	t.counters.UpdatesMissed++
	m := t.buildPoll(from).withInForce(t.takeInForceReports())
	m.Missed = true
	t.sendPoll(from, m)
}

// requestMoreWorkers polls a contact again as soon as a batch of registrations has arrived and
// more are to come, so that the receiver sets the rate.
func (t *transition) requestMoreWorkers(from ident.Host, m PollReply) {
	c, _ := t.seeded.contacts.Get(from)
	isNewest := len(m.Workers) > 0 && c.epoch == m.Epoch && c.revision == m.Revision
	if !isNewest || c.revision >= m.NewestRevision || !slices.Contains(t.seeded.hub.lastPolled, from) {
		return
	}
	t.sendPoll(from, t.buildPoll(from).withInForce(t.takeInForceReports()))
}
