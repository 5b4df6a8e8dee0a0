// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package catalog

import "github.com/yardhall/yardhall/core/rollouts"

// Stubs until branch h-host is merged; drop this file then.
type (
	// OrderRollout orders a rollout.
	OrderRollout struct{ rollouts.Order }
	// RevertRollout reverts a rollout.
	RevertRollout struct{ rollouts.Revert }
)

func (OrderRollout) command()  {}
func (RevertRollout) command() {}
