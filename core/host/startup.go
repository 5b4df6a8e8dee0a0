// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"strings"
	"time"

	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/requests"
)

// Milestones are when a process of a seeded fleet first had what it needs to serve, counted from its
// start. A milestone that was not reached is 0.
type Milestones struct {
	// Leader is when it knew a leader: on an entry host by a confirmation, on a replica by the replicated
	// log.
	Leader time.Duration
	// Table is when it held a route table.
	Table time.Duration
	// Target, Ready and Answer are reached by entry hosts only: when it knew a target, when it was ready,
	// and when it passed on the first answer of a target.
	Target time.Duration
	Ready  time.Duration
	Answer time.Duration
}

const (
	// firstStartupReport is how long after its start a process first logs what it lacks. The time to the
	// next such line doubles, up to maxStartupReportGap.
	firstStartupReport  = 5 * time.Second
	maxStartupReportGap = time.Minute
)

// startupState is the progress of a process from its start to service.
type startupState struct {
	milestones Milestones
	// reportAt is when the missing milestones are logged next.
	reportAt time.Time
}

// isComplete reports whether a process has all it needs to serve, or on a replica the configuration.
func (m Milestones) isComplete(serves bool) bool {
	return m.Table > 0 && m.Leader > 0 && (!serves || m.Target > 0 && m.Ready > 0)
}

// updateStartup records the milestones reached by now. It logs them once they are complete, and until then from
// time to time what is missing.
func (t *transition) updateStartup() {
	m, serves := &t.seeded.startup.milestones, t.settings.Serves
	if m.isComplete(serves) {
		return
	}
	t.reach(&m.Leader, t.knowsLeader())
	t.reach(&m.Table, t.requests.TableNumber() > 0 || t.config.Gateway.Number > 0)
	t.reach(&m.Target, serves && t.requests.WorkerCount() > 0)
	t.reach(&m.Ready, serves && t.ready)
	if m.isComplete(serves) {
		t.logStartup("")
		return
	}
	t.reportMissing()
}

// reach records that a milestone is reached now.
func (t *transition) reach(milestone *time.Duration, reached bool) {
	if reached && *milestone == 0 {
		*milestone = max(1, t.now.Sub(t.started))
	}
}

func (t *transition) knowsLeader() bool {
	if t.settings.IsReplica() {
		return t.raft.Leader() != ""
	}
	return !t.seeded.leaderReplyAt.IsZero()
}

// noteAnswer records the first answer of a target that is passed on.
func (t *transition) noteAnswer(d requests.Decision) {
	m := &t.seeded.startup.milestones
	finished, ok := d.(requests.Finish)
	if !ok || m.Answer > 0 || finished.Verdict.Code != requests.CodeOK {
		return
	}
	t.reach(&m.Answer, true)
	t.logStartup("")
}

// reportMissing logs what a process that has started long ago lacks.
func (t *transition) reportMissing() {
	s := &t.seeded.startup
	if s.reportAt.IsZero() {
		s.reportAt = t.started.Add(firstStartupReport)
	}
	if t.now.Before(s.reportAt) {
		return
	}
	s.reportAt = t.now.Add(min(max(t.now.Sub(t.started), firstStartupReport), maxStartupReportGap))
	t.logStartup(t.startupObstacle())
}

// startupObstacle returns what is known of the first missing milestone.
func (t *transition) startupObstacle() string {
	m := t.seeded.startup.milestones
	switch {
	case m.Leader == 0 && t.settings.IsReplica():
		return "no leader: " + describeElection(t.raft)
	case m.Leader == 0:
		polls := t.seeded.lastPollNumber & (1<<pollNumberBits - 1)
		return fmt.Sprintf("no confirmation: polls=%d contacts=%d replied=%d", polls, t.seeded.contacts.Len(), t.repliedContacts())
	case m.Table == 0:
		return "no route table"
	case m.Target == 0 && t.settings.Serves:
		return "no target"
	}
	return "not ready"
}

// describeElection tells why a replica follows no leader: whether a quorum votes, and whether this
// replica is a member with a vote.
func describeElection(r raft.State) string {
	return fmt.Sprintf("role=%s term=%d voter=%t votes=%d refusals=%d voters=%d members=%d last=%d commit=%d",
		r.Role(), r.Term(), r.IsVoter(), r.Votes(), r.Refusals(), r.VoterCount(), len(r.Members()), r.Log().Last(), r.CommitIndex())
}

// repliedContacts returns the number of replicas and hubs that have replied to this process.
func (t *transition) repliedContacts() int {
	n := 0
	for _, c := range t.seeded.contacts.All() {
		if !c.lastReply.IsZero() {
			n++
		}
	}
	return n
}

// logStartup logs the milestones, and what is missing where something is.
func (t *transition) logStartup(missing string) {
	m := t.seeded.startup.milestones
	var b strings.Builder
	fmt.Fprintf(&b, "serves=%t after=%s", t.settings.Serves, t.now.Sub(t.started).Round(time.Millisecond))
	for _, one := range []struct {
		name string
		at   time.Duration
	}{{"leader", m.Leader}, {"table", m.Table}, {"target", m.Target}, {"ready", m.Ready}, {"answer", m.Answer}} {
		if one.at > 0 {
			fmt.Fprintf(&b, " %s=%s", one.name, one.at.Round(time.Millisecond))
		}
	}
	if missing != "" {
		b.WriteString(" missing: " + missing)
	}
	t.log(LogStartup, string(t.settings.ID), b.String())
}
