// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/rollouts"
	"github.com/yardhall/yardhall/core/zones"
)

// TestWriteThatCannotBeDecodedIsRefused guards against a committed write that no replica can decode, at which each
// replica that leads stops at each start. It is submitted at the leader, whose own writes are not decoded before
// they are logged, and at a follower.
func TestWriteThatCannotBeDecodedIsRefused(t *testing.T) {
	const notUTF8 = "hall-\xe4"
	table := newSeededFleet(t, 1, 1).table(3, "k")
	table.Routes[0].Name = notUTF8
	commands := map[string]catalog.Command{
		"zone":    catalog.ChangeZone{Change: zones.Change{Zone: notUTF8, Drained: true}},
		"rollout": catalog.OrderRollout{Order: rollouts.Order{Service: notUTF8, To: "v2", Duration: time.Minute}},
		"account": catalog.Edit{Change: config.PutAccount{Account: config.Account{ID: notUTF8}}},
		"table":   catalog.Edit{Change: config.PutRouteTable{Gateway: table}},
	}
	for name, command := range commands {
		t.Run(name, func(t *testing.T) {
			f := newSeededFleetWith(t, 3, 2, func(f *seededFleet) { f.rollouts = rollouts.Limits{Share: 0.1, Revert: time.Second} })
			f.run(8 * time.Second)
			require.True(t, f.putTable(f.leader(), f.table(1, "k"), 3*time.Second))
			for i, at := range []ident.Host{f.leader(), f.anyFollower()} {
				id := fmt.Sprint("bad-", i)
				f.reduce(at, host.WriteSubmitted{Write: catalog.Write{ID: id, Remember: true, Command: command}, Deadline: f.now.Add(4 * time.Second)})
				f.run(2 * time.Second)
				answer, answered := f.writes[id]
				require.True(t, answered)
				require.True(t, answer.Known)
				require.Equal(t, catalog.Invalid, answer.Result.Code, answer.Result.Reason)
			}
			require.True(t, f.putTable(f.leader(), f.table(2, "k"), 3*time.Second), "the log goes on")
		})
	}
}
