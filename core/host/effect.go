// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/departures"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/origins"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/requests"
)

// Effect is an action that Reduce asks the process to carry out. The set is closed.
type Effect interface{ effect() }

type (
	// Send transmits a message, which may be lost, duplicated or reordered.
	Send struct {
		To      ident.Host
		Message Message
	}
	// Persist writes to the replica's disk. An EntriesPersisted event reports completion.
	Persist struct{ Persist raft.Persist }
	// Dispatch sends a request to Target.
	Dispatch struct {
		Request ident.Request
		Attempt int
		Target  config.Target
		// AtMostOnce forbids the transport from resending the request.
		AtMostOnce bool
		Rank       int
		// Deadline bounds the attempt.
		Deadline time.Time
	}
	// Finish ends a request and answers its caller.
	Finish struct {
		Request ident.Request
		Verdict Verdict
	}
	// Probe requests a target's load report.
	Probe struct{ Target config.Target }
	// SendOrder sends a fenced order to an engine.
	SendOrder struct {
		Order Order
		// ReadFirst requests the engine's state before the order.
		ReadFirst bool
	}
	// AnswerWrite answers a WriteSubmitted.
	AnswerWrite struct {
		ID     string
		Result catalog.Result
		// Known is false if the write may or may not have taken effect.
		Known bool
	}
	// LogRecord logs a state change.
	LogRecord struct {
		Kind   LogKind
		Object string
		Detail string
		// Leaving is set if the record says that a worker leaves. Such records have a budget of their own,
		// as they explain requests that arrive late.
		Leaving bool
	}
	// LookUpAnswer looks up the stored answer to Request and sends it to To in an AnswerOf.
	LookUpAnswer struct {
		Request ident.Request
		For     ident.Request
		To      ident.Host
	}
	// PersistCrashes replaces the crash list on a replica's disk. Its completion is not
	// reported.
	PersistCrashes struct{ Entries []CrashEntry }
	// UpdateHostAddresses gives the transport the addresses of the hosts.
	UpdateHostAddresses struct{ Hosts []config.Host }
	// RequestDecision carries out a decision of core/requests.
	RequestDecision struct{ Decision requests.Decision }
	// AnswerRead answers a ReadSubmitted. Current is set if this host's configuration is
	// the newest one.
	AnswerRead struct {
		ID      string
		Current bool
	}
	// PersistDepartures replaces the departures on a replica's disk. A DeparturesPersisted event reports
	// completion.
	PersistDepartures struct{ Record departures.Record }
	// PersistOrigins appends the origins of streams to a replica's disk. Its completion is not reported.
	PersistOrigins struct{ Report origins.Report }
	// DepartureProgressed reports that the departure of a worker is on disk, or that another replica holds it:
	// its DepartureStatus has changed.
	DepartureProgressed struct{ Worker ident.Target }
	// HeartbeatAnswer answers a worker's heartbeat or deregistration. Relay is the ip:port for
	// its next heartbeats, empty for no change.
	HeartbeatAnswer struct {
		Accepted bool
		Relay    string
		// InvalidReason says why the heartbeat is invalid; empty if it is valid.
		InvalidReason string
	}
)

func (Send) effect()                {}
func (Persist) effect()             {}
func (Dispatch) effect()            {}
func (Finish) effect()              {}
func (Probe) effect()               {}
func (SendOrder) effect()           {}
func (AnswerWrite) effect()         {}
func (LogRecord) effect()           {}
func (LookUpAnswer) effect()        {}
func (PersistCrashes) effect()      {}
func (UpdateHostAddresses) effect() {}
func (RequestDecision) effect()     {}
func (AnswerRead) effect()          {}
func (PersistDepartures) effect()   {}
func (PersistOrigins) effect()      {}
func (DepartureProgressed) effect() {}
func (HeartbeatAnswer) effect()     {}

// LogKind is the message of a LogRecord.
type LogKind string

// Kinds of log records.
const (
	LogReplicaRole        LogKind = "replica role"
	LogConfiguration      LogKind = "configuration"
	LogHostUp             LogKind = "host up"
	LogHostDown           LogKind = "host down"
	LogGroupOwner         LogKind = "group ownership"
	LogTargetHealth       LogKind = "target health"
	LogReady              LogKind = "ready"
	LogStartup            LogKind = "startup"
	LogDraining           LogKind = "draining"
	LogOwnerUnreachable   LogKind = "owner unreachable"
	LogStateRestored      LogKind = "state restored"
	LogReplicaMembership  LogKind = "replica membership"
	LogWorkerRegistration LogKind = "worker registration"
	LogReplicaContact     LogKind = "replica contact"
	LogHub                LogKind = "hub"
	LogPromptCollector    LogKind = "prompt collector"
	LogZoneContact        LogKind = "zone contact"
	LogWorkerContact      LogKind = "worker contact"
	LogTableInForce       LogKind = "route table in force"
	LogCrashes            LogKind = "workers ended under request"
	LogZoneOrder          LogKind = "zone order"
	// LogZoneOrderInForce records when a zone order was acknowledged, and what it waited for.
	LogZoneOrderInForce LogKind = "zone order in force"
	LogRolloutOrder     LogKind = "rollout order"
	LogRolloutPhase     LogKind = "rollout phase"
	// LogRolloutInForce records when a rollout order was acknowledged, and what it waited for.
	LogRolloutInForce LogKind = "rollout order in force"
	// LogVersionAdopted records a version that became current without a rollout.
	LogVersionAdopted LogKind = "target version adopted"
)
