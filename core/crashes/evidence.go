// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package crashes

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// A request is held to end workers once EndsToRefuse of them ended under it in a row: each
// time it had been sent anew after the end before, and no worker has answered it meanwhile.
// So requests in progress at several workers that are lost at the same moment, as by a cut or
// a loss of power, count one end however many there are. A request that waits long at its
// workers and comes often is hardly ever sent anew after an end: of it, one end more counts,
// each at a moment of its own.
//
// Those that only shared a worker are distinguished in two ways. A worker does not end under a
// request that it has long begun to answer where another one had just come to it. And an end
// is explained by one request: the one with the most ends takes those ends from all others.
//
// A request that many callers send is in progress at most ends, and answered between them. So
// hosts remember what they had answered lately (answers.go), and report it once a request is
// watched; one that ended enough workers is refused only after they have had the time for
// that. Otherwise ends that are proved late and together would count before any answer.
//
// Inputs: the attempts in progress at each end of a worker, as hosts report them, and answers.
const (
	// maxCrashes bounds the crashes remembered of one request, more than are judged.
	maxCrashes = 8
	// maxAttempts bounds the attempts remembered of one request: those that several hosts
	// have at each of its crashes.
	maxAttempts = 64
	// maxContents bounds the requests remembered: the ends of some ten full engines with
	// 64 slots each. Chosen, not measured.
	maxContents = 1024
	// moment is how far apart two ends are that one cause, as a cut, did not bring about
	// together: what hosts notice of it, and report, differs by less. Chosen, not measured.
	moment = 500 * time.Millisecond
)

// Evidence is what was reported of ends of workers. It is immutable; the zero value is
// empty.
type Evidence struct {
	byContent table.Table[Content, record]
	// answered is when requests were answered last, as hosts report, of those under which ends
	// were reported: an end that is reported later and came before does not count.
	answered table.Table[Content, time.Time]
}

// record are the crashes of a request, in the order of their ends, and the attempts that
// count among them; never changed in place.
type record struct {
	crashes  []Crash
	attempts []string
}

// Len is the number of requests remembered.
func (e Evidence) Len() int { return e.byContent.Len() }

// With adds a crash under a request. One that is known already changes at most when the
// request was sent to the worker last.
func (e Evidence) With(content Content, c Crash, now time.Time) Evidence {
	if content == "" || now.Sub(c.EndedAt) > Retention {
		return e
	}
	if at, ok := e.answered.Get(content); ok && !c.EndedAt.After(at) {
		return e
	}
	known, _ := e.byContent.Get(content)
	if c.Attempt != "" && slices.Contains(known.attempts, c.Attempt) {
		return e
	}
	next := slices.Clone(known.crashes)
	if i := slices.IndexFunc(next, c.isSameEnd); i >= 0 {
		next[i].AnswerStarted = next[i].AnswerStarted && c.AnswerStarted
		if c.SentAt.After(next[i].SentAt) {
			next[i].SentAt = c.SentAt
		}
	} else {
		next = append(next, c)
	}
	slices.SortStableFunc(next, func(a, b Crash) int { return a.EndedAt.Compare(b.EndedAt) })
	next = next[max(0, len(next)-maxCrashes):]
	if len(known.crashes) == 0 && e.byContent.Len() >= maxContents {
		e = e.withoutOldest()
	}
	attempts := append(slices.Clone(known.attempts), c.Attempt)
	e.byContent = e.byContent.With(content, record{
		crashes: next, attempts: attempts[max(0, len(attempts)-maxAttempts):],
	})
	return e
}

// WithAnswer forgets the crashes of a request before it was answered, also those that are still
// to be reported.
func (e Evidence) WithAnswer(content Content, answeredAt time.Time) Evidence {
	if before, ok := e.answered.Get(content); !ok || answeredAt.After(before) {
		e.answered = e.answered.With(content, answeredAt)
	}
	if e.answered.Len() > maxContents {
		e.answered = table.Table[Content, time.Time]{}.With(content, answeredAt)
	}
	known, ok := e.byContent.Get(content)
	if !ok {
		return e
	}
	later := slices.DeleteFunc(slices.Clone(known.crashes), func(c Crash) bool { return !c.EndedAt.After(answeredAt) })
	if len(later) == 0 {
		e.byContent = e.byContent.Without(content)
		return e
	}
	e.byContent = e.byContent.With(content, record{crashes: later, attempts: known.attempts})
	return e
}

// Expire drops the requests whose last end is long ago.
func (e Evidence) Expire(now time.Time) Evidence {
	for content, known := range e.byContent.All() {
		if now.Sub(lastEnd(known.crashes)) > Retention {
			e.byContent = e.byContent.Without(content)
		}
	}
	for content, at := range e.answered.All() {
		if now.Sub(at) > answersRemembered {
			e.answered = e.answered.Without(content)
		}
	}
	return e
}

// withoutOldest drops the request whose last end is the longest ago.
func (e Evidence) withoutOldest() Evidence {
	var oldest Content
	var at time.Time
	for content, known := range e.byContent.All() {
		if end := lastEnd(known.crashes); oldest == "" || end.Before(at) {
			oldest, at = content, end
		}
	}
	e.byContent = e.byContent.Without(oldest)
	return e
}

func lastEnd(crashes []Crash) time.Time { return crashes[len(crashes)-1].EndedAt }

// isSameEnd tells whether two crashes are of one end of a worker.
func (c Crash) isSameEnd(other Crash) bool {
	return c.Worker == other.Worker && c.EndedAt.Sub(other.EndedAt).Abs() < sameEnd
}

// isSame tells whether two crashes are of one attempt, as one host reports it some times over.
func (c Crash) isSame(other Crash) bool {
	if c.Attempt != "" || other.Attempt != "" {
		return c.Attempt == other.Attempt
	}
	return c.isSameEnd(other) && c.SentAt.Sub(other.SentAt).Abs() < sameEnd
}

// suspected is a request with the crashes that it may explain.
type suspected struct {
	content Content
	crashes []Crash
	ends    int
}

// Evaluate returns an entry for each request under which endsToWatch workers or more ended in
// a row.
func (e Evidence) Evaluate(now time.Time) []Entry {
	var out []Entry
	explained := ends{}
	for _, s := range e.suspects() {
		left := explained.without(s.crashes)
		n := counted(left)
		if n < endsToWatch {
			continue
		}
		if n >= CrashesToRefuse {
			explained.add(left)
		}
		if at := lastEnd(left); now.Sub(at) <= Retention {
			out = append(out, Entry{Content: s.content, Crashes: min(n, CrashesToRefuse), At: at})
		}
	}
	return out
}

// suspects are the requests that may have ended several workers, the most suspected first.
func (e Evidence) suspects() []suspected {
	fresh := ends{}
	for _, known := range e.byContent.All() {
		for _, c := range known.crashes {
			if !c.AnswerStarted {
				fresh.add([]Crash{c})
			}
		}
	}
	var out []suspected
	for content, known := range e.byContent.All() {
		own := slices.DeleteFunc(slices.Clone(known.crashes), func(c Crash) bool { return c.AnswerStarted && fresh.has(c) })
		if n := counted(own); n >= endsToWatch {
			out = append(out, suspected{content: content, crashes: own, ends: n})
		}
	}
	slices.SortStableFunc(out, func(a, b suspected) int {
		return cmp.Or(cmp.Compare(b.ends, a.ends), cmp.Compare(len(b.crashes), len(a.crashes)),
			a.crashes[0].EndedAt.Compare(b.crashes[0].EndedAt), cmp.Compare(a.content, b.content))
	})
	return out
}

// counted is how many ends are held against the request of some crashes.
func counted(crashes []Crash) int { return max(inARow(crashes), atMoments(crashes)-1) }

// atMoments is how many of the crashes, in the order of their ends, came at moments of their
// own.
func atMoments(crashes []Crash) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || c.EndedAt.Sub(last) > moment {
			n++
			last = c.EndedAt
		}
	}
	return n
}

// inARow is how many of the crashes, in the order of their ends, came one after the other:
// the request had been sent anew after the end before.
func inARow(crashes []Crash) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || c.SentAt.After(last.Add(-transit)) && c.EndedAt.After(last.Add(transit)) {
			n++
			last = c.EndedAt
		}
	}
	return n
}

// ends are ends of workers, by worker.
type ends map[ident.Target][]Crash

func (e ends) has(c Crash) bool { return slices.ContainsFunc(e[c.Worker], c.isSameEnd) }

func (e ends) add(crashes []Crash) {
	for _, c := range crashes {
		if !e.has(c) {
			e[c.Worker] = append(e[c.Worker], c)
		}
	}
}

// without are the crashes of other ends.
func (e ends) without(crashes []Crash) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), e.has)
}
