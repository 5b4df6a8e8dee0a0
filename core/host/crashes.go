// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// Package requests detects workers that crash while they run requests and refuses the requests that
// cause it; package crashes decides which requests do. This file distributes that knowledge: hosts
// report crashes in polls, immediately and several times; each replica evaluates the reports on its
// own, without a leader, and sends its crash list to all hosts, through hubs in large fleets. Crash
// lists are merged, so a host that restarted, was partitioned or lost its disk learns them from any
// other. Replicas store them on disk, as all hosts may lose power.
//
// Hosts of an earlier version do not report crashes, refuse requests or forward either. In a mixed
// fleet only the hosts that know of a request refuse it.

// minCrashPollInterval is the time between two polls sent early because of crashes, so that crashes
// at about the same time are reported together.
const minCrashPollInterval = 100 * time.Millisecond

// crashState is a process's state on crashes. Package requests holds the current crash list.
type crashState struct {
	// evidence holds the reports received by a replica or a host of a listed fleet, clientReports
	// those that a hub forwards to replicas. observer detects crashes on a host of a listed fleet.
	evidence      crashes.Evidence
	clientReports crashes.Reports
	observer      crashes.Observer
	// reportedCount is the number of crashes that polls have reported.
	reportedCount uint64
	// persistedKey is the key of the crash list that a replica has persisted.
	persistedKey hash.Key
	// recentAnswers are the requests recently answered on a host of a listed fleet.
	recentAnswers crashes.RecentAnswers
	// answersToReport holds when suspected requests were answered. They are reported until
	// reportAnswersUntil; answerReportDue is set while one has not been reported.
	answersToReport    table.Table[crashes.Content, time.Time]
	reportAnswersUntil time.Time
	answerReportDue    bool
	// suspicions are the requests with enough crashes to be suspected.
	suspicions table.Table[crashes.Content, suspicion]
	// listSent is the crash list that a host of a listed fleet last sent.
	listSent crashListSent
}

// suspicion is a request with enough crashes to be suspected, since when, and the result of its last evaluation.
type suspicion struct {
	since  time.Time
	result crashes.Entry
}

// isRepeated reports whether an evaluation gives the same result again.
func (s suspicion) isRepeated(e crashes.Entry) bool {
	return s.result.Crashes == e.Crashes && s.result.At.Equal(e.At) && slices.Equal(s.result.Beside, e.Beside)
}

// crashCount returns the number of crashes detected here or reported by clients.
func (t *transition) crashCount() uint64 {
	return t.requests.CrashReports().Total + t.crashes.clientReports.Total + t.crashes.observer.Reports().Total
}

// crashPollDue reports whether this host should poll early to report crashes or answers.
func (t *transition) crashPollDue() bool {
	lastPoll := t.seeded.pollAt.Add(-t.pollInterval())
	return (t.crashCount() != t.crashes.reportedCount || t.crashes.answerReportDue) && t.now.Sub(lastPoll) >= minCrashPollInterval
}

// answerReportWindow is how long an answer is reported, in several messages as one may be lost.
const answerReportWindow = 2 * time.Second

// queueAnswerReport queues a report that a suspected request was answered.
func (t *transition) queueAnswerReport(content crashes.Content, at time.Time) {
	if previous, ok := t.crashes.answersToReport.Get(content); ok && !at.After(previous) {
		return
	}
	t.crashes.answersToReport = t.crashes.answersToReport.With(content, at)
	t.crashes.reportAnswersUntil, t.crashes.answerReportDue = t.now.Add(answerReportWindow), true
}

// queueKnownAnswers queues reports of the answers that this host remembers for requests on the
// crash list.
func (t *transition) queueKnownAnswers() {
	watchesPart := false
	for _, e := range t.requests.CrashList().Entries() {
		watchesPart = watchesPart || e.Crashes > 0 && e.Content.IsPart()
		at, ok := t.requests.AnsweredAt(e.Content, t.now)
		if !ok {
			at, ok = t.crashes.recentAnswers.LastAnswered(e.Content, t.now)
		}
		if ok && e.Crashes > 0 {
			t.queueAnswerReport(e.Content, at)
		}
	}
	if at, ok := t.requests.AnsweredAt(crashes.AnyPart, t.now); ok && watchesPart {
		t.queueAnswerReport(crashes.AnyPart, at)
	}
}

// answerEntries returns the queued answer reports. Once the report window is over, it drops them.
func (t *transition) answerEntries() []CrashEntry {
	t.crashes.answerReportDue = false
	if t.now.After(t.crashes.reportAnswersUntil) {
		t.crashes.answersToReport = table.Table[crashes.Content, time.Time]{}
	}
	var out []CrashEntry
	for content, at := range t.crashes.answersToReport.All() {
		out = append(out, CrashEntry{Content: content, Age: t.now.Sub(at)})
	}
	return out
}

// evaluatesCrashes reports whether this host evaluates crash reports: a replica does, and every
// host of a listed fleet, as all of them receive each other's heartbeats.
func (t *transition) evaluatesCrashes() bool { return t.settings.IsReplica() || !t.settings.Seeded() }

// handleCrashReports adds another host's reports to the evidence, or on a hub to the reports to
// forward.
func (t *transition) handleCrashReports(from ident.Host, reports []CrashReport) {
	for _, r := range reports {
		ended := t.now.Add(-max(0, r.Age))
		c := crashes.Crash{
			Attempt: r.Attempt, Worker: r.Worker, SentAt: ended.Add(-max(0, r.Ran)), EndedAt: ended, AnswerStarted: r.Begun,
		}
		if !t.evaluatesCrashes() {
			report := crashes.Report{Content: r.Content, Parts: r.Parts, Crash: c, SeenAt: t.now}
			t.crashes.clientReports = t.crashes.clientReports.With(report, t.now)
			continue
		}
		t.addCrashEvidence(r.Content, c)
		for _, part := range r.Parts[:min(len(r.Parts), maxCrashParts)] {
			t.addCrashEvidence(part, c)
		}
	}
	if t.evaluatesCrashes() && len(reports) > 0 {
		t.evaluateCrashes(from)
	}
}

// addCrashEvidence adds a crash of a request or a part, unless it is known to have been answered since.
func (t *transition) addCrashEvidence(content crashes.Content, c crashes.Crash) {
	if e, ok := t.requests.CrashList().Get(content); ok && e.Crashes == 0 && !c.EndedAt.After(e.At) {
		return
	}
	t.crashes.evidence = t.crashes.evidence.With(content, c, t.now)
}

// evaluateCrashes merges the result of evaluating the evidence into the crash list. A request with
// enough crashes is only suspected for crashes.AnswerReportWindow, so that hosts can report that it
// was answered in the meantime. A result that was merged before does not replace an answer: the times of crashes in
// the evidence and of answers in the list are off by different times in transit.
func (t *transition) evaluateCrashes(from ident.Host) {
	suspicions := table.Table[crashes.Content, suspicion]{}
	var results []crashes.Entry
	for _, e := range t.crashes.evidence.Evaluate(t.now) {
		s, known := t.crashes.suspicions.Get(e.Content)
		if !known {
			s.since = t.now
		}
		if t.now.Sub(s.since) < crashes.AnswerReportWindow {
			e = e.AsWatched()
		}
		if held, listed := t.requests.CrashList().Get(e.Content); !s.isRepeated(e) || !listed || held.Crashes > 0 {
			results = append(results, e)
		}
		s.result = e
		suspicions = suspicions.With(e.Content, s)
	}
	t.crashes.suspicions = suspicions
	t.applyCrashList(from, t.requests.CrashList().WithEvaluated(t.now, results...), results)
}

// tickCrashes evaluates the evidence again once hosts had time to report answers to suspected
// requests.
func (t *transition) tickCrashes() {
	for _, s := range t.crashes.suspicions.All() {
		if waited := t.now.Sub(s.since); waited >= crashes.AnswerReportWindow && waited < crashes.AnswerReportWindow+reevaluationWindow {
			t.evaluateCrashes(t.settings.ID)
			return
		}
	}
}

// reevaluationWindow is how long ticks evaluate again: several ticks. After that only new reports
// change the result.
const reevaluationWindow = 200 * time.Millisecond

// handleCrashEntries merges another host's crash list. Its ages are as of a time, which for the reply to a poll is
// when the poll was sent: the reply may have been long on the way, and an entry that seems younger than it is
// would count as another one.
func (t *transition) handleCrashEntries(from ident.Host, entries []CrashEntry, asOf time.Time) {
	if len(entries) == 0 {
		return
	}
	received := make([]crashes.Entry, 0, len(entries))
	excused := false
	for _, e := range entries {
		entry := crashes.Entry{Content: e.Content, Crashes: max(0, e.Ends), At: asOf.Add(-max(0, e.Age)), Beside: e.Beside, Stamp: max(0, e.Stamp)}
		if entry.Crashes == 0 {
			excused = t.handleAnswerReport(entry) || excused
		}
		received = append(received, entry)
	}
	t.applyCrashList(from, t.requests.CrashList().With(t.now, received...), received)
	if excused {
		t.evaluateCrashes(from)
	}
}

// handleAnswerReport drops the evidence that predates an answer reported by another host; a hub
// forwards the report. It reports whether a part of prompts is excused, which may show that another one
// crashes workers.
func (t *transition) handleAnswerReport(e crashes.Entry) (excused bool) {
	before := t.crashes.evidence.CrashCount(e.Content)
	t.crashes.evidence = t.crashes.evidence.WithAnswer(e.Content, e.At)
	excused = e.Content.IsPart() && t.evaluatesCrashes() && t.crashes.evidence.CrashCount(e.Content) < before
	if !t.evaluatesCrashes() && t.now.Sub(e.At) <= answerReportWindow {
		t.queueAnswerReport(e.Content, e.At)
	}
	return excused
}

// applyCrashList puts a crash list in force into which entries have been merged, and logs the changes.
func (t *transition) applyCrashList(from ident.Host, after crashes.List, entries []crashes.Entry) {
	before := t.requests.CrashList()
	t.requests = t.requests.WithCrashList(after)
	if before.Key == after.Key {
		return
	}
	for _, e := range entries {
		previous, _ := before.Get(e.Content)
		if current, _ := after.Get(e.Content); current.Crashes != previous.Crashes {
			t.log(LogCrashes, current.Content.String(), fmt.Sprintf("ends=%d before=%d last_ms=%d refused=%t part=%t beside=%d by=%s",
				current.Crashes, previous.Crashes, t.now.Sub(current.At).Milliseconds(), current.Crashes >= crashes.CrashesToRefuse,
				current.Content.IsPart(), len(current.Beside), from))
		}
	}
	t.queueKnownAnswers()
	t.persistCrashes(after)
}

// persistCrashes stores the decided entries of the crash list on a replica's disk if they changed.
func (t *transition) persistCrashes(l crashes.List) {
	decided := l.Decided()
	if !t.settings.IsReplica() || decided.Key == t.crashes.persistedKey {
		return
	}
	t.crashes.persistedKey = decided.Key
	t.emit(PersistCrashes{Entries: t.crashEntries(decided)})
}

// crashEntries converts a crash list to its wire format.
func (t *transition) crashEntries(l crashes.List) []CrashEntry {
	out := make([]CrashEntry, 0, l.Len())
	for _, e := range l.Entries() {
		out = append(out, CrashEntry{Content: e.Content, Ends: e.Crashes, Age: t.now.Sub(e.At), Beside: e.Beside, Stamp: e.Stamp})
	}
	return out
}

// expireCrashes drops expired entries and evidence.
func (t *transition) expireCrashes() {
	if t.requests.CrashList().Len() == 0 && t.crashes.evidence.Len() == 0 {
		return
	}
	t.requests = t.requests.WithCrashList(t.requests.CrashList().With(t.now))
	t.crashes.evidence = t.crashes.evidence.Expire(t.now)
}

// WithCrashList returns the state with the crash list read from disk.
func (s State) WithCrashList(entries []CrashEntry, now time.Time) State {
	t := transition{State: s, now: now}
	t.handleCrashEntries(s.settings.ID, entries, now)
	t.crashes.persistedKey = t.requests.CrashList().Decided().Key
	return t.State
}
