// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

// Counters count what a process decided; they only grow.
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
	// Heartbeats counts workers' heartbeats taken here, HeartbeatsRedirected those of
	// them answered with a relay for the next ones, HeartbeatsDeclined those that this
	// host did not take. Their JSON names are those of the metrics port.
	Heartbeats           uint64 `json:"Beats"`
	HeartbeatsRedirected uint64 `json:"BeatsNamed"`
	HeartbeatsDeclined   uint64 `json:"BeatsDeclined"`
	// HeartbeatsInvalid counts those that name no worker to use.
	HeartbeatsInvalid uint64
}
