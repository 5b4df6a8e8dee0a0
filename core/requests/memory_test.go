// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/confirmation"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

const (
	// maxWorkerBytes is the live heap that a worker may take on a host that never used it, and
	// maxAllWorkersBytes that of the 10,000 workers of the largest fleet.
	maxWorkerBytes     = 160
	maxAllWorkersBytes = 2_000_000
)

// liveHeap returns the live heap that build's result takes.
func liveHeap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// largeFleet returns a host that knows n engines of five zones, reported by two hubs.
func largeFleet(n int) requests.State {
	s := requests.New(requests.Settings{Zone: "hall-a"}).WithRouteTable(config.RouteTable{
		Number: 1, Pools: []config.Pool{{ID: "pool", Engine: true, Moves: true}},
		Routes: []config.Route{{
			Host: "a.example", Prefix: "/x/", Kind: config.RouteStream, Timeout: config.Duration(time.Minute),
			Shares: []config.Share{{Pool: "pool", Weight: 1}}, MaxAttempts: 2, Public: true,
		}},
	})
	const batch = 128
	for from := 0; from < n; from += batch {
		var list []registry.Worker
		for i := from; i < min(n, from+batch); i++ {
			list = append(list, registry.Worker{
				ID: ident.Target(fmt.Sprintf("i-%08x", i*2654435761%(1<<32))), Pool: "pool", Zone: ident.Zone(fmt.Sprint("hall-", string(rune('a'+i%5)))),
				Address: fmt.Sprintf("10.%d.%d.%d:8682", i%5, i/250, i%250), Slots: 64, Seq: 7, Born: registry.Incarnation(1_778_033_126_000 + i),
				Version: ident.Version(fmt.Sprint("v", i%2)),
			})
		}
		s, _ = requests.Reduce(s, requests.Registered{From: ident.Host(fmt.Sprint("hub-", from/batch%2)), Workers: list}, start)
	}
	s, _ = requests.Reduce(s, requests.Confirmed{Confirmation: confirmation.At(start)}, start)
	return s
}

// TestUnusedWorkersTakeLittleMemory guards against a host's memory that grows with the fleet's
// targets: the 985 hosts of the largest fleet, with 1.2 KB for each of its 10,000 targets, needed more
// memory than the machine that they were tried on has.
func TestUnusedWorkersTakeLittleMemory(t *testing.T) {
	small := liveHeap(func() any { return largeFleet(1000) })
	large := liveHeap(func() any { return largeFleet(10000) })
	t.Logf("a worker takes %.0f bytes, 10,000 take %.0f", (large-small)/9000, large)
	require.LessOrEqual(t, (large-small)/9000, float64(maxWorkerBytes))
	require.LessOrEqual(t, large, float64(maxAllWorkersBytes))
}

// useAll sends a request to each engine, which fails, and returns the host later on.
func useAll(s requests.State, n int, later time.Duration) requests.State {
	for i := range n {
		id := ident.Request(fmt.Sprint("r", i))
		s, _ = requests.Reduce(s, requests.Arrived{Request: requests.Request{ID: id, Host: "a.example", Path: "/x/y", Prompt: requests.Prompt{
			Model: "m", Parts: []requests.Part{{ID: fmt.Sprint(i), Tokens: 9000}, {ID: "own", Tokens: 9}},
		}}}, start)
		s, _ = requests.Reduce(s, requests.AttemptEnded{Request: id, Attempt: 1, Result: outcome.Answered{Status: 500}, CallerWaiting: true}, start)
	}
	s, _ = requests.Reduce(s, requests.Registered{From: "hub-0"}, start.Add(later))
	return s
}

// TestFormerUseIsForgotten guards against what a host learned of workers taking memory long after it
// has stopped affecting decisions.
func TestFormerUseIsForgotten(t *testing.T) {
	const engines = 500
	unused := liveHeap(func() any { return largeFleet(engines) })
	used := liveHeap(func() any { return useAll(largeFleet(engines), 3*engines, time.Second) })
	later := liveHeap(func() any { return useAll(largeFleet(engines), 3*engines, 2*time.Minute) })
	t.Logf("unused %.0f bytes, used %.0f, later %.0f", unused, used, later)
	require.Less(t, (later-unused)/engines, float64(maxWorkerBytes))
}

// TestAllocationsOfADecisionDoNotGrow guards against a choice of an engine that copies the pool.
func TestAllocationsOfADecisionDoNotGrow(t *testing.T) {
	measure := func(engines int) (allocations, bytes float64) {
		s := largeFleet(engines)
		const n = 200
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range n {
			id := ident.Request(fmt.Sprint("r", i))
			s, _ = requests.Reduce(s, requests.Arrived{Request: requests.Request{ID: id, Host: "a.example", Path: "/x/y", Prompt: requests.Prompt{
				Model: "m", Parts: []requests.Part{{ID: fmt.Sprint(i), Tokens: 9000}, {ID: "own", Tokens: 9}},
			}}}, start)
		}
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(s)
		return float64(after.Mallocs-before.Mallocs) / n, float64(after.TotalAlloc-before.TotalAlloc) / n
	}
	few, fewBytes := measure(1000)
	many, manyBytes := measure(10000)
	t.Logf("1,000 engines: %.0f allocations, %.0f bytes; 10,000: %.0f, %.0f", few, fewBytes, many, manyBytes)
	require.LessOrEqual(t, many, few+5)
	// The list of pages is copied with each change: 24 bytes for each page of 32 to 64 engines.
	require.LessOrEqual(t, manyBytes, fewBytes+4*24*9000/32)
}
