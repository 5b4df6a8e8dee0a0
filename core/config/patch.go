// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package config

import (
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/pack"
)

// GatewayPatch is a route table, its source included, told by what differs from
// another one. A change of a few routes of a large table is a small patch.
type GatewayPatch struct {
	Delta  GatewayDelta `json:"delta"`
	Source []pack.Step  `json:"source,omitempty"`
}

// PatchTo returns the patch that leads from g to next.
func (g Gateway) PatchTo(next Gateway) GatewayPatch {
	return GatewayPatch{Delta: g.DeltaTo(next), Source: pack.Diff(g.Source, next.Source)}
}

// WithPatch returns the table that p leads to, or an error where p does not
// begin at g.
func (g Gateway) WithPatch(p GatewayPatch) (Gateway, error) {
	next, err := g.WithDelta(p.Delta)
	if err != nil {
		return g, err
	}
	next.Source, err = pack.Patch(g.Source, p.Source)
	return next, errors.Wrap(err, "source of the route table")
}
