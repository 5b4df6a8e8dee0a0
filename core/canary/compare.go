// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package canary

const (
	// minCompared is the number of the current version's answers on a route, or requests on all, from
	// which those in the window suffice for rejections. Below, those of the whole rollout are used, as
	// the current version gets few requests at its end.
	minCompared = 30
	// minPaces is the number of known paces from which the typical one is estimated.
	minPaces = 10
)

// comparison holds the samples of both versions by one indicator.
type comparison struct {
	sides[sample]
	// pending is how many requests without an answer count as successes in rejections.
	pending sides[float64]
}

// isRejected reports whether the i-th window rejects the new version.
func (c comparison) isRejected(i int) bool {
	return c.new.withGood(c.pending.new).isRejected(c.old.withGood(c.pending.old), i)
}

// indicator compares the counts of the new version on a route with those of the current one.
type indicator struct {
	// what an answer is that the indicator counts, for reasons.
	what string
	of   func(r, current route) sides[sample]
	// isEarly is set if bad answers may be known earlier than the others.
	isEarly bool
}

// indicators are those by which a version is judged.
var indicators = [...]indicator{byFailures, bySlowness}

var (
	byFailures = indicator{what: "failed", of: route.failed, isEarly: true}
	bySlowness = indicator{what: "slow", of: route.slow}
)

func (r route) failed(current route) sides[sample] {
	return sides[sample]{
		old: sampleOf(current.old.failed, current.old.answers),
		new: sampleOf(r.new.failed, r.new.answers),
	}
}

// slow returns no samples if the current version's pace is unknown.
func (r route) slow(current route) sides[sample] {
	paces := current.old.paces
	if paces.count() < minPaces {
		return sides[sample]{}
	}
	from := paces.slowFrom()
	return sides[sample]{
		old: sampleOf(paces.countFrom(from), paces.count()),
		new: sampleOf(r.new.paces.countFrom(from), r.new.paces.count()),
	}
}

// onRoute returns the comparison on one route of a window.
func (i indicator) onRoute(r route, w, total window) (c comparison) {
	c.sides = i.of(r, r)
	if i.isEarly {
		// Requests are not counted by route, so each is taken to have its part of those pending.
		pending, sum := w.pending(), w.sum()
		c.pending.old = pending.old * float64(r.old.answers) / max(1, float64(sum.old.answers))
		c.pending.new = pending.new * float64(r.new.answers) / max(1, float64(sum.new.answers))
	}
	if c.old.answers < minCompared {
		c.sides, c.pending.old = i.of(r, total.of(r.name)), 0
	}
	return c
}

// onAll returns the comparison on all routes of a window. If the current version has too few requests
// in the window, its answers in the whole rollout are weighted as the routes of the window are, as the
// traffic of routes may have changed since.
func (i indicator) onAll(w, total window) (sum comparison) {
	isSameTime := w.requests.old >= minCompared
	if i.isEarly {
		sum.pending = w.pending()
		if !isSameTime {
			sum.pending.old = 0
		}
	}
	for _, r := range w.routes {
		c := i.of(r, r)
		if !isSameTime {
			c = i.of(r, total.of(r.name))
			if c.old.answers < minCompared {
				continue
			}
			c.old = c.old.times(c.new.answers / c.old.answers)
		}
		sum.old, sum.new = sum.old.plus(c.old), sum.new.plus(c.new)
	}
	return sum
}

// pending returns how many requests without an answer count as successes in rejections.
//
// All those of the new version do. Those of the current version do if its requests are as far advanced
// as those of the new one, by the part of them that succeeded. If the share of the new version has
// fallen, its requests are older, and more of its failures are known.
func (w window) pending() (n sides[float64]) {
	s := w.sum()
	requests := sides[float64]{old: float64(w.requests.old), new: float64(w.requests.new)}
	advanced := requests.old
	if succeeded := s.new.answers - s.new.failed; succeeded > 0 {
		advanced = min(advanced, float64(s.old.answers-s.old.failed)*requests.new/float64(succeeded))
	}
	n.old = max(0, advanced-float64(s.old.answers))
	n.new = max(0, requests.new-float64(s.new.answers))
	return n
}
