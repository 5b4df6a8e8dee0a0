// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/requests"
)

// These tests guard against a part of prompts under which each worker crashes that begins to answer, in
// requests no two of which are alike, at any host, and against refusing sound requests that share all
// their other parts and their caller.

const (
	// crashesBeforeRefusal is the number of crashes after which a part must be refused within
	// crashSpreadTime.
	crashesBeforeRefusal = 5
	// partSubjects is the number of subjects that prompts are about.
	partSubjects = 12
	// soundEvery is the time between two sound requests of a quiet fleet.
	soundEvery = 500 * time.Millisecond
)

// promptOf returns a prompt of the given parts and one of its own.
func promptOf(own string, shared ...string) requests.Prompt {
	var p requests.Prompt
	for _, id := range append(shared, own) {
		p.Parts = append(p.Parts, requests.Part{ID: id, Tokens: 100})
	}
	return p
}

// partLoad sends requests for a while: one with the bad part every gap, and sound ones. Prompts have a
// system part that all share, and a subject; with oneSubject all bad ones are about the same subject, which
// few sound requests are about.
type partLoad struct {
	gap        time.Duration
	oneSubject bool
	// quiet lets sound requests come only every soundEvery.
	quiet bool
}

func (f *crashFleet) runParts(d time.Duration, l partLoad) {
	begun, badAt, soundAt := f.now, f.now, f.now
	for f.now.Sub(begun) < d {
		if l.gap > 0 && !f.now.Before(badAt) {
			badAt = f.now.Add(l.gap)
			subject := f.random.IntN(partSubjects)
			if l.oneSubject {
				subject = 0
			}
			path := fmt.Sprintf("/only-1/part-%d", f.count)
			f.prompts[path] = promptOf(path, "system", fmt.Sprint("subject-", subject), "bad")
			f.arrive(f.randomEntry(), path)
		}
		again := f.callerRetries
		f.callerRetries = nil
		for _, path := range again {
			f.arrive(f.randomEntry(), path)
		}
		for n := 0; n < 2 && !f.now.Before(soundAt); n++ {
			path := fmt.Sprintf("/x/sound-%d", f.count)
			f.prompts[path] = promptOf(path, "system", fmt.Sprint("subject-", f.random.IntN(partSubjects)))
			f.arrive(f.randomEntry(), path)
		}
		if l.quiet && !f.now.Before(soundAt) {
			soundAt = f.now.Add(soundEvery)
		}
		f.advance(seededStep)
	}
}

// badSentAfter counts the requests with the bad part that reached a running worker after a time.
func (f *crashFleet) badSentAfter(from time.Time) int {
	n := 0
	for _, sent := range f.sentAt {
		for _, at := range sent {
			if at.After(from) {
				n++
			}
		}
	}
	return n
}

// requirePartRefused requires that a part that crashed workers is hardly sent after that, and that no sound
// request was refused for it.
func (f *crashFleet) requirePartRefused() {
	f.t.Helper()
	require.GreaterOrEqual(f.t, len(f.ends), crashesBeforeRefusal-2, "the part crashed too few workers")
	late := 0
	if len(f.ends) >= crashesBeforeRefusal {
		late = f.badSentAfter(f.ends[crashesBeforeRefusal-1].Add(crashSpreadTime))
	}
	f.t.Logf("%d crashes, sent %d times later", len(f.ends), late)
	require.LessOrEqual(f.t, late, maxSentAfterCrashes, "%d crashes in total", len(f.ends))
	for path, at := range f.refusedAt {
		require.True(f.t, isBad(path), "%s refused at %v", path, at)
	}
}

// soundShare returns the part of the sound requests that were answered.
func (f *crashFleet) soundShare() float64 {
	served, all := 0, 0
	for path, n := range f.arrivals {
		if strings.HasPrefix(path, "/x/sound") {
			served, all = served+min(1, f.served[path]), all+min(1, n)
		}
	}
	return float64(served) / float64(max(1, all))
}

// TestCrashingPartIsRefused guards against a part of prompts that crashes worker after worker because no
// two requests with it are alike.
func TestCrashingPartIsRefused(t *testing.T) {
	for _, gap := range []time.Duration{800 * time.Millisecond, 400 * time.Millisecond, 100 * time.Millisecond} {
		for seed := range uint64(4) {
			f := newCrashFleet(t, 6, 24, seed)
			f.sameID = seed%2 == 0
			f.runParts(20*time.Second, partLoad{gap: gap, oneSubject: seed > 1, quiet: seed == 3})
			f.requirePartRefused()
			require.Greater(t, f.soundShare(), 0.9)
		}
	}
}
