// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package operators

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/zones"
)

// Zones says which availability zones are drained.
type Zones struct {
	// Revision counts the orders that changed a zone.
	Revision uint64       `json:"revision"`
	Drained  []ident.Zone `json:"drained"`
	// Orders are the newest ones by zone.
	Orders []ZoneOrder `json:"orders,omitempty"`
}

// ZoneOrder is the newest order for a zone.
type ZoneOrder struct {
	Zone     ident.Zone `json:"zone"`
	Drained  bool       `json:"drained"`
	Revision uint64     `json:"revision"`
}

// zones shows which zones are drained, as this host knows them.
func (a *API) zones(c echo.Context) error {
	held := a.deps.Core.State().DrainedZones()
	out := Zones{Revision: held.Revision, Drained: held.DrainedZones()}
	for _, o := range held.Orders {
		out.Orders = append(out.Orders, ZoneOrder{Zone: o.Zone, Drained: o.Drained, Revision: o.Revision})
	}
	return c.JSON(http.StatusOK, out)
}

// changeZone drains a zone or takes it back.
func (a *API) changeZone(c echo.Context, drained bool) error {
	if !a.deps.Core.State().Seeded() {
		return fail(c, http.StatusBadRequest, "invalid", "zones are drained in fleets with a route table only; use hand-over steps")
	}
	return a.write(c, catalog.ChangeZone{Change: zones.Change{Zone: ident.Zone(c.Param("zone")), Drained: drained}})
}
