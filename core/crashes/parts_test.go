// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package crashes_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/ident"
)

func part(id string) crashes.Content { return crashes.ContentOfPart("m", id) }

// crashesUnder adds crashes at the given seconds, each of another worker, under all of the contents.
func crashesUnder(e crashes.Evidence, seconds []float64, contents ...crashes.Content) crashes.Evidence {
	for _, s := range seconds {
		for _, c := range contents {
			e = e.With(c, crash(fmt.Sprint("w", s), s, 0.1), start)
		}
	}
	return e.WithAnswer(crashes.AnyPart, start.Add(10*time.Second))
}

// refusedBy returns the entries that refuse something.
func refusedBy(e crashes.Evidence) []crashes.Entry {
	var out []crashes.Entry
	for _, entry := range e.Evaluate(start.Add(time.Minute)) {
		if entry.Crashes >= crashes.CrashesToRefuse {
			out = append(out, entry)
		}
	}
	return out
}

// TestPartIsFoundAmongInnocentOnes guards against refusing a part that was in progress at the same crashes as
// the one that causes them, but that workers have answered, or a whole request for its part.
func TestPartIsFoundAmongInnocentOnes(t *testing.T) {
	at := []float64{1, 2, 3}
	e := crashesUnder(crashes.Evidence{}, at, part("system"), part("bad"))
	e = e.WithAnswer(part("system"), start.Add(1500*time.Millisecond))
	found := refusedBy(e)
	require.Len(t, found, 1)
	require.Equal(t, part("bad"), found[0].Content)
	require.Empty(t, found[0].Beside)

	e = crashesUnder(crashes.Evidence{}, at, part("one"), part("two"), content("whole"))
	found = refusedBy(e)
	require.Len(t, found, 1)
	require.Equal(t, content("whole"), found[0].Content, "it concerns nobody else")
	e = crashesUnder(e, []float64{4}, part("one"))
	found = refusedBy(e)
	require.Len(t, found, 2)
	require.Equal(t, part("one"), found[1].Content, "other requests with it crash workers too")
}

// TestNoPartIsRefusedWhileNothingIsAnswered guards against refusing a part that all prompts share while hosts are
// cut off from workers that end for other reasons.
func TestNoPartIsRefusedWhileNothingIsAnswered(t *testing.T) {
	var e crashes.Evidence
	for _, s := range []float64{1, 2, 3, 4} {
		e = e.With(part("system"), crash(fmt.Sprint("w", s), s, 0.1), start)
	}
	require.Empty(t, refusedBy(e.WithAnswer(crashes.AnyPart, start.Add(900*time.Millisecond))))
	require.Len(t, refusedBy(e.WithAnswer(crashes.AnyPart, start.Add(4*time.Second))), 1)
}

// TestPartsThatCannotBeToldApart guards against refusing sound requests with a part that was in progress at
// the same crashes as the one that causes them.
func TestPartsThatCannotBeToldApart(t *testing.T) {
	e := crashesUnder(crashes.Evidence{}, []float64{1, 2, 3}, part("subject"), part("bad"))
	found := refusedBy(e)
	require.Len(t, found, 1)
	require.Len(t, found[0].Beside, 1)

	var probes crashes.PartProbes
	refuses := func(l crashes.List, parts ...crashes.Content) bool {
		for _, p := range parts {
			if _, refused := l.RefusesPart(p, parts, probes, "host", 6, start.Add(4*time.Second)); refused {
				return true
			}
		}
		return false
	}
	l := crashes.List{}.With(start.Add(time.Minute), found...)
	require.True(t, refuses(l, part("subject"), part("bad")))
	require.False(t, refuses(l, part("subject")))

	answered := e.WithAnswer(part("subject"), start.Add(3500*time.Millisecond))
	l = l.With(start.Add(time.Minute), refusedBy(answered)...).WithAnswer(part("subject"), start.Add(time.Minute))
	require.True(t, refuses(l, part("other"), part("bad")))
	require.False(t, refuses(l, part("subject")))
	require.NotEqual(t, crashes.List{}.With(start.Add(time.Minute), found...).Key, l.Key, "hosts must learn of it")
}

// TestHostsProbeOneAfterTheOther guards against several hosts that send requests with a refused part at the
// same time, and against a host that sends more than one before it knows the result.
func TestHostsProbeOneAfterTheOther(t *testing.T) {
	l := crashes.List{}.With(start, crashes.Entry{Content: part("bad"), Crashes: 3, At: start})
	var none crashes.PartProbes
	times := map[time.Duration]int{}
	for i := range 20 {
		until, refused := l.RefusesPart(part("bad"), nil, none, ident.Host(fmt.Sprint("host-", i)), 20, start.Add(10*time.Second))
		require.True(t, refused)
		times[until.Sub(start).Truncate(time.Second)]++
		_, refused = l.RefusesPart(part("bad"), nil, none, ident.Host(fmt.Sprint("host-", i)), 20, until)
		require.False(t, refused)
		probing := none.With(part("bad"), until)
		_, refused = l.RefusesPart(part("bad"), nil, probing, ident.Host(fmt.Sprint("host-", i)), 20, until.Add(time.Second))
		require.True(t, refused, "it awaits the result")
		_, refused = l.RefusesPart(part("bad"), nil, probing, ident.Host(fmt.Sprint("host-", i)), 20, until.Add(11*time.Second))
		require.False(t, refused, "the probe gave none")
	}
	require.Greater(t, len(times), 15)
}
