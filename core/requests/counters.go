// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import "time"

// Counters count decisions; they only grow. Their JSON names are those of the metrics port.
type Counters struct {
	Requests   uint64
	Dispatched uint64
	Retried    uint64
	Refused    uint64
	Stale      uint64
	Unknown    uint64
	// NoBudget counts retries that the retry budget did not allow.
	NoBudget uint64
	// RetriesLent counts retries sent out of the fleet's part of the budget.
	RetriesLent uint64
	// Declined counts attempts that workers declined, Resent those sent to the same worker again.
	Declined uint64
	Resent   uint64
	// Backoffs counts backoffs requested by workers.
	Backoffs uint64
	// Overflowed counts requests that were not sent to their preferred engine.
	Overflowed uint64 `json:"Spilled"`
	// LoadsAged counts attempts at engines whose load was too old to be relied on, AboveBound those at engines
	// whose load was beyond the bound, as no other one had room.
	LoadsAged  uint64
	AboveBound uint64
	// Waited counts requests that waited for this host to start; WaitedUnserved is the total time
	// waited by those that were then refused.
	Waited         uint64
	WaitedUnserved time.Duration `json:"WaitedInVain"`
	// ContactsLost counts how often this host lost contact with all workers.
	ContactsLost uint64
	// Tunneled counts attempts sent through other hosts, TunnelsRefused peers that opened no tunnel.
	Tunneled       uint64
	TunnelsRefused uint64
	// StreamsResumed counts resumed streams whose origin was known, OriginsUnknown those refused as it was
	// not, VersionsUnavailable streams that did not go on for want of a worker of their version.
	StreamsResumed      uint64
	OriginsUnknown      uint64
	VersionsUnavailable uint64
	// Withheld counts attempts whose worker began to leave before the request was written.
	Withheld uint64
	// PartsRefused counts requests refused because a part of their prompts crashes workers.
	PartsRefused uint64
}
