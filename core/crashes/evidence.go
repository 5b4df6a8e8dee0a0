// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package crashes

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// A request is held responsible once CrashesToRefuse workers have crashed under it
// consecutively: it was sent again after each crash, and no worker has answered it in between.
// Requests in progress at several workers that are lost at the same moment, as in a network
// partition or a power loss, therefore count one crash. A request that runs long and arrives
// often is rarely sent after the previous crash; for it, crashes at distinct moments count
// too, less one.
//
// Requests that merely shared a worker are excluded in two ways. A worker is not assumed to
// crash under a request whose answer had started if another request without a started answer
// was in progress there. And each crash is attributed to one request: the one with the most
// crashes takes its crashes from all others.
//
// A request that many callers send is in progress at most crashes, and answered between them.
// Hosts therefore remember recent answers (answers.go) and report them once a request is
// watched; a request with enough crashes is refused only after they have had time for that.
// Otherwise several crashes detected late would count before any answer is reported.
//
// Of a request and the parts of prompts that were in progress at the same crashes, the request is
// held responsible, which concerns nobody else, and of the parts the one that was answered least
// recently: one that crashes every worker is never answered. Parts that were in progress at the same
// crashes and not answered since are refused only together, until an answer or another crash tells them
// apart.
const (
	// maxCrashes bounds the crashes remembered per request; it exceeds CrashesToRefuse.
	maxCrashes = 8
	// maxAttempts bounds the attempts remembered per request: those that several hosts have in
	// progress at each of its crashes.
	maxAttempts = 64
	// maxContents bounds the requests remembered: the crashes of about ten full workers with 64
	// slots each.
	maxContents = 1024
	// simultaneityWindow is the difference in time up to which crashes may have one common cause,
	// such as a network partition.
	simultaneityWindow = 500 * time.Millisecond
)

// Evidence is what hosts have reported of worker crashes. It is immutable; the zero value is
// empty.
type Evidence struct {
	byContent table.Table[Content, crashRecord]
	// answered is when requests with reported crashes were last answered; a crash before that
	// does not count, even if it is reported later.
	answered table.Table[Content, time.Time]
}

// crashRecord is the crashes of one request in order of time, and the attempts counted among
// them. It is never modified in place.
type crashRecord struct {
	crashes  []Crash
	attempts []string
	// renewals counts those among the forgotten crashes.
	renewals int
}

// Len returns the number of requests remembered.
func (e Evidence) Len() int { return e.byContent.Len() }

// CrashCount returns the number of crashes remembered of a request or a part.
func (e Evidence) CrashCount(content Content) int {
	record, _ := e.byContent.Get(content)
	return len(record.crashes)
}

// With adds a crash of a request. For a crash already known it updates only when the request was
// last sent to the worker, and whether an answer had started in all attempts.
func (e Evidence) With(content Content, c Crash, now time.Time) Evidence {
	if content == "" || now.Sub(c.EndedAt) > Retention {
		return e
	}
	if at, ok := e.answered.Get(content); ok && !c.EndedAt.After(at) {
		return e
	}
	record, _ := e.byContent.Get(content)
	if c.Attempt != "" && slices.Contains(record.attempts, c.Attempt) {
		return e
	}
	updated := slices.Clone(record.crashes)
	if i := slices.IndexFunc(updated, c.isSameCrash); i >= 0 {
		updated[i].AnswerStarted = updated[i].AnswerStarted && c.AnswerStarted
		if c.SentAt.After(updated[i].SentAt) {
			updated[i].SentAt = c.SentAt
		}
	} else {
		updated = append(updated, c)
	}
	slices.SortStableFunc(updated, func(a, b Crash) int { return a.EndedAt.Compare(b.EndedAt) })
	forgotten := max(0, len(updated)-maxCrashes)
	renewals := record.renewals + renewalsIn(updated[:min(len(updated), forgotten+1)])
	updated = updated[forgotten:]
	if len(record.crashes) == 0 && e.byContent.Len() >= maxContents {
		e = e.withoutOldest()
	}
	attempts := append(slices.Clone(record.attempts), c.Attempt)
	e.byContent = e.byContent.With(content, crashRecord{
		crashes: updated, attempts: attempts[max(0, len(attempts)-maxAttempts):], renewals: renewals,
	})
	return e
}

// WithAnswer records that a request was answered, which discards its earlier crashes, including
// those not yet reported.
func (e Evidence) WithAnswer(content Content, answeredAt time.Time) Evidence {
	if last, ok := e.answered.Get(content); !ok || answeredAt.After(last) {
		e.answered = e.answered.With(content, answeredAt)
	}
	if e.answered.Len() > maxContents {
		e = e.withoutOldestAnswers()
	}
	record, ok := e.byContent.Get(content)
	if !ok {
		return e
	}
	later := slices.DeleteFunc(slices.Clone(record.crashes), func(c Crash) bool { return !c.EndedAt.After(answeredAt) })
	if len(later) == 0 {
		e.byContent = e.byContent.Without(content)
		return e
	}
	e.byContent = e.byContent.With(content, crashRecord{crashes: later, attempts: record.attempts})
	return e
}

// Expire drops requests whose last crash is older than Retention, and old answers.
func (e Evidence) Expire(now time.Time) Evidence {
	for content, record := range e.byContent.All() {
		if now.Sub(lastCrashAt(record.crashes)) > Retention {
			e.byContent = e.byContent.Without(content)
		}
	}
	for content, at := range e.answered.All() {
		if now.Sub(at) > answerRetention {
			e.answered = e.answered.Without(content)
		}
	}
	return e
}

// withoutOldest drops the request whose last crash is the oldest.
func (e Evidence) withoutOldest() Evidence {
	var oldest Content
	var at time.Time
	for content, record := range e.byContent.All() {
		if last := lastCrashAt(record.crashes); oldest == "" || last.Before(at) {
			oldest, at = content, last
		}
	}
	e.byContent = e.byContent.Without(oldest)
	return e
}

// withoutOldestAnswers drops the older half of the remembered answers.
func (e Evidence) withoutOldestAnswers() Evidence {
	times := slices.SortedFunc(slices.Values(e.answered.Values()), time.Time.Compare)
	middle := times[len(times)/2]
	for content, at := range e.answered.All() {
		if at.Before(middle) {
			e.answered = e.answered.Without(content)
		}
	}
	return e
}

func lastCrashAt(crashes []Crash) time.Time { return crashes[len(crashes)-1].EndedAt }

// isSameCrash reports whether two crashes are due to the same exit of a worker's process.
func (c Crash) isSameCrash(other Crash) bool {
	return c.Worker == other.Worker && c.EndedAt.Sub(other.EndedAt).Abs() < sameCrashTolerance
}

// isSameAttempt reports whether two crashes are of the same attempt, which a host reports several
// times.
func (c Crash) isSameAttempt(other Crash) bool {
	if c.Attempt != "" || other.Attempt != "" {
		return c.Attempt == other.Attempt
	}
	return c.isSameCrash(other) && c.SentAt.Sub(other.SentAt).Abs() < sameCrashTolerance
}

// Evaluate returns an entry for each request with at least crashesToWatch crashes attributed to
// it.
func (e Evidence) Evaluate(now time.Time) []Entry {
	var out []Entry
	// Parts take no crashes from requests, which are refused however many share their parts.
	byRequests, byParts := workerCrashes{}, workerCrashes{}
	all := e.candidates()
	for _, c := range all {
		attributed := byRequests
		if c.content.IsPart() {
			attributed = byParts
		}
		remaining := attributed.without(c.crashes)
		if c.content.IsPart() && len(byRequests.without(c.crashes)) == 0 {
			continue
		}
		n := countAttributed(remaining)
		if n < crashesToWatch {
			continue
		}
		if c.content.IsPart() && !e.othersAnswered(remaining) {
			n = crashesToWatch
		}
		if n >= CrashesToRefuse {
			attributed.add(remaining)
		}
		if at := lastCrashAt(remaining); now.Sub(at) <= Retention {
			out = append(out, Entry{Content: c.content, Crashes: c.listedCrashes(n), At: at, Beside: c.indistinguishable(all)})
		}
	}
	return out
}

// candidates returns the requests that may have crashed several workers, the most likely first.
func (e Evidence) candidates() []candidate {
	unstarted := workerCrashes{}
	for _, record := range e.byContent.All() {
		for _, c := range record.crashes {
			if !c.AnswerStarted {
				unstarted.add([]Crash{c})
			}
		}
	}
	var out []candidate
	for content, record := range e.byContent.All() {
		possible := slices.DeleteFunc(slices.Clone(record.crashes), func(c Crash) bool { return c.AnswerStarted && unstarted.has(c) })
		if n := countAttributed(possible); n >= crashesToWatch {
			answeredAt, _ := e.answered.Get(content)
			out = append(out, candidate{
				content: content, crashes: possible, attributed: n, renewals: record.renewals + renewalsIn(record.crashes), answeredAt: answeredAt,
			})
		}
	}
	slices.SortStableFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.isPart(), b.isPart()), cmp.Compare(b.attributed, a.attributed), cmp.Compare(len(b.crashes), len(a.crashes)),
			a.answeredAt.Compare(b.answeredAt),
			a.crashes[0].EndedAt.Compare(b.crashes[0].EndedAt), cmp.Compare(a.content, b.content))
	})
	return out
}

// countAttributed returns how many of a request's crashes are held against it.
func countAttributed(all []Crash) int { return max(consecutive(all), distinctMoments(all)-1) }

// distinctMoments returns how many of the crashes, in order of time, occurred more than
// simultaneityWindow apart.
func distinctMoments(crashes []Crash) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || c.EndedAt.Sub(last) > simultaneityWindow {
			n++
			last = c.EndedAt
		}
	}
	return n
}

// consecutive returns how many of the crashes, in order of time, followed one another: the
// request was sent again after the previous crash.
func consecutive(crashes []Crash) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || c.SentAt.After(last.Add(-transitTolerance)) && c.EndedAt.After(last.Add(transitTolerance)) {
			n++
			last = c.EndedAt
		}
	}
	return n
}

// workerCrashes are crashes by worker, one for each exit of its process.
type workerCrashes map[ident.Target][]Crash

func (w workerCrashes) has(c Crash) bool { return slices.ContainsFunc(w[c.Worker], c.isSameCrash) }

func (w workerCrashes) add(crashes []Crash) {
	for _, c := range crashes {
		if !w.has(c) {
			w[c.Worker] = append(w[c.Worker], c)
		}
	}
}

// without returns those of the given crashes that are not in the set.
func (w workerCrashes) without(crashes []Crash) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), w.has)
}
