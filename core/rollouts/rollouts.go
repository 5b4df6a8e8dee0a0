// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package rollouts records which version of its targets' software serves each service, and the
// rollout that moves the service to another version. Targets of both versions run side by side
// meanwhile.
//
// The state is replicated (core/catalog) separately from the route table. Each change increments
// the revision, so of two states the one with the higher revision is the later one. Operators order
// rollouts; the leader advances them (schedule.go) by what hosts report of the answers of both
// versions (core/canary). Hosts keep the latest state they receive (core/host rollouts.go) and
// choose the version of each request by it (core/requests rollouts.go).
//
// A rollout is in one phase at a time:
//
//	Trial     a small share of new requests goes to the new version
//	Shift     the share grows
//	Drain     all new requests go to the new version, those of the old one finish
//	Complete  the new version is the current one; final
//	Reverted  no request goes to the new version; final
//
// Time is counted as elapsed since the order, as leaders' clocks differ and may be set. Each replica
// adds the time since it applied the newest progress, by its monotonic clock.
//
// # Usage
//
//	next, outcome := s.WithOrder(rollouts.Order{Service: "drafter", To: "v2", Duration: 12 * time.Second}, now)
//	if entry, ok := s.Of("drafter"); ok && entry.Rollout.IsRunning() { ... }
//	progress, due := entry.Rollout.Next(limits, observation)
package rollouts

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/ident"
)

const (
	// maxServices bounds the services remembered, so that orders cannot exhaust memory.
	maxServices = 256
	// maxVersionLength bounds the length of a version in bytes, as in registrations.
	maxVersionLength = 256
	// maxDuration bounds the duration of a rollout.
	maxDuration = time.Hour
	// resendWindow is how long after its end a rollout's order is acknowledged again instead of
	// starting another rollout. Operators resend an order for a few seconds.
	resendWindow = 30 * time.Second
	// AllRequests is the share of all new requests.
	AllRequests = 1000
)

// Phase is the phase of a rollout. The values are part of the wire and storage formats.
type Phase uint8

// Phases, in the order in which a rollout passes through them. Complete and Reverted are final.
const (
	// None is the phase of the zero value: there is no rollout.
	None Phase = iota
	Trial
	Shift
	Drain
	Complete
	Reverted
)

// String returns the phase in lower case.
func (p Phase) String() string {
	return [...]string{"none", "trial", "shift", "drain", "complete", "reverted"}[min(p, Reverted)]
}

// Rollout moves a service from one version to another. The field names are part of the wire and
// storage formats.
type Rollout struct {
	// Order identifies the rollout: the revision of the state that its order created.
	Order uint64
	// From is the version that served when the rollout was ordered; To is the new one.
	From ident.Version
	To   ident.Version
	// Duration is the time that the operator allows for the rollout.
	Duration time.Duration
	Phase    Phase
	// Share is the share of new requests sent to To, in thousandths.
	Share int
	// Elapsed is the time since the order as of the newest progress, PhaseAt the time at which the
	// phase began.
	Elapsed time.Duration
	PhaseAt time.Duration
	// EndedAt is when the rollout ended, by the time of the replicated log.
	EndedAt time.Time
	// Reason is why it ended; empty if it completed.
	Reason string
}

// IsRunning reports whether the rollout has started and not ended.
func (r Rollout) IsRunning() bool { return r.Phase == Trial || r.Phase == Shift || r.Phase == Drain }

// Entry is what is known of one service. The field names are part of the wire and storage formats.
type Entry struct {
	Service ident.Service
	// Current is the version that serves the service; empty if it is not known yet, and then all
	// versions do.
	Current ident.Version
	// Rollout is the newest rollout; its phase is None if there was none.
	Rollout Rollout
}

// State holds the entries of all services. It is immutable; in the zero value no version is known.
// The field names are part of the wire and storage formats.
type State struct {
	// Revision counts the changes.
	Revision uint64
	// Entries are sorted by service; never modified in place.
	Entries []Entry
}

// Order is an operator's order to roll a version out.
type Order struct {
	Service  ident.Service
	To       ident.Version
	Duration time.Duration
}

// Progress is a leader's step of a rollout. It applies only to the rollout of its Order.
type Progress struct {
	Service ident.Service
	Order   uint64
	Phase   Phase
	Share   int
	Elapsed time.Duration
	Reason  string
}

// Adoption makes a version the current one of a service without a rollout.
type Adoption struct {
	Service ident.Service
	Version ident.Version
}

// Revert is an operator's order to revert the running rollout of a service.
type Revert struct{ Service ident.Service }

// Outcome is the result of a change.
type Outcome int

// Outcomes. With all but Done the state is unchanged; with Done it is also if the order was carried
// out before.
const (
	Done Outcome = iota
	// Busy means that another rollout of the service is running.
	Busy
	// Stale means that the rollout has ended, or has passed the phase.
	Stale
	// Unknown means that the service has no rollout.
	Unknown
	// TooMany means that no more services can be remembered.
	TooMany
)

// Validate returns an error if the order is malformed.
func (o Order) Validate() error {
	switch {
	case o.Service == "":
		return errors.New("the service is empty")
	case o.To == "" || len(o.To) > maxVersionLength:
		return errors.New("the version is empty or longer than 256 bytes")
	case o.Duration <= 0 || o.Duration > maxDuration:
		return errors.New("the duration is not between 0 and an hour")
	}
	return nil
}

// Of returns the entry of a service.
func (s State) Of(service ident.Service) (Entry, bool) {
	if i, found := s.indexOf(service); found {
		return s.Entries[i], true
	}
	return Entry{Service: service}, false
}

func (s State) indexOf(service ident.Service) (at int, found bool) {
	return slices.BinarySearchFunc(s.Entries, service, func(e Entry, id ident.Service) int { return cmp.Compare(e.Service, id) })
}

// IsRunning reports whether any rollout is running.
func (s State) IsRunning() bool {
	return slices.ContainsFunc(s.Entries, func(e Entry) bool { return e.Rollout.IsRunning() })
}

// Latest returns the later of two states.
func (s State) Latest(other State) State {
	if other.Revision > s.Revision {
		return other
	}
	return s
}

// with returns the next state with an entry added or replaced.
func (s State) with(e Entry) (State, Outcome) {
	i, found := s.indexOf(e.Service)
	if !found && len(s.Entries) >= maxServices {
		return s, TooMany
	}
	s.Revision++
	s.Entries = slices.Clone(s.Entries)
	if found {
		s.Entries[i] = e
	} else {
		s.Entries = slices.Insert(s.Entries, i, e)
	}
	return s, Done
}

// WithOrder starts a rollout; now is the time of the replicated log. An order that was carried out
// before changes nothing: that of a running rollout, and that of one that ended within resendWindow.
func (s State) WithOrder(o Order, now time.Time) (State, Outcome) {
	e, _ := s.Of(o.Service)
	last := e.Rollout
	isRepeated := last.To == o.To && last.Duration == o.Duration
	switch {
	case last.IsRunning() && isRepeated:
		return s, Done
	case last.IsRunning():
		return s, Busy
	case isRepeated && now.Sub(last.EndedAt) < resendWindow:
		return s, Done
	}
	e.Rollout = Rollout{Order: s.Revision + 1, From: e.Current, To: o.To, Duration: o.Duration, Phase: Trial}
	if e.Current == o.To {
		e.Rollout.Phase, e.Rollout.Share, e.Rollout.EndedAt = Complete, AllRequests, now
	}
	return s.with(e)
}

// WithProgress advances a rollout; now is the time of the replicated log. A rollout never returns to
// an earlier phase, and its elapsed time never decreases.
func (s State) WithProgress(p Progress, now time.Time) (State, Outcome) {
	e, _ := s.Of(p.Service)
	r := e.Rollout
	if r.Order != p.Order || !r.IsRunning() || p.Phase < r.Phase || p.Phase > Reverted {
		return s, Stale
	}
	r.Elapsed = max(r.Elapsed, p.Elapsed)
	if p.Phase != r.Phase {
		r.PhaseAt = r.Elapsed
	}
	r.Phase, r.Share, r.Reason = p.Phase, min(max(0, p.Share), AllRequests), p.Reason
	switch r.Phase {
	case Complete:
		r.Share, r.EndedAt, e.Current = AllRequests, now, r.To
	case Reverted:
		r.Share, r.EndedAt = 0, now
	case None, Trial, Shift, Drain:
	}
	e.Rollout = r
	return s.with(e)
}

// WithRevert reverts the running rollout of a service; now is the time of the replicated log.
func (s State) WithRevert(v Revert, now time.Time) (State, Outcome) {
	e, _ := s.Of(v.Service)
	switch {
	case e.Rollout.IsRunning():
	case e.Rollout.Phase == Reverted:
		return s, Done
	case e.Rollout.Phase == Complete:
		return s, Stale
	default:
		return s, Unknown
	}
	return s.WithProgress(Progress{
		Service: v.Service, Order: e.Rollout.Order, Phase: Reverted, Elapsed: e.Rollout.Elapsed, Reason: "reverted by an operator",
	}, now)
}

// WithAdoption makes a version the current one, unless a rollout is running.
func (s State) WithAdoption(a Adoption) (State, Outcome) {
	e, _ := s.Of(a.Service)
	switch {
	case e.Rollout.IsRunning():
		return s, Busy
	case e.Current == a.Version:
		return s, Done
	}
	e.Current = a.Version
	return s.with(e)
}
