// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/hubs"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/routing"
	"github.com/yardhall/yardhall/core/zones"
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
	// Poll is what a host of a seeded fleet reports to and requests from a replica, a hub or a
	// fallback peer. Gob identifies its fields by name, so they must not be renamed.
	Poll struct {
		// Round is the number of the poll, which the reply repeats.
		Round uint64
		// Version is the version of the route table that the host holds.
		Version config.Version
		// Lead requests a confirmation, Table the route table, and Sums the loads of all hosts.
		Lead  bool
		Table bool
		Sums  bool
		// Boot is the incarnation of the host.
		Boot uint64
		// Epoch and Revision tell how much of the receiver's registry the host has.
		Epoch    uint64
		Revision uint64
		// Serves is set if the host accepts callers' requests.
		Serves bool
		// Loads are the host's requests at workers; a hub includes those of the hosts that it
		// counts.
		Loads loads.Digest
		// Relay is where the host accepts workers' heartbeats. Beats are the packed workers
		// whose heartbeats it has accepted since its last report.
		Relay string
		Beats []byte
		Zone  ident.Zone
		// Leaves deregisters the host, which now polls others. No other field but Boot is set
		// then.
		Leaves bool
		// Home is set if the receiver is the host's primary hub.
		Home bool
		// HubList is the key of the host's list of hubs, NeighbourList that of its list of
		// fallback peers.
		HubList       hash.Key
		NeighbourList hash.Key
		// Neighbour is set if the receiver is polled as a fallback peer.
		Neighbour bool
		// InForce is the oldest route table that the host, or any host it granted a lease, may
		// still apply.
		InForce config.Version
		// Grouped is set if Group, the hosts that this hub counts, is reported.
		Grouped bool
		Group   []hubs.Host
		// Replaced are workers at whose address another process recently answered.
		Replaced []ReplacedWorker
		// Crashes are the requests that were in progress at workers that recently crashed.
		Crashes []CrashReport
		// CrashList is the key of the host's crash list. CrashEntries is the list if the
		// receiver holds a different one.
		CrashList    hash.Key
		CrashEntries []CrashEntry
		// KnowsZones is set by versions that support drained zones. Zones is the revision of
		// the drained zones that the host holds. ZonesInForce is the oldest revision that it,
		// or any host it granted a lease, may still apply, as numbered by zonesVersion.
		KnowsZones   bool
		Zones        uint64
		ZonesInForce config.Version
		// SkipWorkers is set if the receiver must send no registrations for now, as the host is
		// receiving them from another hub.
		SkipWorkers bool
		// WorkersDigest is the digest of the workers that the host knows, if it holds none of the
		// receiver's registrations; 0 if it knows no workers.
		WorkersDigest registry.Digest
	}
	// PollReply replies to a Poll; with Round 0 it is an unsolicited update. Gob identifies its
	// fields by name, so they must not be renamed.
	PollReply struct {
		Round  uint64
		Leader ident.Host
		// Fresh is set if Version is confirmed as the newest, by a leader with a lease or by a
		// forwarded confirmation of the given Age.
		Fresh   bool
		Version config.Version
		// Gateway is the packed route table of Version, if it is sent. If Base is set, it is
		// the packed delta from the table of version Base.
		Gateway []byte
		Base    config.Version
		// Epoch is the incarnation of the sender, and Revision the revision of its registry.
		// Workers are the packed registrations after Since up to Revision.
		Epoch    uint64
		Since    uint64
		Revision uint64
		Workers  []byte
		Replicas []ident.Host
		// Summed is set if Loads are the requests of all other hosts.
		Summed bool
		Loads  loads.Digest
		// Hosts is the number of entry hosts.
		Hosts int
		// HubList is the key of the list of hubs, 0 if it is not known. Hubs is the list if the
		// client holds a different one.
		HubList hash.Key
		Hubs    []hubs.Host
		// NeighbourList is the key of the list of fallback peers. Neighbours is the list if the
		// client holds a different one.
		NeighbourList hash.Key
		Neighbours    []hubs.Host
		// Neighbour is set if the sender replies as a fallback peer.
		Neighbour bool
		// Age and LoadsAge are the ages of a hub's confirmation and Loads, 0 from a replica.
		// Cut is set if the sending hub gets no replies from replicas.
		Age      time.Duration
		LoadsAge time.Duration
		Cut      bool
		// CrashList is the key of the sender's crash list. CrashEntries is the list if the
		// client holds a different one.
		CrashList    hash.Key
		CrashEntries []CrashEntry
		// Zones are the drained zones that the sender holds.
		Zones zones.Drained
		// Zone is the sender's zone. SilentZones are the zones whose replicas do not reply to the
		// sending hub.
		Zone        ident.Zone
		SilentZones []ident.Zone
		// NewestRevision is the revision of the sender's registry; 0 from earlier versions.
		NewestRevision uint64
	}
	// AwaitInForce asks the leader to answer a write once the committed route table of Version
	// is in force, or, if Zones is set, once that revision of the drained zones is, as numbered
	// by zonesVersion.
	AwaitInForce struct {
		ID      string
		Version config.Version
		Zones   config.Version
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
func (Poll) message()          {}
func (PollReply) message()     {}
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
