// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import "github.com/yardhall/yardhall/core/rollouts"

// Stubs until branch h-host is merged; drop this file then.

// Rollouts returns the rollouts known to this host.
func (State) Rollouts() rollouts.State { return rollouts.State{} }

// RolloutsEnabled reports whether rollouts are enabled.
func (s State) RolloutsEnabled() bool { return s.settings.Rollouts.Share > 0 }
