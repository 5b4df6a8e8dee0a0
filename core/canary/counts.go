// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package canary

import (
	"cmp"
	"slices"
)

const (
	// maxRollouts bounds the rollouts counted, as the services of a state are bounded; the newest ones
	// are kept.
	maxRollouts = 256
	// maxRoutes bounds the routes of a rollout that are counted apart. The others are counted together
	// under the name rest.
	maxRoutes = 32
	rest      = ""
	// maxRouteLength bounds the length of a route's name in bytes. Routes with longer names count as
	// rest.
	maxRouteLength = 256
	// windowSize is the number of the new version's requests or answers after which a new window
	// begins. A window must hold the 250 answers of which 50 are bad at a part of 0.2.
	windowSize = 500
)

// sides holds a value for each version of a rollout.
type sides[T any] struct{ old, new T }

func (s sides[T]) with(isNew bool, v T) sides[T] {
	if isNew {
		s.new = v
	} else {
		s.old = v
	}
	return s
}

// counts are the answers of one version on one route.
type counts struct {
	answers, failed int
	paces           histogram
}

func countsOf(a Answer) counts {
	switch {
	case a.Failed:
		return counts{answers: 1, failed: 1}
	case a.Pace <= 0:
		return counts{answers: 1}
	}
	return counts{answers: 1, paces: histogramOf(a.Pace)}
}

func (c counts) merge(o counts) counts {
	return counts{answers: c.answers + o.answers, failed: c.failed + o.failed, paces: c.paces.merge(o.paces)}
}

type route struct {
	name string
	sides[counts]
}

func (r route) compare(o route) int { return cmp.Compare(r.name, o.name) }

func (r route) merge(o route) route {
	r.old, r.new = r.old.merge(o.old), r.new.merge(o.new)
	return r
}

// bounded returns the route as part of the rest if its name is too long.
func (r route) bounded() route {
	if len(r.name) > maxRouteLength {
		r.name = rest
	}
	return r
}

// window holds the counts of a rollout over some time.
type window struct {
	requests sides[int]
	// routes are sorted by name; never modified in place.
	routes []route
}

func (w window) merge(o window) window {
	w.requests.old += o.requests.old
	w.requests.new += o.requests.new
	if len(o.routes) > 0 {
		merged := mergeSorted(w.routes, o.routes, route.compare, route.merge)
		if len(merged) > maxRoutes {
			merged = withRest(merged, w.routes)
		}
		w.routes = merged
	}
	return w
}

// withRest counts the routes beyond maxRoutes as rest. Those in kept stay apart.
func withRest(routes, kept []route) []route {
	isKept := func(r route) bool {
		_, found := slices.BinarySearchFunc(kept, r, route.compare)
		return found
	}
	room := maxRoutes
	for _, r := range kept {
		if r.name != rest {
			room--
		}
	}
	// The name of the rest sorts first.
	bounded := []route{{name: rest}}
	for _, r := range routes {
		switch {
		case r.name != rest && isKept(r):
			bounded = append(bounded, r)
		case r.name != rest && room > 0:
			bounded = append(bounded, r)
			room--
		default:
			bounded[0] = bounded[0].merge(r)
		}
	}
	return bounded
}

// sum returns the counts over all routes. Paces are not comparable between routes and are left out.
func (w window) sum() (s sides[counts]) {
	for _, r := range w.routes {
		s.old.answers, s.old.failed = s.old.answers+r.old.answers, s.old.failed+r.old.failed
		s.new.answers, s.new.failed = s.new.answers+r.new.answers, s.new.failed+r.new.failed
	}
	return s
}

func (w window) isFull() bool { return max(w.requests.new, w.sum().new.answers) >= windowSize }

func (w window) of(name string) route {
	if i, found := slices.BinarySearchFunc(w.routes, route{name: name}, route.compare); found {
		return w.routes[i]
	}
	return route{name: name}
}

// rollout holds what was counted of one rollout.
type rollout struct {
	order uint64
	// earlier holds the closed windows together, recent the open one.
	earlier, recent window
	closed          int
	// rejection is why a closed window rejected the version; empty if none did.
	rejection string
}

func (r rollout) compare(o rollout) int { return cmp.Compare(r.order, o.order) }

func (r rollout) total() window { return r.earlier.merge(r.recent) }

// merge adds all that o holds to the open window, after closing that one if it is full.
func (r rollout) merge(o rollout) rollout {
	if r.recent.isFull() {
		if r.rejection == "" {
			r.rejection = r.judgeWindow()
		}
		r.earlier, r.recent = r.total(), window{}
		r.closed++
	}
	r.recent = r.recent.merge(o.total())
	return r
}

// mergeSorted returns a sorted list of the elements of two; add merges those of both.
func mergeSorted[T any](a, b []T, compare func(a, b T) int, add func(a, b T) T) []T {
	merged := make([]T, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		switch c := compare(a[0], b[0]); {
		case c < 0:
			merged, a = append(merged, a[0]), a[1:]
		case c > 0:
			merged, b = append(merged, b[0]), b[1:]
		default:
			merged, a, b = append(merged, add(a[0], b[0])), a[1:], b[1:]
		}
	}
	return append(append(merged, a...), b...)
}
