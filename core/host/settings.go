// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/core/rollouts"
)

// Settings configure a process.
type Settings struct {
	ID   ident.Host
	Zone ident.Zone
	// Address is the ip:port at which other hosts connect.
	Address string
	// Serves is set if the host accepts callers' requests.
	Serves bool
	// Replicas are the initial hosts of the replicated state.
	Replicas []config.Host
	// Neighbours are hosts of the same zone that are asked for configuration if no replica is
	// reachable.
	Neighbours []config.Host
	// Raft holds the timeouts of the replicated log.
	Raft raft.Options
	// Incarnation increases with each start of this process.
	Incarnation uint64
	// MaxChatsPerGroup bounds the chats remembered per group; 0 is the default.
	MaxChatsPerGroup int
	// Seeds are peer addresses at which replicas of a seeded fleet are found; empty in a listed
	// fleet. In a seeded fleet a host's ID is its peer address.
	Seeds []ident.Host
	// Identity names the data directory of a replica in a seeded fleet.
	Identity ident.Host
	// Voters is the intended number of voting replicas in a seeded fleet.
	Voters int
	// WorkerTimeout is the time without heartbeats after which a registered worker counts as gone;
	// 0 is the default.
	WorkerTimeout time.Duration
	// RelayAddress is the ip:port at which this host accepts workers' heartbeats for the replicas;
	// empty for none.
	RelayAddress string
	// HubsAbove is the number of entry hosts above which replicas assign hubs; 0 is the default.
	HubsAbove int
	// InForceWithin is the time after its acknowledgement within which all hosts apply a route
	// table; 0 is the default.
	InForceWithin time.Duration
	// Rollouts bound the rollouts of target versions; the zero value disables them.
	Rollouts rollouts.Limits
	// Requests are the settings of core/requests.
	Requests requests.Settings
}

// Seeded reports whether replicas are found through seeds.
func (s Settings) Seeded() bool { return len(s.Seeds) > 0 }

// replicaID is the name of this replica in the replicated log.
func (s Settings) replicaID() ident.Host {
	if s.Identity != "" {
		return s.Identity
	}
	return s.ID
}

// IsReplica reports whether this process keeps the replicated state.
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
