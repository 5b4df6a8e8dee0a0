// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/rollouts"
)

// Requests go to workers of the service's current version. While a rollout runs (package rollouts),
// its share of the first attempts goes to the version being rolled out, drawn by request id and
// order; retries, resends and resumed streams go to the current version. In Drain all attempts go to
// the new version. A worker that reports no version counts as of the current one. While the current
// version is not known, all versions count as current, except one that is being rolled out or was
// reverted last.
//
// While the share is below half, the requests go to as many workers of the new version as the share
// is of their number: the ones with the lowest hashes. Each of them then has about the load that it
// will have afterwards, so that faults under load show.
//
// If no worker of the new version is available, the current version takes the request. The reverse
// never happens: hosts do not decide that a version is good.
//
// Before Drain a host sends to the new version only while its newest confirmation is younger than
// RolloutLease, so a partitioned host stops sending to it although it does not learn that it was
// reverted. In Drain it goes on: the workers of the current version stop without draining at a time
// that a partitioned host does not learn either, and requests that must run at most once would be lost
// there.
//
// A stream that broke off goes on only at the version that began it (origin.go), as far as the version
// may still be used: in Drain at workers of the former one that are available, and at those of the version
// being rolled out while requests may be sent to it.
//
// Workers of versions that a request may not go to still count for load bounds.
//
// Inputs: the state of rollouts, the newest confirmation, workers' versions, and RolloutShare.

// trialLimitBelow is the share, in thousandths, below which a rollout uses only some of the workers
// of the new version.
const trialLimitBelow = rollouts.AllRequests / 2

// WithRollouts returns the state of a host that has learned which versions serve. Earlier states are
// ignored. A host must know them before it has a route table: without them it sends to all versions.
func (s State) WithRollouts(r rollouts.State) State {
	s.rollouts = s.rollouts.Latest(r)
	return s.withoutEndedEvidence()
}

// Rollouts returns the rollouts known to this host.
func (s State) Rollouts() rollouts.State { return s.rollouts }

// rolloutOf returns what is known of the versions of a service; false if versions are ignored.
func (s State) rolloutOf(service ident.Service) (rollouts.Entry, bool) {
	if s.settings.RolloutShare <= 0 {
		return rollouts.Entry{}, false
	}
	return s.rollouts.Of(service)
}

// versionFilter selects workers by their versions. The zero value selects all.
type versionFilter struct {
	// isSet is set if versions matter.
	isSet bool
	// isNext selects the version being rolled out, and otherwise the current one.
	isNext        bool
	current, next ident.Version
	// order is the hash of the rollout's order. If isTrial is set, only workers with a trial hash up
	// to trialLimit are selected.
	order      hash.Key
	isTrial    bool
	trialLimit uint64
	// pinned is the only version selected if isPinned is set.
	isPinned bool
	pinned   ident.Version
}

// pinnedTo returns the filter that selects only workers of one version among those of f.
func (f versionFilter) pinnedTo(v ident.Version) versionFilter {
	f.isPinned, f.pinned = true, v
	return f
}

// allows reports whether a member is selected.
func (f *versionFilter) allows(m *member) bool {
	return !f.isSet && !f.isPinned || f.selects(m.placement.Value().version, m.key)
}

// selects reports whether a worker with a version and a key is selected.
func (f *versionFilter) selects(version ident.Version, key hash.Key) bool {
	switch {
	case f.isPinned && version != f.pinned:
		return false
	case !f.isSet:
		return true
	case f.isNext:
		return version == f.next && (!f.isTrial || hash.Mix(f.order, key) <= f.trialLimit)
	case version == "":
		return true
	case f.current == "":
		return version != f.next
	}
	return version == f.current
}

// attemptVersions are the versions to which an attempt may go.
type attemptVersions struct {
	current versionFilter
	// next selects the version being rolled out; it is preferred if usesNext is set and unused
	// otherwise.
	next     versionFilter
	usesNext bool
	// draining is set if the current version is being drained. Its workers stop without draining once
	// the rollout completes, and a worker of yet another version may start under the same id before
	// this host learns of either. They are therefore used only for first attempts while no worker of
	// the new version may be alive, and never as a last resort.
	draining bool
}

// allow reports whether an attempt may go to a worker.
func (v *attemptVersions) allow(w *worker) bool {
	return v.usesNext && v.next.selects(w.Version, w.key) || v.current.selects(w.Version, w.key)
}

// prefer reports whether an attempt goes to a worker's version if it is available.
func (v *attemptVersions) prefer(w *worker) bool {
	if v.usesNext {
		return v.next.selects(w.Version, w.key)
	}
	return v.current.selects(w.Version, w.key)
}

// versionsFor returns the versions to which the call's next attempt may go.
func (t *transition) versionsFor(c call) attemptVersions {
	v := t.versionsOfRetries(c.pool.ID, t.now)
	if c.hasOrigin {
		return t.versionsOfStream(c, v)
	}
	if c.attempt == 0 && c.drawn && !v.usesNext {
		v.next, v.usesNext = t.nextVersion(c.pool.ID, t.now)
	}
	return v
}

// versionsOfStream returns the versions to which a stream may go that a version began. In Drain, v.draining
// keeps it from workers of the former version that may have stopped.
func (t *transition) versionsOfStream(c call, v attemptVersions) attemptVersions {
	v.usesNext = false
	if e, ok := t.rolloutOf(c.pool.ID); ok && e.Rollout.IsRunning() && c.origin.Version == e.Rollout.To {
		if next, usable := t.nextVersion(c.pool.ID, t.now); usable {
			v = attemptVersions{current: next}
		}
	}
	v.current = v.current.pinnedTo(c.origin.Version)
	return v
}

// versionsOfRetries returns the versions to which retries and resends may go.
func (s State) versionsOfRetries(pool ident.Service, now time.Time) attemptVersions {
	e, ok := s.rolloutOf(pool)
	if !ok {
		return attemptVersions{}
	}
	v := attemptVersions{current: currentVersion(e)}
	if e.Rollout.Phase == rollouts.Drain {
		v.next, v.usesNext = s.nextVersion(pool, now)
		v.draining = v.usesNext
	}
	return v
}

// currentVersion selects the workers of the current version.
func currentVersion(e rollouts.Entry) versionFilter {
	f := versionFilter{isSet: true, current: e.Current}
	if e.Rollout.Phase != rollouts.Complete {
		f.next = e.Rollout.To
	}
	return f
}

// nextVersion selects the workers of the version being rolled out; ok is false if nothing may be sent
// to it.
func (s State) nextVersion(pool ident.Service, now time.Time) (f versionFilter, ok bool) {
	e, _ := s.rolloutOf(pool)
	r := e.Rollout
	if !r.IsRunning() || r.Phase != rollouts.Drain && !s.confirmed.Valid(s.settings.RolloutLease, now) {
		return versionFilter{}, false
	}
	f = versionFilter{isSet: true, isNext: true, next: r.To, order: hash.Key(r.Order)}
	if r.Phase != rollouts.Drain && r.Share < trialLimitBelow {
		f.isTrial, f.trialLimit = true, s.trialLimit(pool, f, r.Share)
	}
	return f, true
}

// trialLimit returns the highest trial hash of the workers that a share of the requests goes to.
// Workers that are leaving or silent are not counted.
func (s State) trialLimit(pool ident.Service, next versionFilter, share int) uint64 {
	var hashes []uint64
	for m := range s.workers.Pool(pool).All() {
		isReady := m.state == registry.Ready && (m.full == nil || !m.full.addressTaken() && !m.full.reportedLeaving)
		if isReady && next.allows(m) {
			hashes = append(hashes, hash.Mix(next.order, m.key))
		}
	}
	if len(hashes) == 0 {
		return 0
	}
	slices.Sort(hashes)
	n := (share*len(hashes) + rollouts.AllRequests - 1) / rollouts.AllRequests
	return hashes[max(1, n)-1]
}

// isDrawn reports whether a call's first attempt is drawn for the version being rolled out.
func (t *transition) isDrawn(c call) bool {
	e, ok := t.rolloutOf(c.pool.ID)
	r := e.Rollout
	if !ok || !r.IsRunning() || c.req.Resumed && r.Phase != rollouts.Drain {
		return false
	}
	drawn := hash.Mix(hash.Key(r.Order), requestKey(c.req.ID)) % rollouts.AllRequests
	return r.Phase == rollouts.Drain || drawn < uint64(max(0, r.Share))
}

// mayRetryDeclined reports whether a declined call may go on at another worker. If that is of another
// version, the route's MaxAttempts does not bound it: the call was not run, and must not be resent to
// its worker.
func (t *transition) mayRetryDeclined(c call) bool {
	if c.connectFailuresExceeded() || t.isBlockedForCrashes(c) {
		return false
	}
	if c.reachedWorkers >= max(1, c.route.MaxAttempts) && !t.mustLeaveVersion(c) {
		return false
	}
	return t.budgetAllows(c)
}

// mustLeaveVersion reports whether the call's next attempt goes to another version than that of its
// worker.
func (t *transition) mustLeaveVersion(c call) bool {
	w, ok := t.workers.Get(c.target)
	versions := t.versionsFor(c)
	return ok && !versions.prefer(&w)
}
