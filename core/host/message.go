// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/routing"
)

// Message is a message between hosts. The set is closed.
type Message interface{ message() }

type (
	// Raft carries a message of the replicated log. In a seeded fleet From and To are replica
	// identities, which include the disk; elsewhere they are empty.
	Raft struct {
		From    ident.Host
		To      ident.Host
		Message raft.Message
		// KnowsZones is set by versions that support drained zones.
		KnowsZones bool
		// Zone is the sender's availability zone in a seeded fleet; empty from earlier versions.
		Zone ident.Zone
		// KnowsRollouts is set by versions that support rollouts and have them enabled.
		KnowsRollouts bool
		// Departures are packed workers that have recently begun to leave. KnowsDepartures is set by
		// versions that repeat those that they receive.
		Departures      []byte
		KnowsDepartures bool
	}
	// PeerHeartbeat carries a host's heartbeat.
	PeerHeartbeat struct{ Beat Heartbeat }
	// RequestPermit requests a permit from a group's owner.
	RequestPermit struct {
		Group   routing.GroupID
		Place   ident.PermitID
		Account ident.Account
		Class   ident.Class
		Model   ident.Model
		Chat    hash.Key
		Work    int64
		// Within is the time left until the deadline. It is relative because hosts' clocks may
		// differ.
		Within  time.Duration
		Exclude []ident.Target
		// Final is set if the request was redirected here by another group.
		Final bool
	}
	// PermitReply replies to a RequestPermit, possibly twice: with Queued and then with the
	// result.
	PermitReply struct {
		Place  ident.PermitID
		Answer routing.Answer
	}
	// NotOwner reports that the receiver of a RequestPermit does not own the group.
	NotOwner struct{ Place ident.PermitID }
	// ReleasePermit releases a permit, or removes a request from the queue.
	ReleasePermit struct{ Place ident.PermitID }
	// AdoptPermits reports to a new owner the permits that the sending router holds.
	AdoptPermits struct {
		Group   routing.GroupID
		Permits []routing.Permit
	}
	// AdoptChats hands over the chat locations that an owner has recorded.
	AdoptChats struct {
		Group routing.GroupID
		Chats []routing.Chat
	}
	// FetchAnswer requests the answer of an earlier request from the host that ran it, for a
	// retry received by another host.
	FetchAnswer struct {
		Request ident.Request
		For     ident.Request
	}
	// AnswerOf replies to a FetchAnswer. Answer is nil if it is not kept.
	AnswerOf struct {
		For    ident.Request
		Answer *Answer
	}
	// Follow requests the configuration changes after Version.
	Follow struct {
		Host    config.Host
		Version config.Version
	}
	// Changes replies to a Follow with the changes after Version.
	Changes struct {
		// Leader is the leader known to the sender, or "".
		Leader ident.Host
		// Fresh is set if the sender is a leader with a lease.
		Fresh   bool
		Version config.Version
		Deltas  []catalog.Delta
	}
	// WholeConfig replies to a Follow whose version is too old for Changes.
	WholeConfig struct {
		Leader   ident.Host
		Fresh    bool
		Document config.Document
	}
	// ForwardWrite forwards a write to the leader. Packed is the encoded log entry.
	ForwardWrite struct {
		ID     string
		Packed []byte
	}
	// WriteAnswered returns the result of a forwarded write.
	WriteAnswered struct {
		ID     string
		Result catalog.Result
	}
	// AwaitInForce asks the leader to answer a write once the committed route table of Version
	// is in force, or, if Zones or Rollouts is set, once that revision of the drained zones or of
	// the rollouts is, as numbered by revisionVersion.
	AwaitInForce struct {
		ID       string
		Version  config.Version
		Zones    config.Version
		Rollouts config.Version
	}
	// Join asks the leader to add a replica; Zone is empty from earlier versions.
	Join struct {
		Identity ident.Host
		Zone     ident.Zone
	}
	// ReadRequest asks the leader for the newest version.
	ReadRequest struct{ ID string }
	// ReadReply replies to a ReadRequest.
	ReadReply struct {
		ID      string
		Version config.Version
		// Rollouts is the revision of the rollouts; 0 from earlier versions.
		Rollouts uint64
	}
)

func (Raft) message()          {}
func (AwaitInForce) message()  {}
func (Join) message()          {}
func (ReadRequest) message()   {}
func (ReadReply) message()     {}
func (PeerHeartbeat) message() {}
func (RequestPermit) message() {}
func (PermitReply) message()   {}
func (NotOwner) message()      {}
func (ReleasePermit) message() {}
func (AdoptPermits) message()  {}
func (AdoptChats) message()    {}
func (FetchAnswer) message()   {}
func (AnswerOf) message()      {}
func (Follow) message()        {}
func (Changes) message()       {}
func (WholeConfig) message()   {}
func (ForwardWrite) message()  {}
func (WriteAnswered) message() {}

// Heartbeat is the state that a host reports to all others once per interval.
type Heartbeat struct {
	Host        ident.Host
	Incarnation uint64
	Counter     uint64
	Version     config.Version
	// Draining is set during a planned stop. A draining host owns no groups.
	Draining bool
	// Serves is set if the host accepts callers' requests.
	Serves bool
	Zone   ident.Zone
	Loads  []routing.GroupLoad
	// Leaving are targets that reported to this host that they are stopping.
	Leaving []ident.Target
	// Lost are targets of the host's own groups that have stopped answering.
	Lost []ident.Target
	// Crashes are the requests that were in progress at targets that recently crashed.
	// CrashList is the key of the host's crash list. CrashEntries is the list if another host
	// holds a different one.
	Crashes      []CrashReport
	CrashList    hash.Key
	CrashEntries []CrashEntry
}
