// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/gateway"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/health"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/routing"
)

// Event is what a process reacts to. The set is closed.
type Event interface{ event() }

type (
	// Tick lets time pass.
	Tick struct{}
	// Received delivers a message of another host.
	Received struct {
		From    ident.Host
		Message Message
	}
	// Arrived is a caller's request.
	Arrived struct{ Request Request }
	// AttemptEnded reports how a try on a target ended.
	AttemptEnded struct {
		Request ident.Request
		Attempt int
		Result  outcome.Attempt
	}
	// Reported is a target's load report, or Failed where it gave none.
	Reported struct {
		Target   ident.Target
		Failed   bool
		Boot     uint64
		Seq      uint64
		InFlight int
		Leaving  bool
	}
	// Listed is the platform's list of targets.
	Listed struct{ Targets []ListedTarget }
	// Submitted is a write by an operator or by this process.
	Submitted struct {
		Write    catalog.Write
		Deadline time.Time
	}
	// OrderEnded reports what an engine made of an order.
	OrderEnded struct {
		Order Order
		OK    bool
		Error string
	}
	// DiskSynced reports that a raft.Persist is on disk.
	DiskSynced struct{ Persisted raft.Persisted }
	// Drain begins the planned stop of this process.
	Drain struct{}
	// ReplicaChange asks the leader to add, promote or remove a replica.
	ReplicaChange struct {
		Member raft.Member
		Remove bool
	}
	// Routed is an event of the gateway.
	Routed struct{ Event gateway.Event }
	// Beaten is a worker's heartbeat.
	Beaten struct{ Worker registry.Worker }
	// Left is a worker's word that it ends.
	Left struct{ Worker ident.Target }
	// Read asks whether the configuration held is the newest one.
	Read struct {
		ID       string
		Deadline time.Time
	}
	// Reseeded gives the addresses at which replicas can be found.
	Reseeded struct{ Seeds []ident.Host }
)

func (Tick) event()          {}
func (Received) event()      {}
func (Arrived) event()       {}
func (AttemptEnded) event()  {}
func (Reported) event()      {}
func (Listed) event()        {}
func (Submitted) event()     {}
func (OrderEnded) event()    {}
func (DiskSynced) event()    {}
func (Drain) event()         {}
func (ReplicaChange) event() {}
func (Routed) event()        {}
func (Beaten) event()        {}
func (Left) event()          {}
func (Read) event()          {}
func (Reseeded) event()      {}

// ListedTarget is one line of the platform's list.
type ListedTarget struct {
	ID      ident.Target
	Listing health.Listing
}

// Request is what the callers' side has read of a request.
type Request struct {
	ID ident.Request
	// KeyHash is the hex SHA-256 of the caller's key.
	KeyHash string
	// Model is set for inference, Service and Path for plain services.
	Model   ident.Model
	Service ident.Service
	Path    string
	Class   ident.Class
	Chat    hash.Key
	Work    int64
	// Once is true where the caller marks the request not repeatable.
	Once bool
	// IdempotencyKey marks the logical request, made at KeyCreated.
	IdempotencyKey string
	KeyCreated     time.Time
	Digest         uint64
	Deadline       time.Time
}

// Order is one fenced order to an engine.
type Order struct {
	Plan   ident.Plan
	Step   int
	Token  uint64
	Action string
	Model  ident.Model
	Target config.Target
	Bytes  int64
	// NotAfter is when the order must not be sent any more.
	NotAfter time.Time
}

// Message is what hosts send each other. The set is closed.
type Message interface{ message() }

type (
	// Raft carries a message of the replicated log. From and To name replicas
	// by their disks in a seeded fleet and are empty elsewhere.
	Raft struct {
		From    ident.Host
		To      ident.Host
		Message raft.Message
	}
	// Gossip is a host's heartbeat.
	Gossip struct{ Beat Beat }
	// AskPlace asks a group's owner for a place.
	AskPlace struct {
		Group   routing.GroupID
		Place   ident.Place
		Account ident.Account
		Class   ident.Class
		Model   ident.Model
		Chat    hash.Key
		Work    int64
		// Within is the time left; hosts' clocks may differ.
		Within  time.Duration
		Exclude []ident.Target
		// Final is set where another group has sent the ask on.
		Final bool
	}
	// PlaceAnswer answers AskPlace, perhaps twice: Queued, then the end.
	PlaceAnswer struct {
		Place  ident.Place
		Answer routing.Answer
	}
	// NotOwner says that the receiver of AskPlace does not own the group.
	NotOwner struct{ Place ident.Place }
	// FreePlace gives a place back, or takes an ask out of the queue.
	FreePlace struct{ Place ident.Place }
	// AdoptPlaces tells a new owner of the places its router holds.
	AdoptPlaces struct {
		Group   routing.GroupID
		Permits []routing.Permit
	}
	// AdoptChats hands over what an owner remembers of chats.
	AdoptChats struct {
		Group routing.GroupID
		Chats []routing.Chat
	}
	// FetchAnswer asks the host that ran a request for its answer, for a resend
	// that another host has taken.
	FetchAnswer struct {
		Request ident.Request
		For     ident.Request
	}
	// AnswerOf answers FetchAnswer; Answer is nil where it is not kept.
	AnswerOf struct {
		For    ident.Request
		Answer *Answer
	}
	// Follow asks for configuration after Version.
	Follow struct {
		Host    config.Host
		Version config.Version
	}
	// Changes answers Follow with what came after Version.
	Changes struct {
		// Leader is the leader known to the sender, or "".
		Leader ident.Host
		// Fresh is true where a leader with a lease answers.
		Fresh   bool
		Version config.Version
		Deltas  []catalog.Delta
	}
	// WholeConfig answers a Follow from too far behind.
	WholeConfig struct {
		Leader   ident.Host
		Fresh    bool
		Document config.Document
	}
	// ForwardWrite hands a write to the leader; Packed is its log data.
	ForwardWrite struct {
		ID     string
		Packed []byte
	}
	// WriteAnswered returns what became of a forwarded write.
	WriteAnswered struct {
		ID     string
		Result catalog.Result
	}
	// Sync tells a replica what a host of a seeded fleet has, and asks for the
	// rest.
	Sync struct {
		// Round numbers the question; the answer repeats it.
		Round   uint64
		Version config.Version
		// Lead is set where a leader's word and loads are asked for too, Table
		// where the route table is.
		Lead  bool
		Table bool
		// Epoch and Revision are what the host has of the replica's registry.
		Epoch    uint64
		Revision uint64
		Serves   bool
		Loads    []gateway.WorkerLoad
	}
	// SyncAnswer answers Sync, or tells of a change with Round 0.
	SyncAnswer struct {
		Round  uint64
		Leader ident.Host
		// Fresh is true where a leader with a lease says that Version is the
		// newest.
		Fresh   bool
		Version config.Version
		// Gateway is the packed route table of Version, where it is sent; where
		// Base is set, the packed delta from the table of that version.
		Gateway []byte
		Base    config.Version
		Epoch   uint64
		// Since is the revision that Workers follow.
		Since    uint64
		Revision uint64
		Workers  []registry.Worker
		Replicas []ident.Host
		Loads    []gateway.WorkerLoad
		// Hosts is how many entry hosts sync with the replica.
		Hosts int
	}
	// Join asks the leader to take a replica in.
	Join struct{ Identity ident.Host }
	// ReadAsk asks the leader for the newest version.
	ReadAsk struct{ ID string }
	// ReadAnswer answers ReadAsk.
	ReadAnswer struct {
		ID      string
		Version config.Version
	}
)

func (Raft) message()          {}
func (Sync) message()          {}
func (SyncAnswer) message()    {}
func (Join) message()          {}
func (ReadAsk) message()       {}
func (ReadAnswer) message()    {}
func (Gossip) message()        {}
func (AskPlace) message()      {}
func (PlaceAnswer) message()   {}
func (NotOwner) message()      {}
func (FreePlace) message()     {}
func (AdoptPlaces) message()   {}
func (AdoptChats) message()    {}
func (FetchAnswer) message()   {}
func (AnswerOf) message()      {}
func (Follow) message()        {}
func (Changes) message()       {}
func (WholeConfig) message()   {}
func (ForwardWrite) message()  {}
func (WriteAnswered) message() {}

// Beat is what a host says of itself once per interval.
type Beat struct {
	Host        ident.Host
	Incarnation uint64
	Counter     uint64
	Version     config.Version
	// Draining is true in a planned stop; a draining host owns no group.
	Draining bool
	// Serves is true where it takes callers' requests.
	Serves bool
	Zone   ident.Zone
	Loads  []routing.GroupLoad
	// Leaving are targets that said so to this host.
	Leaving []ident.Target
	// Lost are targets of its own groups that have not answered for long.
	Lost []ident.Target
}

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
	// KnowHosts tells the transport where hosts listen.
	KnowHosts struct{ Hosts []config.Host }
	// Route carries out a decision of the gateway.
	Route struct{ Decision gateway.Decision }
	// AnswerRead ends a Read; OK tells that the configuration held is the
	// newest one.
	AnswerRead struct {
		ID string
		OK bool
	}
)

func (Send) effect()        {}
func (Persist) effect()     {}
func (Dispatch) effect()    {}
func (Finish) effect()      {}
func (Probe) effect()       {}
func (SendOrder) effect()   {}
func (AnswerWrite) effect() {}
func (Note) effect()        {}
func (LookUp) effect()      {}
func (KnowHosts) effect()   {}
func (Route) effect()       {}
func (AnswerRead) effect()  {}

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
)

// Verdict is what a caller is told.
type Verdict struct {
	Outcome outcome.Kind
	Code    Code
	Reason  string
	// RetryAfter is when the caller may come back; 0 is no advice.
	RetryAfter time.Duration
	// Claim is set where an earlier request under the same key stands.
	Claim *catalog.Claim
	// Answer is that request's answer, where it is kept.
	Answer *Answer
}

// Answer is a target's whole answer, kept for resends.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Code is the machine-readable part of a Verdict.
type Code string

// Codes of a Verdict.
const (
	CodeOK            Code = "ok"
	CodeBadKey        Code = "invalid_api_key"
	CodeNoModel       Code = "model_not_found"
	CodeNoService     Code = "service_not_found"
	CodeBadClass      Code = "class_not_allowed"
	CodeLimit         Code = "rate_limit_exceeded"
	CodeOverloaded    Code = "overloaded"
	CodeNoTarget      Code = "no_target"
	CodeDeadline      Code = "deadline_exceeded"
	CodeBroken        Code = "target_failed"
	CodeNoQuorum      Code = "claim_unavailable"
	CodeAlreadyRan    Code = "already_ran"
	CodeRunning       Code = "already_running"
	CodeKeyReused     Code = "idempotency_key_reused"
	CodeKeyExpired    Code = "idempotency_key_expired"
	CodeKeyInvalid    Code = "idempotency_key_invalid"
	CodeNotHandedOver Code = "not_handed_over"
	CodeNotReady      Code = "not_ready"
	CodeDraining      Code = "draining"
	CodeCallerGone    Code = "caller_gone"
)
