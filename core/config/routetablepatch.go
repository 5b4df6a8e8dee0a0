// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package config

import (
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/pack"
)

// RouteTablePatch is a route table, its source included, by what differs from another
// one. A change of a few routes of a large table is a small patch.
type RouteTablePatch struct {
	Delta  RouteTableDelta `json:"delta"`
	Source []pack.Step     `json:"source,omitempty"`
}

// PatchTo returns the patch that leads from t to next.
func (t RouteTable) PatchTo(next RouteTable) RouteTablePatch {
	return RouteTablePatch{Delta: t.DeltaTo(next), Source: pack.Diff(t.Source, next.Source)}
}

// WithPatch returns the table that p leads to, or an error where p does not
// begin at t.
func (t RouteTable) WithPatch(p RouteTablePatch) (RouteTable, error) {
	next, err := t.WithDelta(p.Delta)
	if err != nil {
		return t, err
	}
	next.Source, err = pack.Patch(t.Source, p.Source)
	return next, errors.Wrap(err, "source of the route table")
}
