// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package crashes

import (
	"slices"
	"time"
)

// candidate is a request with the crashes that it may have caused; attributed is their count
// by countAttributed.
type candidate struct {
	content    Content
	crashes    []Crash
	attributed int
	// renewals are those of its refusal.
	renewals int
	// answeredAt is when it was last answered; zero if that is not known.
	answeredAt time.Time
}

// listedCrashes returns the crashes of the entry for a candidate to which n are attributed. Each renewal of a
// refusal adds one: hosts compare lists by their contents and crashes, and must learn of a later crash.
func (c candidate) listedCrashes(n int) int {
	if n < CrashesToRefuse {
		return n
	}
	return CrashesToRefuse + c.renewals
}

// isPart returns 1 for a part of prompts and 0 for a request, to order them.
func (c candidate) isPart() int {
	if c.content.IsPart() {
		return 1
	}
	return 0
}

// maxBeside bounds the other parts that may be the cause of the same crashes.
const maxBeside = 16

// indistinguishable returns the other parts that were in progress at the same crashes.
func (c candidate) indistinguishable(all []candidate) []Content {
	var out []Content
	for _, other := range all {
		if c.content.IsPart() && other.content.IsPart() && other.content != c.content && c.hasSameCrashes(other) && len(out) < maxBeside {
			out = append(out, other.content)
		}
	}
	return out
}

// hasSameCrashes reports whether two candidates were in progress at the same crashes.
func (c candidate) hasSameCrashes(other candidate) bool {
	return len(c.crashes) == len(other.crashes) && !slices.ContainsFunc(c.crashes, func(one Crash) bool {
		return !slices.ContainsFunc(other.crashes, one.isSameCrash)
	})
}

// othersAnswered reports whether workers answered requests since the first of the crashes of a part. Without
// that, nothing shows that requests without the part fare better.
func (e Evidence) othersAnswered(crashes []Crash) bool {
	at, ok := e.answered.Get(AnyPart)
	return ok && at.After(crashes[0].EndedAt)
}

// renewalGap is the time without a crash after which another one renews a refusal.
const renewalGap = 5 * time.Second

// renewalsIn counts the crashes, in order of time, that renew a refusal.
func renewalsIn(crashes []Crash) int {
	n := 0
	for i := 1; i < len(crashes); i++ {
		if crashes[i].EndedAt.Sub(crashes[i-1].EndedAt) > renewalGap {
			n++
		}
	}
	return n
}
