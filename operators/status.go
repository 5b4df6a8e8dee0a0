// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package operators

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/yardhall/yardhall/common/clock"
	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/plan"
)

func (a *API) audit(c echo.Context) error {
	s := a.deps.Core.State()
	if !s.Raft().Active() {
		return fail(c, http.StatusMisdirectedRequest, "no_state", "this host keeps no replicated state; ask one of [replicas]")
	}
	trail := s.Catalog().Trail(c.QueryParam("object"))
	if trail == nil {
		trail = []catalog.Audit{}
	}
	return c.JSON(http.StatusOK, trail)
}

// backup gives the replicated state as a snapshot, from a leader only, so that
// it holds every acknowledged write.
func (a *API) backup(c echo.Context) error {
	s := a.deps.Core.State()
	if !s.Raft().LeaseHeld(clock.Now()) {
		return fail(c, http.StatusMisdirectedRequest, "not_leader", "ask the leader, "+string(s.Leader()))
	}
	return c.Blob(http.StatusOK, "application/cbor", s.Catalog().Encode())
}

// Status is the fleet as this host sees it.
type Status struct {
	Host    ident.Host     `json:"host"`
	Leader  ident.Host     `json:"leader"`
	Version config.Version `json:"version"`
	Ready   bool           `json:"ready"`
	// InForce is the lowest version that a live host runs.
	InForce  config.Version      `json:"in_force"`
	Hosts    []HostStatus        `json:"hosts"`
	Replicas []host.DumpMember   `json:"replicas,omitempty"`
	Plans    map[plan.Status]int `json:"plans,omitempty"`
}

// HostStatus is one host in a Status.
type HostStatus struct {
	Host    ident.Host     `json:"host"`
	Zone    ident.Zone     `json:"zone"`
	Alive   bool           `json:"alive"`
	Version config.Version `json:"version"`
}

func (a *API) status(c echo.Context) error {
	return c.JSON(http.StatusOK, StatusOf(a.deps.Core.State(), clock.Now()))
}

// StatusOf summarises the fleet as a process sees it.
func StatusOf(s host.State, now time.Time) Status {
	d := s.Dump(now)
	out := Status{Host: d.Host, Leader: d.Leader, Version: d.Version, Ready: d.Ready, InForce: d.Version}
	out.Hosts = append(out.Hosts, HostStatus{Host: d.Host, Zone: d.Zone, Alive: true, Version: d.Version})
	for _, p := range d.Peers {
		out.Hosts = append(out.Hosts, HostStatus{Host: p.Host, Zone: p.Zone, Alive: p.Alive, Version: p.Version})
		if p.Alive {
			out.InForce = min(out.InForce, p.Version)
		}
	}
	if d.Replica != nil {
		out.Replicas = d.Replica.Members
		out.Plans = map[plan.Status]int{}
		for _, p := range s.Catalog().Plans.All() {
			out.Plans[p.Status]++
		}
	}
	return out
}
