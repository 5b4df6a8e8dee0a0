// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers

import (
	"encoding/gob"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/routing"
)

// Hello opens a connection: who calls, of which fleet, with which key.
type Hello struct {
	From  ident.Host
	Fleet string
	Key   string
}

// Batch carries messages from one host to another. Their order means nothing.
type Batch struct{ Messages []host.Message }

// Ack is the empty answer; net/rpc needs one, and gob a field in it.
type Ack struct{ Taken int }

// registerTypes names the closed sets of messages for gob, which adds and
// skips unknown fields, so that hosts of neighbouring versions understand each
// other.
func registerTypes() {
	for _, v := range []any{
		host.Raft{},
		host.Gossip{},
		host.AskPlace{},
		host.PlaceAnswer{},
		host.NotOwner{},
		host.FreePlace{},
		host.AdoptPlaces{},
		host.AdoptChats{},
		host.Follow{},
		host.Changes{},
		host.WholeConfig{},
		host.ForwardWrite{},
		host.WriteAnswered{},
		raft.VoteRequest{},
		raft.VoteReply{},
		raft.Append{},
		raft.AppendReply{},
		raft.SnapshotChunk{},
		raft.SnapshotReply{},
		raft.TimeoutNow{},
		routing.Granted{},
		routing.Queued{},
		routing.Elsewhere{},
		routing.Refused{},
		catalog.Edit{},
		catalog.StateIntent{},
		catalog.Decide{},
		catalog.IssueOrder{},
		catalog.EndOrder{},
		catalog.ClaimRun{},
		catalog.EndClaim{},
	} {
		gob.Register(v)
	}
	for _, v := range config.Types() {
		gob.Register(v)
	}
}
