// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/requests"
)

// Effect is what the process must do. The set is closed.
type Effect interface{ effect() }

type (
	// Send transmits a message; it may be lost, doubled or reordered.
	Send struct {
		To      ident.Host
		Message Message
	}
	// Persist is a raft.Persist for the disk.
	Persist struct{ Persist raft.Persist }
	// Dispatch tells the callers' side to try the request on Target.
	Dispatch struct {
		Request ident.Request
		Attempt int
		Target  config.Target
		// Once forbids any resend below the reducer.
		Once bool
		Rank int
		// Timeout bounds the attempt.
		Deadline time.Time
	}
	// Finish ends a request.
	Finish struct {
		Request ident.Request
		Verdict Verdict
	}
	// Probe asks a target for its load report.
	Probe struct{ Target config.Target }
	// SendOrder sends a fenced order to an engine.
	SendOrder struct {
		Order Order
		// ReadFirst asks for the engine's state before the order.
		ReadFirst bool
	}
	// AnswerWrite ends a Submitted.
	AnswerWrite struct {
		ID     string
		Result catalog.Result
		// Known is false where the write may or may not have been done.
		Known bool
	}
	// Note is a change of state worth a log line.
	Note struct {
		Kind   NoteKind
		Object string
		Detail string
	}
	// LookUp asks for a kept answer, to be sent in an AnswerOf.
	LookUp struct {
		Request ident.Request
		For     ident.Request
		To      ident.Host
	}
	// KeepCrashes puts the list of crashes on a replica's disk, in place of the one before.
	// Nothing waits for it.
	KeepCrashes struct{ Entries []CrashEntry }
	// KnowHosts tells the transport where hosts listen.
	KnowHosts struct{ Hosts []config.Host }
	// RequestDecision carries out a decision of the gateway.
	RequestDecision struct{ Decision requests.Decision }
	// AnswerRead ends a Read; OK tells that the configuration held is the
	// newest one.
	AnswerRead struct {
		ID string
		OK bool
	}
	// HeartbeatAnswer answers a worker: whether its heartbeat was taken, and the ip:port
	// for its next heartbeats, empty for no change.
	HeartbeatAnswer struct {
		Taken bool
		Relay string
		// Invalid is why the heartbeat names no worker to use; empty where it names one.
		Invalid string
	}
)

func (Send) effect()            {}
func (Persist) effect()         {}
func (Dispatch) effect()        {}
func (Finish) effect()          {}
func (Probe) effect()           {}
func (SendOrder) effect()       {}
func (AnswerWrite) effect()     {}
func (Note) effect()            {}
func (LookUp) effect()          {}
func (KeepCrashes) effect()     {}
func (KnowHosts) effect()       {}
func (RequestDecision) effect() {}
func (AnswerRead) effect()      {}
func (HeartbeatAnswer) effect() {}

// NoteKind names a change of state.
type NoteKind string

// Kinds of note.
const (
	NoteRole      NoteKind = "replica role"
	NoteConfig    NoteKind = "configuration"
	NoteHostUp    NoteKind = "host up"
	NoteHostDown  NoteKind = "host down"
	NoteOwner     NoteKind = "group ownership"
	NoteTarget    NoteKind = "target health"
	NoteReady     NoteKind = "ready"
	NoteDrain     NoteKind = "draining"
	NoteFallback  NoteKind = "owner unreachable"
	NoteStateLoad NoteKind = "state restored"
	NoteMembers   NoteKind = "replica membership"
	NoteWorker    NoteKind = "worker registration"
	NoteReplica   NoteKind = "replica contact"
	NoteHub       NoteKind = "hub"
	NoteZone      NoteKind = "zone contact"
	NoteInForce   NoteKind = "route table in force"
	NoteCrashes   NoteKind = "workers ended under request"
	NoteZoneOrder NoteKind = "zone order"
	// NoteZonesInForce tells when an order for a zone was acknowledged, and what it waited for.
	NoteZonesInForce NoteKind = "zone order in force"
)
