// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/requests"
)

// Settings are what a process learns from its settings file.
type Settings struct {
	ID   ident.Host
	Zone ident.Zone
	// Address is the peer ip:port that others dial.
	Address string
	// Serves is true where it takes callers' requests.
	Serves bool
	// Replicas are the hosts that keep the replicated state at first start.
	Replicas []config.Host
	// Neighbours are hosts of the same zone, asked for configuration where no
	// replica can be reached.
	Neighbours []config.Host
	// Raft are the times of the replicated log.
	Raft raft.Options
	// Incarnation grows with each start of this process.
	Incarnation uint64
	// MaxChatsPerGroup bounds the chats remembered per group; 0 is the default.
	MaxChatsPerGroup int
	// Seeds are peer addresses at which replicas can be found, in a fleet whose
	// replicas are not listed. There a host's ID is its peer address.
	Seeds []ident.Host
	// Identity names the data folder of a replica in a seeded fleet.
	Identity ident.Host
	// Voters is how many replicas shall vote in a seeded fleet.
	Voters int
	// WorkerTimeout is how long a registered worker may be silent; 0 is the default.
	WorkerTimeout time.Duration
	// RelayAddress is the ip:port at which this host takes workers' heartbeats for the
	// replicas; empty for none.
	RelayAddress string
	// HubsAbove is the number of entry hosts above which a replica names hubs; 0 is
	// the default.
	HubsAbove int
	// InForceWithin is how long after its acknowledgement a route table is in force
	// everywhere; 0 is the default.
	InForceWithin time.Duration
	// Requests are the bounds of the route table's requests.
	Requests requests.Settings
}

// Seeded tells whether replicas are found through seeds.
func (s Settings) Seeded() bool { return len(s.Seeds) > 0 }

// replicaID is the name of this replica in the replicated log.
func (s Settings) replicaID() ident.Host {
	if s.Identity != "" {
		return s.Identity
	}
	return s.ID
}

// IsReplica tells whether this process keeps the replicated state.
func (s Settings) IsReplica() bool {
	if s.Identity != "" {
		return true
	}
	for _, r := range s.Replicas {
		if r.ID == s.ID {
			return true
		}
	}
	return false
}
