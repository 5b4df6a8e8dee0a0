// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/membership"
)

// Counters are counters of a process's decisions. They only grow unless said otherwise.
type Counters struct {
	Requests      uint64
	Ran           uint64
	NotRun        uint64
	Unknown       uint64
	Retries       uint64
	Fallbacks     uint64
	Grants        uint64
	KnownGrants   uint64
	Queued        uint64
	Refused       uint64
	Elsewhere     uint64
	Claims        uint64
	ClaimsDenied  uint64
	Writes        uint64
	OrdersSent    uint64
	Elections     uint64
	ConfigApplied uint64
	StaleConfig   uint64
	Adopted       uint64
	Ejections     uint64
	Repairs       uint64
	// Heartbeats counts the worker heartbeats that this host accepted, HeartbeatsRedirected those
	// answered with a relay address, HeartbeatsDeclined those that it declined. The metrics port
	// uses their JSON names.
	Heartbeats           uint64 `json:"Beats"`
	HeartbeatsRedirected uint64 `json:"BeatsNamed"`
	HeartbeatsDeclined   uint64 `json:"BeatsDeclined"`
	// HeartbeatsInvalid counts heartbeats that were unreadable or described no usable worker.
	HeartbeatsInvalid uint64
	// RegistrationsDropped counts the workers dropped or turned away because the registry was full.
	RegistrationsDropped uint64
	// UpdatesResent counts the times that updates were sent to a client again, as it had lost them.
	// UpdatesMissed counts the times that this host noticed that it had lost updates.
	UpdatesResent uint64
	UpdatesMissed uint64
	// Stalls counts the times that an entry host's process stood still for over a second.
	Stalls uint64
	// MembershipRisks are, on the leader, the failures that the members of the log would not
	// survive; unlike the other counters they may also fall.
	MembershipRisks membership.Risks
	// Startup is when this process reached what it needs to serve.
	Startup Milestones
	// Rollouts describe, on the leader, the running rollouts; they may also fall.
	Rollouts RolloutCounters
}

// RolloutCounters describe the running rollouts as known to the leader.
type RolloutCounters struct {
	// Running is the number of running rollouts.
	Running int
	// Exposed is the number of requests sent to the versions that are rolled out, BadAnswers that of
	// their failed and slow answers, as reported by hosts.
	Exposed    int
	BadAnswers int
	// EvidenceAge is the time since evidence on a running rollout last arrived, of the rollout for
	// which it is longest.
	EvidenceAge time.Duration
}
