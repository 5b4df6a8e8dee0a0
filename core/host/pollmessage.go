// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/hubs"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/rollouts"
	"github.com/yardhall/yardhall/core/zones"
)

type (
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
		// or any host it granted a lease, may still apply, as numbered by revisionVersion.
		KnowsZones   bool
		Zones        uint64
		ZonesInForce config.Version
		// SkipWorkers is set if the receiver must send no registrations for now, as the host is
		// receiving them from another hub.
		SkipWorkers bool
		// WorkersDigest is the digest of the workers that the host knows, if it holds none of the
		// receiver's registrations; 0 if it knows no workers.
		WorkersDigest registry.Digest
		// KnowsRollouts is set by versions that support rollouts and have them enabled. EarlierHosts
		// is set if another host that polls this one does not set it. Rollouts is the revision of
		// the rollouts that the host holds. RolloutsInForce is the oldest revision that it, or any
		// host it granted a lease, may still apply, as numbered by revisionVersion.
		KnowsRollouts   bool
		EarlierHosts    bool
		Rollouts        uint64
		RolloutsInForce config.Version
		// Begun are the packed origins of streams that the host, or clients of the hub, began. LookedUp
		// are the packed keys of streams whose origins the host looks up.
		Begun    []byte
		LookedUp []byte
		// Missed is set if the host received an update of the receiver that does not follow the last one
		// that it holds, so that those in between are lost.
		Missed bool
		// KnowsDepartures is set by versions that are sent departures apart from other registrations.
		// Departures is the position up to which the host has those of the receiver. AllDepartures is
		// set if it polls only some of the replicas and wants those that others registered, too.
		KnowsDepartures bool
		Departures      uint64
		AllDepartures   bool
		// Processes are the workers of which the host looks up the processes.
		Processes []ident.Target
		// CountsPrompts is set by versions that number their reports of prompts and, as hubs, count those of others. CollectorsKey
		// is the key of the list of collectors that the receiver sent last.
		CountsPrompts bool
		CollectorsKey hash.Key
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
		// KnowsRollouts is set by versions that support rollouts and have them enabled. Rollouts is
		// the state that the sender holds, if the client holds an older one.
		KnowsRollouts bool
		Rollouts      rollouts.State
		// Origins are the packed origins, as far as the sender knows them, of the streams that the client
		// looks up.
		Origins []byte
		// Departures are the packed workers that have begun to leave, after position DeparturesSince up to
		// DeparturesUpTo. KnowsDepartures is set by versions that send them apart.
		KnowsDepartures bool
		Departures      []byte
		DeparturesSince uint64
		DeparturesUpTo  uint64
		// NewestDeparture is the position of the sender's last departure that the client wants.
		NewestDeparture uint64
		// ReadsStreamsBegun is set by versions that read StreamsBegun.
		ReadsStreamsBegun bool
		// KnowsProcesses is set by versions that reply with Lives, what the sender knows of the processes that the client
		// looks up.
		KnowsProcesses bool
		Lives          []WorkerLife
		// WorkersAge is how long ago the sender, a hub, knew all workers; 0 if it never did.
		WorkersAge time.Duration
		// LoadsOf is the number of entry hosts whose requests are in Loads, if the sender is a replica; 0 from
		// earlier versions.
		LoadsOf int
		// ReadsPrompts is set by versions that read PromptsSent. Frequent are the packed counts of the most frequent prefixes, if
		// the client, of an earlier version, reports prompts to the sender without numbers.
		ReadsPrompts bool
		Frequent     []byte
		// CollectorsKey is the key of the list of hosts that count prompts, 0 if it is not known. Collectors is the list if the client holds a
		// different one.
		CollectorsKey hash.Key
		Collectors    []ident.Host
	}
)

// StreamsBegun reports packed origins of streams that the host, or clients of the hub, began since its last
// report. It has no reply.
type StreamsBegun struct{ Origins []byte }

func (Poll) message()         {}
func (PollReply) message()    {}
func (StreamsBegun) message() {}
