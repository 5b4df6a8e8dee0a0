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

// wireType is a type with its name on the wire. The name stands before each
// message, so it is short; it must never change its meaning.
type wireType struct {
	name  string
	value any
}

func wireTypes() []wireType {
	return []wireType{
		{"r", host.Raft{}},
		{"g", host.Gossip{}},
		{"a", host.AskPlace{}},
		{"p", host.PlaceAnswer{}},
		{"n", host.NotOwner{}},
		{"f", host.FreePlace{}},
		{"ap", host.AdoptPlaces{}},
		{"ac", host.AdoptChats{}},
		{"fo", host.Follow{}},
		{"ch", host.Changes{}},
		{"wc", host.WholeConfig{}},
		{"fw", host.ForwardWrite{}},
		{"wa", host.WriteAnswered{}},
		{"vq", raft.VoteRequest{}},
		{"vr", raft.VoteReply{}},
		{"ae", raft.Append{}},
		{"ar", raft.AppendReply{}},
		{"sc", raft.SnapshotChunk{}},
		{"sr", raft.SnapshotReply{}},
		{"tn", raft.TimeoutNow{}},
		{"G", routing.Granted{}},
		{"Q", routing.Queued{}},
		{"E", routing.Elsewhere{}},
		{"R", routing.Refused{}},
		{"ed", catalog.Edit{}},
		{"si", catalog.StateIntent{}},
		{"de", catalog.Decide{}},
		{"io", catalog.IssueOrder{}},
		{"eo", catalog.EndOrder{}},
		{"cr", catalog.ClaimRun{}},
		{"ec", catalog.EndClaim{}},
	}
}

// registerTypes names the closed sets of messages for gob, which adds and
// skips unknown fields, so that hosts of neighbouring versions understand each
// other.
func registerTypes() {
	for _, t := range wireTypes() {
		gob.RegisterName(t.name, t.value)
	}
	for _, v := range config.Types() {
		gob.Register(v)
	}
}
