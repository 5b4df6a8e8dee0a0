// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

// Received messages wait for the reducer while the processor is short. Those of the replicated log go
// first: without a leader no poll can be confirmed, so an election that waits behind polls makes every
// poll worthless. Polls go last, and a poll that still waits when the host's next one arrives is
// dropped, as the next one asks for at least as much. The number of waiting polls is thus bounded by
// the number of hosts, and none waits for long.

// Precedence is the order in which waiting messages are reduced.
type Precedence int

const (
	// PrecedenceLog is that of the replicated log.
	PrecedenceLog Precedence = iota
	// PrecedenceNormal is that of most messages.
	PrecedenceNormal
	// PrecedencePoll is that of polls.
	PrecedencePoll
)

// PrecedenceOf returns the precedence of a message.
func PrecedenceOf(m Message) Precedence {
	switch m.(type) {
	case Raft:
		return PrecedenceLog
	case Poll:
		return PrecedencePoll
	default:
		return PrecedenceNormal
	}
}

// IsSuperseded reports whether a poll that still waits can be dropped because a later one of the same
// host has arrived. A poll with reports that the host sends once is not.
func (m Poll) IsSuperseded(later Poll) bool {
	reportsOnce := m.Leaves || m.Grouped || len(m.Beats) > 0 || len(m.Replaced) > 0 || len(m.Crashes) > 0 || len(m.CrashEntries) > 0
	reportsOnce = reportsOnce || m.Missed && !later.Missed
	return !reportsOnce && !later.Leaves && m.Boot == later.Boot && m.Round < later.Round
}
