// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package canary

import (
	"fmt"
	"math"

	"github.com/yardhall/yardhall/core/rollouts"
)

const (
	// minRouteAnswers is the number of answers of the new version from which an undecided route
	// prevents its acceptance.
	minRouteAnswers = 20
	// minMissing is the number of answers that a version must lack to be rejected for answering
	// nothing, where the current version has answered the part minAnswered of its requests. A rise of
	// the new version's share makes its requests newer than those of the current one, so that up to
	// half of the answers expected may still be on their way.
	minMissing  = 20
	minAnswered = 0.5
	// missingDeviations is the number of standard deviations by which answers may be fewer than
	// expected before the missing ones count as slow.
	missingDeviations = 2.0
	// minPaced is the part of the current version's answers with a known pace from which a version is
	// only accepted if its pace is.
	minPaced = 0.5
)

// Judgement is a verdict on a new version, with what it is based on.
type Judgement struct {
	Verdict rollouts.Verdict
	// Reason is why the verdict is Bad; empty otherwise.
	Reason string
	// Old and New are the counts of both versions over all routes.
	Old, New Totals
}

// Totals sums the answers of one version.
type Totals struct {
	Answers, Failed, Slow int
}

// Judge returns the verdict on the new version of a rollout.
func (e Evidence) Judge(order uint64) Judgement {
	r, _ := e.rollout(order)
	total := r.total()
	sum, slow := total.sum(), bySlowness.onAll(total, total)
	j := Judgement{Reason: r.rejection}
	j.Old = Totals{Answers: sum.old.answers, Failed: sum.old.failed, Slow: int(slow.old.bad)}
	j.New = Totals{Answers: sum.new.answers, Failed: sum.new.failed, Slow: int(slow.new.bad)}
	if j.Reason == "" {
		j.Reason = r.judgeWindow()
	}
	switch {
	case j.Reason != "":
		j.Verdict = rollouts.Bad
	case total.isAccepted():
		j.Verdict = rollouts.Good
	}
	return j
}

// judgeWindow returns why the open window rejects the version; empty if it does not.
func (r rollout) judgeWindow() string {
	w, total := r.recent, r.total()
	if reason := total.silence(); reason != "" {
		return reason
	}
	for _, by := range indicators {
		if c := by.onAll(w, total); c.isRejected(r.closed + 1) {
			return c.reason("all routes", by.what)
		}
		for _, t := range w.routes {
			if c := by.onRoute(t, w, total); c.isRejected(r.closed + 1) {
				return c.reason(t.title(), by.what)
			}
		}
	}
	return ""
}

func (c comparison) reason(where, what string) string {
	return fmt.Sprintf("%s: %.0f of %.0f answers %s, current version %.0f of %.0f",
		where, c.new.bad, c.new.answers, what, c.old.bad, c.old.answers)
}

// title names the route in reasons.
func (r route) title() string {
	if r.name == rest {
		return "other routes"
	}
	return "route " + r.name
}

// silence returns a reason if the new version has answered nothing while the current one has.
func (w window) silence() string {
	s := w.sum()
	answered := float64(s.old.answers) / max(1, float64(w.requests.old))
	if s.new.answers > 0 || answered < minAnswered || s.old.answers < minCompared {
		return ""
	}
	if float64(w.requests.new)*min(1, answered) < minMissing {
		return ""
	}
	return fmt.Sprintf("all routes: none of %d requests answered, current version %d of %d",
		w.requests.new, s.old.answers, w.requests.old)
}

// missing returns how many answers the new version lacks that the current one would have given.
func (w window) missing() int {
	s := w.sum()
	answered := min(1, float64(s.old.answers)/max(1, float64(w.requests.old)))
	expected := float64(w.requests.new) * answered
	spread := math.Sqrt(expected * (1 - answered))
	return max(0, int(expected-missingDeviations*spread)-s.new.answers)
}

// isAccepted reports whether the tests accept the version by all counts of a rollout.
func (w window) isAccepted() bool {
	failed, slow := byFailures.onAll(w, w), bySlowness.onAll(w, w)
	if w.sum().old.answers < minCompared || !failed.new.isAccepted(failed.old) {
		return false
	}
	missing := float64(w.missing())
	slow.new = slow.new.plus(sample{bad: missing, answers: missing})
	if w.isPaced() && !slow.new.isAccepted(slow.old) || slow.new.logRatio(slow.old.share(), minDifference) > 0 {
		return false
	}
	for _, r := range w.routes {
		if r.new.answers >= minRouteAnswers && r.isSuspect() {
			return false
		}
	}
	return true
}

// isPaced reports whether the pace of most answers is known.
func (w window) isPaced() bool {
	n := 0
	for _, r := range w.routes {
		n += r.old.paces.count()
	}
	return float64(n) >= minPaced*float64(w.sum().old.answers)
}

// isSuspect reports whether a route is undecided and its answers speak against the new version.
func (r route) isSuspect() bool {
	for _, by := range indicators {
		c := by.of(r, r)
		if c.old.answers > 0 && c.new.logRatio(c.old.upperBound(), minDifference) > 0 {
			return true
		}
	}
	return false
}
