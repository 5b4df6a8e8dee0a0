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

// In a listed fleet, requests that crash targets are refused as in a seeded one (crashes.go): on
// arrival, before a retry, and before dispatch. A target's process is known to have exited if it
// refuses a connection or its load report carries a new incarnation, and to be alive if the report
// carries the same one. Hosts report crashes and their crash lists in heartbeats, immediately, and
// each host evaluates them on its own.

// callContent returns the key that identical calls of an account share; empty if the request has no
// digest. The digest need not be cryptographic: an account that forges collisions causes the
// refusal of its own requests only.
func callContent(c call) crashes.Content {
	if c.request.Digest == 0 {
		return ""
	}
	digest := binary.LittleEndian.AppendUint64(nil, c.request.Digest)
	return crashes.ContentOf(string(c.account.ID), digest, []byte(c.service.ID), []byte(c.request.Model))
}

// isRefusedForCrashes reports whether the call must not be sent because identical requests crash
// targets.
func (t *transition) isRefusedForCrashes(c call) bool {
	_, refused := t.requests.CrashList().Refused(c.content, t.now)
	return refused
}

// crashVerdict returns the verdict of a call that is refused for crashes.
func (t *transition) crashVerdict(c call) Verdict {
	v := Verdict{Outcome: c.combinedOutcome, Code: CodeCrashesTargets, Reason: requests.CrashReason(c.content)}
	if v.Outcome == outcome.NotRun {
		until, _ := t.requests.CrashList().Refused(c.content, t.now)
		v.RetryAfter = until.Sub(t.now)
	}
	return v
}

// suspectCrash records an interrupted attempt as a suspected crash, and probes its target, whose
// load report shows whether the process exited.
func (t *transition) suspectCrash(c call, r outcome.Interrupted) {
	h, _ := t.health.Get(c.target)
	target, known := t.config.Targets.Get(c.target)
	if c.content == "" || r.TimedOut || !known || h.IsLeaving(t.now) {
		return
	}
	probed := t.crashes.observer.ProbeRequested(c.target, c.targetIncarnation, t.now)
	t.crashes.observer = t.crashes.observer.WithSuspect(crashes.Suspect{Content: c.content, Incarnation: c.targetIncarnation, Crash: crashes.Crash{
		Attempt: fmt.Sprintf("%s/%d", c.request.ID, c.attempt), Worker: c.target, SentAt: c.sentAt, EndedAt: t.now, AnswerStarted: r.AnswerStarted,
	}}, t.now)
	if !probed {
		t.emit(Probe{Target: target})
	}
}

// checkTargetRestart derives from a load report, or from its absence, whether the target's process
// has exited. A first report of an incarnation proves nothing, as the process may be the one known
// before.
func (t *transition) checkTargetRestart(ev LoadReported) {
	h, _ := t.health.Get(ev.Target)
	switch {
	case ev.Refused:
		t.recordTargetExit(ev.Target, h.Boot)
	case ev.Failed || h.Boot == 0:
	case ev.Incarnation > h.Boot:
		t.recordTargetExit(ev.Target, h.Boot)
	default:
		t.crashes.observer = t.crashes.observer.WithProcessAlive(ev.Target, h.Boot, t.now)
	}
}

// recordTargetExit records the proof that a target's process has exited.
func (t *transition) recordTargetExit(id ident.Target, incarnation uint64) {
	t.crashes.observer, _ = t.crashes.observer.WithProcessExit(id, incarnation, t.now)
}

// crashHeartbeatDue reports whether a heartbeat should be sent early to report crashes.
func (t *transition) crashHeartbeatDue() bool {
	last := t.nextHeartbeatAt.Add(-heartbeatInterval)
	return t.crashCount() != t.crashes.reportedCount && t.now.Sub(last) >= minCrashPollInterval
}

// addCrashes adds this host's crash reports to a heartbeat, after evaluating them here too, and its
// crash list if another host holds a different one.
func (t *transition) addCrashes(b Heartbeat) Heartbeat {
	t.expireCrashes()
	b.Crashes = t.crashReports()
	t.handleCrashReports(t.settings.ID, b.Crashes)
	b.CrashList = t.requests.CrashList().Key
	for _, p := range t.peers.All() {
		if p.alive && p.heartbeat.CrashList != b.CrashList && len(b.CrashEntries) == 0 {
			b.CrashEntries, t.crashes.listSent = t.crashEntriesFor(p.heartbeat.CrashList, t.crashes.listSent)
		}
	}
	t.queueKnownAnswers()
	b.CrashEntries = append(b.CrashEntries, t.answerEntries()...)
	return b
}
