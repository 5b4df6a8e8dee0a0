// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"strconv"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/routing"
)

// WireType is a message type with its name on the wire. The name precedes each message, so it
// is short. It must never change or be reused.
type WireType struct {
	Name  string
	Value any
}

// maxWireTypes is the initial capacity of the list.
const maxWireTypes = 64

// WireTypes returns all types that are sent inside an interface.
func WireTypes() []WireType {
	types := make([]WireType, 0, maxWireTypes)
	types = append(types, []WireType{
		{"r", Raft{}},
		{"g", PeerHeartbeat{}},
		{"a", RequestPermit{}},
		{"p", PermitReply{}},
		{"n", NotOwner{}},
		{"f", ReleasePermit{}},
		{"ap", AdoptPermits{}},
		{"ac", AdoptChats{}},
		{"fa", FetchAnswer{}},
		{"ao", AnswerOf{}},
		{"fo", Follow{}},
		{"ch", Changes{}},
		{"wc", WholeConfig{}},
		{"fw", ForwardWrite{}},
		{"wa", WriteAnswered{}},
		{"sy", Poll{}},
		{"sa", PollReply{}},
		{"jo", Join{}},
		{"fr", AwaitInForce{}},
		{"rq", ReadRequest{}},
		{"rr", ReadReply{}},
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
		{"re", RolloutEvidence{}},
		{"wq", RegistrationsRequest{}},
		{"wr", RegistrationsReply{}},
		{"sb", StreamsBegun{}},
		{"ps", PromptsSent{}},
		{"fp", FrequentPrefixes{}},
	}...)
	for i, v := range config.Types() {
		types = append(types, WireType{"c" + strconv.Itoa(i), v})
	}
	return types
}
