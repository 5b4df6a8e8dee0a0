// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package crashes_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/crashes"
)

func entry(name string, count int, at time.Time) crashes.Entry {
	return crashes.Entry{Content: content(name), Crashes: count, At: at}
}

// TestRefusalExpiresAndResumes guards against refusing a request too long, not refusing it at
// once after another crash, and refusing it after an answer.
func TestRefusalExpiresAndResumes(t *testing.T) {
	refused := func(l crashes.List, now time.Time) bool {
		until, refused := l.Refused(content("bad"), now)
		require.True(t, !refused || until.After(now))
		return refused
	}
	var l crashes.List
	require.Zero(t, l.Key)
	l = l.With(start, entry("bad", 2, start))
	require.False(t, refused(l, start))
	l = l.With(start, entry("bad", 3, start))
	require.True(t, refused(l, start.Add(9*time.Minute)))
	later := start.Add(11 * time.Minute)
	require.False(t, refused(l, later))
	l = l.With(later, entry("bad", 3, later))
	require.True(t, refused(l, later.Add(time.Minute)))
	answered := l.With(later.Add(time.Minute), entry("bad", 0, later.Add(time.Minute)))
	require.False(t, refused(answered, later.Add(time.Minute)))
	old := answered.With(later.Add(time.Minute), entry("bad", 3, later))
	require.Equal(t, answered.Key, old.Key, "a crash before the answer does not count")
	require.Zero(t, l.With(later.Add(2*time.Hour)).Len())
	require.Zero(t, l.With(later.Add(2*time.Hour)).Key)
	future := crashes.List{}.With(start, entry("bad", 3, start.Add(time.Hour)))
	require.False(t, refused(future, start.Add(11*time.Minute)), "a future time, from a host whose clock is ahead")
}

// TestListIsBounded guards against dropping refused requests when the list overflows.
func TestListIsBounded(t *testing.T) {
	var l crashes.List
	for i := range 100 {
		l = l.With(start, entry(fmt.Sprint("refused ", i), 3, start))
	}
	for i := range 1000 {
		l = l.With(start, entry(fmt.Sprint("watched ", i), 2, start.Add(time.Duration(i)*time.Millisecond)))
	}
	require.Equal(t, 128, l.Len())
	require.Equal(t, 100, l.Decided().Len())
}

// TestListsMergeInAnyOrder has hosts exchange lists in random order, with ages up to 100 ms too
// low at each hop: all must end with the same list.
func TestListsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 4
		lists := make([]crashes.List, hosts)
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			at := start.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "at")*3) * time.Second)
			e := entry(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "request"), rapid.SampledFrom([]int{0, 2, 3}).Draw(t, "crashes"), at)
			h := rapid.IntRange(0, hosts-1).Draw(t, "host")
			lists[h] = lists[h].With(start.Add(time.Minute), e)
		}
		send := func(from, to int) {
			for _, e := range lists[from].Entries() {
				e.At = e.At.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "transit")) * time.Millisecond)
				lists[to] = lists[to].With(start.Add(time.Minute), e)
			}
		}
		for range rapid.IntRange(0, 20).Draw(t, "sent") {
			send(rapid.IntRange(0, hosts-1).Draw(t, "from"), rapid.IntRange(0, hosts-1).Draw(t, "to"))
		}
		for range 2 {
			for from := range hosts {
				for to := range hosts {
					send(from, to)
				}
			}
		}
		for _, l := range lists {
			require.Equal(t, lists[0].Key, l.Key)
		}
	})
}

// message is an entry on its way to a host. Its age does not grow in transit.
type message struct {
	to    int
	entry crashes.Entry
	age   time.Duration
}

// gossip has hosts send their lists at once to all others that hold a different one, as busy hosts do whose messages
// wait in queues, while workers go on answering the request. It returns how many entries changed in the last second.
func gossip(lists []crashes.List, transit, limit time.Duration) (changes int) {
	var wire []message
	for at := time.Duration(0); at < limit; at += transit {
		now := start.Add(at)
		for _, m := range wire {
			before := lists[m.to].Key
			m.entry.At = now.Add(-m.age)
			lists[m.to] = lists[m.to].With(now, m.entry)
			if lists[m.to].Key != before && at >= limit-time.Second {
				changes++
			}
		}
		wire = nil
		answering := int(at/transit) % len(lists)
		lists[answering] = lists[answering].WithAnswer(content("a"), now)
		for from := range lists {
			for _, e := range lists[from].Entries() {
				for to := range lists {
					if lists[to].Key != lists[from].Key {
						wire = append(wire, message{to, e, now.Sub(e.At)})
					}
				}
			}
		}
	}
	return changes
}

// TestAnsweredRequestStaysAnswered guards against hosts that send each other an answer and an earlier crash without end.
func TestAnsweredRequestStaysAnswered(t *testing.T) {
	lists := make([]crashes.List, 12)
	for i := range lists {
		lists[i] = lists[i].With(start, entry("a", 2, start))
	}
	require.Zero(t, gossip(lists, 10*time.Millisecond, 10*time.Second))
}
