// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package operators

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/yardhall/yardhall/common/clock"
	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/plan"
)

// unusable are engines that this host knows to be down or leaving.
func (a *API) unusable() []ident.Target {
	var out []ident.Target
	for _, t := range a.deps.Core.State().Dump(clock.Now()).Targets {
		if !t.Usable {
			out = append(out, t.Target)
		}
	}
	return out
}

func (a *API) makePlan(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return fail(c, http.StatusBadRequest, "invalid", err.Error())
	}
	var in config.Intent
	if err := decode(body, &in); err != nil {
		return fail(c, http.StatusBadRequest, "invalid", err.Error())
	}
	return a.write(c, catalog.StateIntent{Intent: in, Unusable: a.unusable()})
}

// plansHere returns the plans; only hosts with the replicated state have them.
func (a *API) plansHere(c echo.Context) ([]plan.Plan, bool) {
	s := a.deps.Core.State()
	if !s.Raft().Active() {
		_ = fail(c, http.StatusMisdirectedRequest, "no_state", "this host keeps no replicated state; ask one of [replicas]")
		return nil, false
	}
	return s.Catalog().Plans.Values(), true
}

func (a *API) plans(c echo.Context) error {
	plans, ok := a.plansHere(c)
	if !ok {
		return nil
	}
	return c.JSON(http.StatusOK, plans)
}

func (a *API) plan(c echo.Context) error {
	plans, ok := a.plansHere(c)
	if !ok {
		return nil
	}
	for _, p := range plans {
		if string(p.ID) == c.Param("id") {
			c.Response().Header().Set("ETag", etag(config.Version(p.Rev)))
			return c.JSON(http.StatusOK, p)
		}
	}
	return fail(c, http.StatusNotFound, "not_found", "there is no such plan")
}

func (a *API) decide(c echo.Context) error {
	rev, guarded, err := readMatch(c)
	if err != nil || !guarded {
		return fail(c, http.StatusBadRequest, "invalid", "If-Match with the plan's ETag is needed")
	}
	return a.write(c, catalog.Decide{
		Plan: ident.Plan(c.Param("id")), Verb: catalog.Verb(c.Param("verb")), Rev: uint64(rev), Unusable: a.unusable(),
	})
}
