// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package crashes_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/ident"
)

var start = time.Unix(9000, 0)

func content(name string) crashes.Content { return crashes.ContentOf("halls", []byte(name)) }

// crash returns a worker's crash, the given seconds after start, under a request sent ran seconds
// earlier.
func crash(worker string, seconds, ran float64) crashes.Crash {
	at := start.Add(time.Duration(seconds * float64(time.Second)))
	return crashes.Crash{
		Worker: ident.Target(worker), EndedAt: at, SentAt: at.Add(-time.Duration(ran * float64(time.Second))),
	}
}

type reported struct {
	name  string
	crash crashes.Crash
}

func evidenceOf(all ...reported) crashes.Evidence {
	var e crashes.Evidence
	for _, r := range all {
		e = e.With(content(r.name), r.crash, start)
	}
	return e
}

// crashCounts returns the crashes attributed to each request, by its name.
func crashCounts(e crashes.Evidence, names ...string) map[string]int {
	out := map[string]int{}
	for _, entry := range e.Evaluate(start.Add(time.Minute)) {
		for _, name := range names {
			if content(name) == entry.Content {
				out[name] = entry.Crashes
			}
		}
	}
	return out
}

// TestThreeConsecutiveCrashes guards against refusing a request before three crashes, or despite
// an answer in between.
func TestThreeConsecutiveCrashes(t *testing.T) {
	e := evidenceOf(reported{"bad", crash("w1", 1, 0.1)}, reported{"bad", crash("w2", 2, 0.1)})
	require.Equal(t, map[string]int{"bad": 2}, crashCounts(e, "bad"))
	e = e.With(content("bad"), crash("w3", 3, 0.1), start)
	require.Equal(t, map[string]int{"bad": 3}, crashCounts(e, "bad"))
	require.Empty(t, crashCounts(e.WithAnswer(content("bad"), start.Add(3*time.Second)), "bad"), "a worker answered it")
	late := e.WithAnswer(content("bad"), start.Add(1500*time.Millisecond))
	require.Equal(t, map[string]int{"bad": 2}, crashCounts(late, "bad"), "answered before the last two crashes")
}

// TestSimultaneousCrashesCountOnce guards against blaming a request that was in progress at many
// workers when all were lost at once, and against counting one crash twice.
func TestSimultaneousCrashesCountOnce(t *testing.T) {
	var e crashes.Evidence
	for i := range 6 {
		for _, ran := range []float64{0.01, 0.02, 2} {
			e = e.With(content("popular"), crash(fmt.Sprint("w", i), 5+float64(i)/100, ran), start)
		}
	}
	require.Empty(t, crashCounts(e, "popular"))
	repeated := evidenceOf(
		reported{"x", crash("w1", 1, 0.1)}, reported{"x", crash("w1", 1.3, 0.4)}, reported{"x", crash("w1", 0.8, 0.1)},
	)
	require.Empty(t, crashCounts(repeated, "x"))
	overlapping := evidenceOf(reported{"x", crash("w1", 1, 0.5)}, reported{"x", crash("w2", 2, 1.5)}, reported{"x", crash("w3", 3, 2.5)})
	require.Equal(t, map[string]int{"x": 2}, crashCounts(overlapping, "x"), "each was sent before the previous crash")
	overlapping = overlapping.With(content("x"), crash("w4", 4, 3.5), start)
	require.Equal(t, map[string]int{"x": 3}, crashCounts(overlapping, "x"), "a fourth crash at a distinct moment counts")
}

// TestRequestsSharingWorkersAreNotBlamed guards against blaming requests that shared one, two or
// all crashes with the request that causes them.
func TestRequestsSharingWorkersAreNotBlamed(t *testing.T) {
	e := evidenceOf(
		reported{"bad", crash("w1", 1, 0.1)}, reported{"bad", crash("w2", 2, 0.1)}, reported{"bad", crash("w3", 3, 0.1)},
		reported{"once", crash("w1", 1, 0.3)},
		reported{"twice", crash("w2", 2, 0.3)}, reported{"twice", crash("w3", 3, 0.3)},
	)
	require.Equal(t, map[string]int{"bad": 3}, crashCounts(e, "bad", "once", "twice"))

	for i := range 3 {
		c := crash(fmt.Sprint("w", i+1), float64(i+1), 0.05)
		c.AnswerStarted = true
		e = e.With(content("long answered"), c, start)
	}
	require.NotContains(t, crashCounts(e, "long answered"), "long answered", "each worker had a request whose answer had not started")

	// A request that shares all crashes cannot be distinguished until the next one.
	for i := range 3 {
		e = e.With(content("shadow"), crash(fmt.Sprint("w", i+1), float64(i+1), 0.05), start)
	}
	e = e.With(content("bad"), crash("w4", 4, 0.1), start)
	require.Equal(t, map[string]int{"bad": 3}, crashCounts(e, "bad", "shadow"))
}

// TestRequestWithStartedAnswerCanCrashWorkers has a request crash workers late, while no other
// request is in progress there.
func TestRequestWithStartedAnswerCanCrashWorkers(t *testing.T) {
	var e crashes.Evidence
	for i := range 3 {
		c := crash(fmt.Sprint("w", i), float64(2*i), 0.5)
		c.AnswerStarted = true
		e = e.With(content("late"), c, start)
	}
	require.Equal(t, map[string]int{"late": 3}, crashCounts(e, "late"))
}

// TestEvidenceIsBoundedAndExpires reports more requests than are remembered, and lets the
// retention pass.
func TestEvidenceIsBoundedAndExpires(t *testing.T) {
	var e crashes.Evidence
	for i := range 5000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		e = e.With(content(fmt.Sprint(i)), crashes.Crash{Worker: "w", SentAt: now, EndedAt: now}, now)
	}
	require.Equal(t, 1024, e.Len())
	for i := range 100 {
		e = e.With(content("bad"), crash("w", float64(60+2*i), 0.1), start.Add(time.Minute))
	}
	require.Equal(t, map[string]int{"bad": 3}, crashCounts(e, "bad"))
	require.Zero(t, e.Expire(start.Add(2*time.Hour)).Len())
	require.Zero(t, crashes.Evidence{}.With("", crash("w", 1, 0.1), start).Len(), "a request of unknown content")
}

// TestRecentAnswersAreRemembered guards against a popular request that is refused for crashes which are
// reported after its answer: answers of other requests must not displace a recent one.
func TestRecentAnswersAreRemembered(t *testing.T) {
	var e crashes.Evidence
	const others = 1024
	answeredAt := start.Add(10 * time.Second)
	e = e.WithAnswer(content("popular"), answeredAt)
	for i := range others {
		e = e.WithAnswer(content(fmt.Sprint("earlier", i)), start.Add(time.Duration(i)*time.Millisecond))
	}
	for i := range 3 {
		e = e.With(content("popular"), crash(fmt.Sprint("w", i), float64(1+2*i), 0.1), answeredAt)
	}
	require.Empty(t, crashCounts(e, "popular"))
}

// TestEvidenceDoesNotDependOnOrder reports the same crashes in random order, one of them twice.
func TestEvidenceDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "reports")
		all := make([]reported, 0, n)
		for range n {
			all = append(all, reported{
				rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "request"),
				crash(rapid.SampledFrom([]string{"w1", "w2", "w3"}).Draw(t, "worker"),
					float64(rapid.IntRange(0, 5).Draw(t, "at")*3), rapid.Float64Range(0, 8).Draw(t, "ran")),
			})
		}
		want := crashCounts(evidenceOf(all...), "a", "b", "c")
		shuffled := rapid.Permutation(append(all, all[0])).Draw(t, "order")
		require.Equal(t, want, crashCounts(evidenceOf(shuffled...), "a", "b", "c"))
	})
}

// TestAttemptCountsOnce reports one attempt repeatedly, with a later time of the crash each time,
// next to another request's separate attempts.
func TestAttemptCountsOnce(t *testing.T) {
	var e crashes.Evidence
	for i := range 5 {
		c := crash("w1", float64(1+2*i), 0.1)
		c.Attempt = "r1/1"
		e = e.With(content("one attempt"), c, start)
		c.Attempt, c.Worker = fmt.Sprint("r2/", i), ident.Target(fmt.Sprint("w", i))
		e = e.With(content("several attempts"), c, start)
	}
	require.Equal(t, map[string]int{"several attempts": 3}, crashCounts(e, "one attempt", "several attempts"))
}
