// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/pack"
	"github.com/yardhall/yardhall/core/rollouts"
)

// rolloutCatalog returns a catalog whose route table has the service "pool", and an order for it.
func rolloutCatalog(t *testing.T) (Catalog, OrderRollout) {
	table := config.RouteTable{Number: 1, Pools: []config.Pool{{ID: "pool"}}}
	c, r := Catalog{}.Apply(Write{At: time.Unix(1000, 0), Command: Edit{Change: config.PutRouteTable{Gateway: table}}})
	require.Equal(t, OK, r.Code)
	return c, OrderRollout{Order: rollouts.Order{Service: "pool", To: "v2", Duration: 12 * time.Second}}
}

// TestRolloutIsKeptAndAudited guards against a rollout that a snapshot or a new route table loses,
// and against an audit trail without its order and end.
func TestRolloutIsKeptAndAudited(t *testing.T) {
	c, order := rolloutCatalog(t)
	c, r := c.Apply(Write{Command: order})
	require.Equal(t, Result{Code: OK, Version: 1, Rollouts: 1}, r)
	c, _ = c.Apply(Write{Command: Edit{Change: config.PutRouteTable{Gateway: config.RouteTable{Number: 3}}}})
	c, err := Decode(c.Encode())
	require.NoError(t, err)
	_, r = c.Apply(Write{Command: AdvanceRollout{Progress: rollouts.Progress{Service: "pool", Order: 7, Phase: rollouts.Complete}}})
	require.Equal(t, Conflict, r.Code, "it is of another rollout")
	end := AdvanceRollout{Progress: rollouts.Progress{Service: "pool", Order: 1, Phase: rollouts.Reverted, Reason: "failed answers"}}
	c, r = c.Apply(Write{At: time.Unix(1009, 0), Command: end})
	require.Equal(t, OK, r.Code)
	e, _ := c.Rollouts.Of("pool")
	require.Equal(t, time.Unix(1009, 0), e.Rollout.EndedAt, "the time of the log")
	trail := c.Trail("rollout/pool")
	require.Len(t, trail, 2)
	require.Equal(t, []string{"OrderRollout", "EndRollout"}, []string{trail[0].Action, trail[1].Action})
}

// TestEarlierReplicasPassOverRollouts guards against log records that stop a replica of an earlier
// version, or that are decoded as another command than was written.
func TestEarlierReplicasPassOverRollouts(t *testing.T) {
	c, order := rolloutCatalog(t)
	for _, command := range []Command{
		order,
		AdvanceRollout{Progress: rollouts.Progress{Service: "pool", Order: 1}},
		AdoptVersion{Adoption: rollouts.Adoption{Service: "pool", Version: "v1"}},
		RevertRollout{Revert: rollouts.Revert{Service: "pool"}},
	} {
		w := Write{ID: "w", Command: command}
		decoded, err := DecodeWrite(w.Encode())
		require.NoError(t, err)
		require.Equal(t, w, decoded)
		data, err := pack.Unpack(w.Encode())
		require.NoError(t, err)
		var earlier Write
		require.NoError(t, modes.dec.Unmarshal(data, &earlier))
		earlier.Command = byValue(earlier.Command)
		after, r := c.Apply(earlier)
		require.Equal(t, NotFound, r.Code)
		require.Equal(t, c, after)
	}
}
