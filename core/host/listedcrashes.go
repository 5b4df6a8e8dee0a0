// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"encoding/binary"
	"fmt"

	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
)

// In a listed fleet a request under which targets end is refused as in one with a route table
// (package crashes): when it arrives, before a retry, and once a place is found for it. A
// target's process is known to have ended where a connection to it is refused or its load
// report names another start, and to live where one names the same. Hosts report crashes and
// their lists in heartbeats, at once, and each host judges for itself.

// contentOf identifies a call among those that are the same. Its digest is no cryptographic
// one: an account can bring about the refusal of nobody's requests but its own.
func contentOf(c call) crashes.Content {
	if c.req.Digest == 0 {
		return ""
	}
	digest := binary.LittleEndian.AppendUint64(nil, c.req.Digest)
	return crashes.ContentOf(string(c.account.ID), digest, []byte(c.service.ID), []byte(c.req.Model))
}

// isRefused tells whether the call is sent to no target any more.
func (t *transition) isRefused(c call) bool {
	_, refused := t.requests.CrashList().Refused(c.content, t.now)
	return refused
}

// crashVerdict ends such a call.
func (t *transition) crashVerdict(c call) Verdict {
	v := Verdict{Outcome: c.combined, Code: CodeCrashesTargets, Reason: requests.CrashReason(c.content)}
	if v.Outcome == outcome.NotRun {
		until, _ := t.requests.CrashList().Refused(c.content, t.now)
		v.RetryAfter = until.Sub(t.now)
	}
	return v
}

// targetBroke suspects an attempt that broke off, and asks its target for a load report,
// which tells whether the target ended.
func (t *transition) targetBroke(c call, r outcome.Interrupted) {
	h, _ := t.health.Get(c.target)
	target, known := t.config.Targets.Get(c.target)
	if c.content == "" || r.TimedOut || !known || h.IsLeaving(t.now) {
		return
	}
	asked := t.crashes.observer.ProbeRequested(c.target, c.boot, t.now)
	t.crashes.observer = t.crashes.observer.WithSuspect(crashes.Suspect{Content: c.content, Incarnation: c.boot, Crash: crashes.Crash{
		Attempt: fmt.Sprintf("%s/%d", c.req.ID, c.attempt), Worker: c.target, SentAt: c.sentAt, EndedAt: t.now, AnswerStarted: r.AnswerStarted,
	}}, t.now)
	if !asked {
		t.emit(Probe{Target: target})
	}
}

// targetReported takes a target's load report, or that none came, as a sign of its process.
// One that first names its start may be the process known before.
func (t *transition) targetReported(ev LoadReported) {
	h, _ := t.health.Get(ev.Target)
	switch {
	case ev.Refused:
		t.targetEnded(ev.Target, h.Boot)
	case ev.Failed || h.Boot == 0:
	case ev.Boot > h.Boot:
		t.targetEnded(ev.Target, h.Boot)
	default:
		t.crashes.observer = t.crashes.observer.WithProcessAlive(ev.Target, h.Boot, t.now)
	}
}

// targetEnded takes the proof that a target's process ended.
func (t *transition) targetEnded(id ident.Target, boot uint64) {
	t.crashes.observer, _ = t.crashes.observer.WithProcessExit(id, boot, t.now)
}

// crashHeartbeatDue tells whether a heartbeat is sent early, as a target has ended.
func (t *transition) crashHeartbeatDue() bool {
	last := t.heartbeatAt.Add(-heartbeatInterval)
	return t.crashesSeen() != t.crashes.reported && t.now.Sub(last) >= crashPollGap
}

// withCrashes adds to a heartbeat what this host has seen, which counts here too, and its
// list where another host holds another one.
func (t *transition) withCrashes(b Heartbeat) Heartbeat {
	t.forgetCrashes()
	b.Crashes = t.crashReport()
	t.crashesReceived(t.settings.ID, b.Crashes)
	b.CrashList = t.requests.CrashList().Key
	for _, p := range t.peers.All() {
		if p.alive && p.heartbeat.CrashList != b.CrashList {
			b.CrashEntries = t.crashEntries(t.requests.CrashList())
		}
	}
	t.noteAnswers()
	b.CrashEntries = append(b.CrashEntries, t.answerEntries()...)
	return b
}
