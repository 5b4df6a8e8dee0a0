// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"time"

	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// Package requests sees workers end under requests and refuses those that end them, package
// crashes decides which ones these are. Here is how all hosts come to know: hosts report what
// they see in polls, at once and some times over; each replica judges for itself, without a
// leader, and sends its list to all hosts, as hubs pass it on. Lists are joined, so that
// whoever has started again, was cut off or has lost its disk learns them from any other;
// replicas keep them on disk for when all have lost power.
//
// A program from before it neither reports nor obeys, and passes nothing on: while two
// versions run, a request is refused by the hosts that know of it.

// crashPollGap is kept between two polls that are sent early because a worker ended: when
// many end at once, hosts report them together. Chosen, not measured.
const crashPollGap = 100 * time.Millisecond

// CrashReport reports an attempt that was in progress when its worker's process ended, Age
// ago, after it had run for Ran. Its fields travel by their names.
type CrashReport struct {
	Content crashes.Content
	Attempt string
	Worker  ident.Target
	Ran     time.Duration
	Age     time.Duration
	Begun   bool
}

// CrashEntry is an entry of a list of crashes, Age old. Its fields travel by their names.
type CrashEntry struct {
	Content crashes.Content
	Ends    int
	Age     time.Duration
}

// crashState is what a process keeps of crashes, beside the list in force, which package
// requests holds.
type crashState struct {
	// evidence is what was reported to a replica or a host of a listed fleet; clients are what
	// a hub passes on to replicas, observer what a host of a listed fleet sees itself.
	evidence crashes.Evidence
	clients  crashes.Reports
	observer crashes.Observer
	// reported counts the crashes that polls have reported.
	reported uint64
	// kept names what a replica has put on disk.
	kept hash.Key
	// answered are the requests that a host of a listed fleet had answered lately.
	answered crashes.RecentAnswers
	// answers are when requests that are watched were answered, to be reported to those who
	// judge until reportedUntil; reportDue is set while one was not reported yet.
	answers       table.Table[crashes.Content, time.Time]
	reportedUntil time.Time
	reportDue     bool
	// judgedAt is since when each request has had enough ends to be watched.
	judgedAt table.Table[crashes.Content, time.Time]
}

// crashesSeen counts the crashes to be reported.
func (t *transition) crashesSeen() uint64 {
	return t.requests.CrashReports().Total + t.crashes.clients.Total + t.crashes.observer.Reports().Total
}

// crashReportDue tells whether this host polls early, as it has seen a worker end.
func (t *transition) crashReportDue() bool {
	lastPoll := t.seeded.pollAt.Add(-t.pollInterval())
	return (t.crashesSeen() != t.crashes.reported || t.crashes.reportDue) && t.now.Sub(lastPoll) >= crashPollGap
}

// answersReported is for how long answers are reported, in some messages one after the other,
// as one may be lost.
const answersReported = 2 * time.Second

// reportAnswer has it reported to those who judge that a watched request was answered.
func (t *transition) reportAnswer(content crashes.Content, at time.Time) {
	if have, ok := t.crashes.answers.Get(content); ok && !at.After(have) {
		return
	}
	t.crashes.answers = t.crashes.answers.With(content, at)
	t.crashes.reportedUntil, t.crashes.reportDue = t.now.Add(answersReported), true
}

// noteAnswers has the answers reported that this host remembers of requests that are watched
// from now on, and of those that are, what was answered since.
func (t *transition) noteAnswers() {
	for _, e := range t.requests.CrashList().Entries() {
		at, ok := t.requests.AnsweredAt(e.Content, t.now)
		if !ok {
			at, ok = t.crashes.answered.LastAnswered(e.Content, t.now)
		}
		if ok && e.Crashes > 0 {
			t.reportAnswer(e.Content, at)
		}
	}
}

// answerEntries are the answers to be reported now.
func (t *transition) answerEntries() []CrashEntry {
	t.crashes.reportDue = false
	if t.now.After(t.crashes.reportedUntil) {
		t.crashes.answers = table.Table[crashes.Content, time.Time]{}
	}
	var out []CrashEntry
	for content, at := range t.crashes.answers.All() {
		out = append(out, CrashEntry{Content: content, Age: t.now.Sub(at)})
	}
	return out
}

// crashReport are the crashes seen lately, here or at the clients of this hub.
func (t *transition) crashReport() []CrashReport {
	t.crashes.reported = t.crashesSeen()
	all := t.requests.CrashReports().Recent(t.now)
	all = append(all, t.crashes.clients.Recent(t.now)...)
	all = append(all, t.crashes.observer.Reports().Recent(t.now)...)
	out := make([]CrashReport, 0, len(all))
	for _, r := range all {
		out = append(out, CrashReport{
			Content: r.Content, Attempt: r.Crash.Attempt, Worker: r.Crash.Worker, Ran: r.Crash.EndedAt.Sub(r.Crash.SentAt),
			Age: t.now.Sub(r.Crash.EndedAt), Begun: r.Crash.AnswerStarted,
		})
	}
	return out
}

// judgesCrashes tells whether this host decides from evidence: a replica, or any host of a
// listed fleet, as all hear each other there.
func (t *transition) judgesCrashes() bool { return t.settings.IsReplica() || !t.settings.Seeded() }

// crashesReceived takes what another host reports: evidence, or on a hub what it passes on.
func (t *transition) crashesReceived(from ident.Host, reports []CrashReport) {
	for _, r := range reports {
		ended := t.now.Add(-max(0, r.Age))
		c := crashes.Crash{
			Attempt: r.Attempt, Worker: r.Worker, SentAt: ended.Add(-max(0, r.Ran)), EndedAt: ended, AnswerStarted: r.Begun,
		}
		if !t.judgesCrashes() {
			report := crashes.Report{Content: r.Content, Crash: c, SeenAt: t.now}
			t.crashes.clients = t.crashes.clients.With(report, t.now)
			continue
		}
		if e, ok := t.requests.CrashList().Get(r.Content); ok && e.Crashes == 0 && !c.EndedAt.After(e.At) {
			continue
		}
		t.crashes.evidence = t.crashes.evidence.With(r.Content, c, t.now)
	}
	if t.judgesCrashes() && len(reports) > 0 {
		t.judgeCrashes(from)
	}
}

// judgeCrashes takes what the evidence says. A request with enough ends has been watched for a
// moment first, in which hosts report whether it was answered meanwhile.
func (t *transition) judgeCrashes(from ident.Host) {
	judged := t.crashes.evidence.Evaluate(t.now)
	pending := table.Table[crashes.Content, time.Time]{}
	for i, e := range judged {
		at, known := t.crashes.judgedAt.Get(e.Content)
		if !known {
			at = t.now
		}
		pending = pending.With(e.Content, at)
		if t.now.Sub(at) < crashes.AnswerReportWindow {
			judged[i] = e.AsWatched()
		}
	}
	t.crashes.judgedAt = pending
	t.takeCrashes(from, judged)
}

// tickCrashes judges again once hosts had the time to report answers of what is watched.
func (t *transition) tickCrashes() {
	for _, at := range t.crashes.judgedAt.All() {
		if waited := t.now.Sub(at); waited >= crashes.AnswerReportWindow && waited < crashes.AnswerReportWindow+judgeAgainFor {
			t.judgeCrashes(t.settings.ID)
			return
		}
	}
}

// judgeAgainFor is how long after that a tick judges again: several ticks. Later it is what is
// reported that changes the judgement.
const judgeAgainFor = 200 * time.Millisecond

// takeCrashEntries takes the list of another host.
func (t *transition) takeCrashEntries(from ident.Host, entries []CrashEntry) {
	if len(entries) == 0 {
		return
	}
	taken := make([]crashes.Entry, 0, len(entries))
	for _, e := range entries {
		one := crashes.Entry{Content: e.Content, Crashes: max(0, e.Ends), At: t.now.Add(-max(0, e.Age))}
		if one.Crashes == 0 {
			t.answerReported(one)
		}
		taken = append(taken, one)
	}
	t.takeCrashes(from, taken)
}

// answerReported takes that a request was answered, as another host reports; a hub passes it
// on.
func (t *transition) answerReported(e crashes.Entry) {
	t.crashes.evidence = t.crashes.evidence.WithAnswer(e.Content, e.At)
	if !t.judgesCrashes() && t.now.Sub(e.At) <= answersReported {
		t.reportAnswer(e.Content, e.At)
	}
}

// takeCrashes joins entries to the list, and logs which requests are refused from now on.
func (t *transition) takeCrashes(from ident.Host, entries []crashes.Entry) {
	before := t.requests.CrashList()
	after := before.With(t.now, entries...)
	t.requests = t.requests.WithCrashList(after)
	if before.Key == after.Key {
		return
	}
	for _, e := range entries {
		was, _ := before.Get(e.Content)
		if is, _ := after.Get(e.Content); is.Crashes != was.Crashes {
			t.note(LogCrashes, is.Content.String(), fmt.Sprintf("ends=%d before=%d last_ms=%d refused=%t by=%s",
				is.Crashes, was.Crashes, t.now.Sub(is.At).Milliseconds(), is.Crashes >= crashes.CrashesToRefuse, from))
		}
	}
	t.noteAnswers()
	t.keepCrashes(after)
}

// keepCrashes puts on a replica's disk which requests are refused, and which no more.
func (t *transition) keepCrashes(l crashes.List) {
	kept := l.Decided()
	if !t.settings.IsReplica() || kept.Key == t.crashes.kept {
		return
	}
	t.crashes.kept = kept.Key
	t.emit(PersistCrashes{Entries: t.crashEntries(kept)})
}

// crashEntries are the entries of a list as they travel.
func (t *transition) crashEntries(l crashes.List) []CrashEntry {
	out := make([]CrashEntry, 0, l.Len())
	for _, e := range l.Entries() {
		out = append(out, CrashEntry{Content: e.Content, Ends: e.Crashes, Age: t.now.Sub(e.At)})
	}
	return out
}

// crashEntriesFor are the entries for a host that holds the list of a key; none where it
// holds the same.
func (t *transition) crashEntriesFor(key hash.Key) []CrashEntry {
	if l := t.requests.CrashList(); l.Key != key {
		return t.crashEntries(l)
	}
	return nil
}

// forgetCrashes drops what is long ago.
func (t *transition) forgetCrashes() {
	if t.requests.CrashList().Len() == 0 && t.crashes.evidence.Len() == 0 {
		return
	}
	t.requests = t.requests.WithCrashList(t.requests.CrashList().With(t.now))
	t.crashes.evidence = t.crashes.evidence.Expire(t.now)
}

// WithCrashList returns the process with the list of crashes read from disk.
func (s State) WithCrashList(entries []CrashEntry, now time.Time) State {
	t := transition{State: s, now: now}
	t.takeCrashEntries(s.settings.ID, entries)
	t.crashes.kept = t.requests.CrashList().Decided().Key
	return t.State
}
