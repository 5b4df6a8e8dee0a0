// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package operators

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/yardhall/yardhall/common/clock"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
)

// ReplicaChange asks for a change of the replicas.
type ReplicaChange struct {
	Host   ident.Host `json:"host"`
	Voter  bool       `json:"voter"`
	Remove bool       `json:"remove"`
}

// replica changes one member and waits until the leader shows it.
func (a *API) replica(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return fail(c, http.StatusBadRequest, "invalid", err.Error())
	}
	var r ReplicaChange
	if err := decode(body, &r); err != nil || r.Host == "" {
		return fail(c, http.StatusBadRequest, "invalid", "host is missing or the body is not valid")
	}
	s := a.deps.Core.State()
	if !s.Raft().LeaseHeld(clock.Now()) {
		return fail(c, http.StatusMisdirectedRequest, "not_leader", "ask the leader, "+string(s.Leader()))
	}
	a.deps.Core.Post(host.ReplicaChange{Member: raft.Member{ID: r.Host, Voter: r.Voter}, Remove: r.Remove})
	for deadline := time.Now().Add(writeLimit); time.Now().Before(deadline); time.Sleep(memberPoll) {
		if memberDone(a.deps.Core.State().Raft(), r) {
			return c.JSON(http.StatusOK, a.deps.Core.State().Dump(clock.Now()).Replica)
		}
	}
	return fail(c, http.StatusConflict, "not_done",
		"the change is not in force; a learner must catch up before it votes, and one change at a time is made")
}

const memberPoll = 50 * time.Millisecond

func memberDone(s raft.State, r ReplicaChange) bool {
	for _, m := range s.Members() {
		if m.ID == r.Host {
			return !r.Remove && m.Voter == r.Voter && s.MembersCommitted()
		}
	}
	return r.Remove && s.MembersCommitted()
}
