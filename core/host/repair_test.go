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
)

// TestLostEngineIsReplacedOnceButNotALostZone guards against replacing a lost engine more than
// once, and against a storm of loads when a whole zone is unreachable.
func TestLostEngineIsReplacedOnceButNotALostZone(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	feed := newReplicaFeed(t, &now)
	id := 0
	write := func(cmd catalog.Command) catalog.Result {
		id++
		for _, e := range feed(host.WriteSubmitted{Deadline: now.Add(time.Minute), Write: catalog.Write{ID: fmt.Sprint("w", id), Command: cmd}}) {
			if a, ok := e.(host.AnswerWrite); ok {
				require.Equal(t, catalog.OK, a.Result.Code, a.Result.Reason)
				return a.Result
			}
		}
		t.Fatal("no answer")
		return catalog.Result{}
	}
	edit := func(ch config.Change) { write(catalog.Edit{Change: ch}) }
	edit(config.PutService{Service: config.Service{ID: service, Kind: config.KindEngine, Multiple: 1.5, LoadBytesPerSecond: 10}})
	edit(config.PutModel{Model: config.Model{ID: model, Service: service, WeightBytes: 20}})
	for i := range 8 {
		edit(config.PutTarget{Target: config.Target{
			ID: ident.Target(fmt.Sprintf("e%d", i)), Service: service, Zone: zone(i % 2), Address: "127.0.0.1:1", Slots: 4, ChecksFence: true,
		}})
	}
	in := config.Intent{ID: "i", Service: service, Model: model, Replicas: []config.ZoneReplicas{{Zone: zone(0), Count: 1}, {Zone: zone(1), Count: 1}}}
	made := write(catalog.StateIntent{Intent: in})
	write(catalog.Decide{Plan: made.Plan, Verb: catalog.Confirm, Rev: 1})

	var orders []host.Order
	counter := uint64(0)
	pass := func(d time.Duration, lost ...ident.Target) {
		for until := now.Add(d); now.Before(until); {
			now = now.Add(tickInterval)
			counter++
			feed(host.MessageReceived{From: "h", Message: host.PeerHeartbeat{Beat: host.Heartbeat{Host: "h", Counter: counter, Lost: lost}}})
			for _, e := range feed(host.Tick{}) {
				if o, ok := e.(host.SendOrder); ok {
					orders = append(orders, o.Order)
					feed(host.OrderEnded{Order: o.Order, OK: true})
				}
			}
		}
	}
	pass(1500 * time.Millisecond)
	require.Len(t, orders, 1, "the weight store takes 2 s to send 20 bytes")
	pass(3500 * time.Millisecond)
	require.Len(t, orders, 2)
	first := orders[0].Target.ID
	pass(10*time.Second, first)
	require.Len(t, orders, 3, "replaced once")
	require.Equal(t, zone(0), orders[2].Target.Zone)
	require.NotEqual(t, first, orders[2].Target.ID)
	require.Greater(t, orders[2].Token, orders[1].Token)
	pass(5*time.Minute, first)
	require.Len(t, orders, 3, "the lost engine was replaced again")
	pass(5*time.Minute, first, "e1", "e3", "e5", "e7")
	require.Len(t, orders, 3, "an unreachable zone must not cause loads")
}

// TestNewLeaderDelaysOrdersToUnfencedTarget guards against two orders to an engine that checks no
// fencing tokens: a new leader must wait until no order of an earlier leader can arrive. An engine
// that checks tokens gets its order at once.
func TestNewLeaderDelaysOrdersToUnfencedTarget(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	feed := newReplicaFeed(t, &now)
	id := 0
	submit := func(cmd catalog.Command) {
		id++
		feed(host.WriteSubmitted{Deadline: now.Add(time.Minute), Write: catalog.Write{ID: fmt.Sprint("w", id), Command: cmd}})
	}
	submit(catalog.Edit{Change: config.PutService{Service: config.Service{ID: service, Kind: config.KindEngine, Multiple: 1.5}}})
	submit(catalog.Edit{Change: config.PutModel{Model: config.Model{ID: model, Service: service}}})
	for i, checks := range []bool{true, false} {
		submit(catalog.Edit{Change: config.PutTarget{Target: config.Target{
			ID: ident.Target(fmt.Sprintf("e%d", i)), Service: service, Zone: zone(i), Address: "127.0.0.1:1", Slots: 4, ChecksFence: checks,
		}}})
	}
	in := config.Intent{ID: "i", Service: service, Model: model, Replicas: []config.ZoneReplicas{{Zone: zone(0), Count: 1}, {Zone: zone(1), Count: 1}}}
	submit(catalog.StateIntent{Intent: in})
	submit(catalog.Decide{Plan: "plan-1", Verb: catalog.Confirm, Rev: 1})
	pass := func(d time.Duration) (orders []host.SendOrder) {
		for until := now.Add(d); now.Before(until); {
			now = now.Add(tickInterval)
			for _, e := range feed(host.Tick{}) {
				if o, ok := e.(host.SendOrder); ok {
					orders = append(orders, o)
					feed(host.OrderEnded{Order: o.Order, OK: true})
				}
			}
		}
		return orders
	}
	first := pass(time.Second)
	require.Len(t, first, 1)
	require.Equal(t, ident.Target("e0"), first[0].Order.Target.ID)
	later := pass(6 * time.Second)
	require.Len(t, later, 1)
	require.Equal(t, ident.Target("e1"), later[0].Order.Target.ID)
	require.True(t, later[0].ReadFirst, "the engine's state must be read first")
}
