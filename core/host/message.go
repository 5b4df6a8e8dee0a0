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
	"github.com/yardhall/yardhall/core/routing"
	"github.com/yardhall/yardhall/core/zones"
)

// Message is what hosts send each other. The set is closed.
type Message interface{ message() }

type (
	// Raft carries a message of the replicated log. From and To name replicas
	// by their disks in a seeded fleet and are empty elsewhere.
	Raft struct {
		From    ident.Host
		To      ident.Host
		Message raft.Message
		// KnowsZones is set by programs that know of drained zones.
		KnowsZones bool
	}
	// PeerHeartbeat is a host's heartbeat.
	PeerHeartbeat struct{ Beat Heartbeat }
	// RequestPermit asks a group's owner for a place.
	RequestPermit struct {
		Group   routing.GroupID
		Place   ident.PermitID
		Account ident.Account
		Class   ident.Class
		Model   ident.Model
		Chat    hash.Key
		Work    int64
		// Within is the time left; hosts' clocks may differ.
		Within  time.Duration
		Exclude []ident.Target
		// Final is set where another group has sent the request on.
		Final bool
	}
	// PermitReply answers AskPlace, perhaps twice: Queued, then the end.
	PermitReply struct {
		Place  ident.PermitID
		Answer routing.Answer
	}
	// NotOwner says that the receiver of AskPlace does not own the group.
	NotOwner struct{ Place ident.PermitID }
	// ReleasePermit gives a place back, or takes a request out of the queue.
	ReleasePermit struct{ Place ident.PermitID }
	// AdoptPermits tells a new owner of the places its router holds.
	AdoptPermits struct {
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
	// Poll is what a host of a seeded fleet reports to a replica, a hub or a fallback peer,
	// and what it asks for. Its fields travel by their names, so they keep them.
	Poll struct {
		// Round numbers the poll; the reply repeats it.
		Round uint64
		// Version is the route table that the host holds.
		Version config.Version
		// Lead asks for a confirmation, Table for the route table, Sums for the loads of
		// all hosts.
		Lead  bool
		Table bool
		Sums  bool
		// Boot is the incarnation of the host.
		Boot uint64
		// Epoch and Revision are what the host has of the receiver's registry.
		Epoch    uint64
		Revision uint64
		// Serves is set where the host takes callers' requests.
		Serves bool
		// Loads are the requests that the host has at workers; a hub's with those of the
		// hosts that it counts.
		Loads loads.Digest
		// Relay is where the host takes workers' heartbeats; Beats are the packed
		// workers whose heartbeats it took since its last report.
		Relay string
		Beats []byte
		Zone  ident.Zone
		// Leaves deregisters the host, which polls others from now on; nothing else is
		// set then.
		Leaves bool
		// Home is set where the receiver is the host's primary hub.
		Home bool
		// HubList names the list of hubs that the host holds, NeighbourList that of its
		// fallback peers.
		HubList       hash.Key
		NeighbourList hash.Key
		// Neighbour is set where a fallback peer is polled in place of replicas.
		Neighbour bool
		// InForce is the oldest table by which the host, or any that it granted a lease,
		// may serve.
		InForce config.Version
		// Grouped is set where Group, the hosts that this hub counts, is reported.
		Grouped bool
		Group   []hubs.Host
		// Replaced are workers at whose address another process answered lately.
		Replaced []ReplacedWorker
		// Crashes are requests that were in progress at workers that ended lately.
		Crashes []CrashReport
		// CrashList names the list of crashes that the host holds, CrashEntries is that
		// list where the receiver holds another one.
		CrashList    hash.Key
		CrashEntries []CrashEntry
		// KnowsZones is set by programs that know of drained zones; Zones is the revision of
		// them that the host holds, ZonesInForce the oldest one by which it, or any that it
		// granted a lease, may serve, as package inforce counts them.
		KnowsZones   bool
		Zones        uint64
		ZonesInForce config.Version
	}
	// PollReply replies to a Poll, or is an update with Round 0. Its fields travel by
	// their names, so they keep them.
	PollReply struct {
		Round  uint64
		Leader ident.Host
		// Fresh is set where Version is confirmed: by a leader with a lease, or passed on
		// with its Age.
		Fresh   bool
		Version config.Version
		// Gateway is the packed route table of Version, where it is sent; where Base is
		// set, the packed delta from the table of that version.
		Gateway []byte
		Base    config.Version
		// Epoch is the incarnation of the sender, whose registry Revision counts; Workers
		// are the packed registrations from Since to Revision.
		Epoch    uint64
		Since    uint64
		Revision uint64
		Workers  []byte
		Replicas []ident.Host
		// Summed is set where Loads are the requests of all other hosts.
		Summed bool
		Loads  loads.Digest
		// Hosts is how many entry hosts there are.
		Hosts int
		// HubList names the list of the fleet's hubs, 0 for none known; Hubs are they,
		// where the client holds another list.
		HubList hash.Key
		Hubs    []hubs.Host
		// NeighbourList names the list of fallback peers, Neighbours are they, where the
		// client holds another list.
		NeighbourList hash.Key
		Neighbours    []hubs.Host
		// Neighbour is set where a fallback peer replies in place of replicas.
		Neighbour bool
		// Age and LoadsAge are how old a hub's confirmation and Loads are; 0 at a replica.
		// Cut is set where a hub has no replies of replicas.
		Age      time.Duration
		LoadsAge time.Duration
		Cut      bool
		// CrashList names the list of crashes of the sender, CrashEntries is that list where
		// the client holds another one.
		CrashList    hash.Key
		CrashEntries []CrashEntry
		// Zones are the drained zones that the sender holds.
		Zones zones.Drained
	}
	// AwaitInForce asks the leader to answer a write once a table, which is committed, is
	// in force; with Zones, once drained zones are, as package inforce counts them.
	AwaitInForce struct {
		ID      string
		Version config.Version
		Zones   config.Version
	}
	// Join asks the leader to take a replica in.
	Join struct{ Identity ident.Host }
	// ReadRequest asks the leader for the newest version.
	ReadRequest struct{ ID string }
	// ReadReply replies to a ReadRequest.
	ReadReply struct {
		ID      string
		Version config.Version
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

// Heartbeat is what a host says of itself once per interval.
type Heartbeat struct {
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
	// Crashes are requests that were in progress at targets that ended lately; CrashList
	// names the list of crashes that the host holds, CrashEntries is that list where another
	// host holds another one.
	Crashes      []CrashReport
	CrashList    hash.Key
	CrashEntries []CrashEntry
}
