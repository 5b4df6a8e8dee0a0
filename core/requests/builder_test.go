// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/confirmation"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

var start = time.Unix(9000, 0)

// table has one route of each kind, to a pool of plain workers or of engines.
func table() config.RouteTable {
	second := config.Duration(time.Second)
	to := func(pool ident.Service) []config.Share { return []config.Share{{Pool: pool, Weight: 1}} }
	return config.RouteTable{
		Number: 1,
		Pools:  []config.Pool{{ID: "plain"}, {ID: "engines", Engine: true, Moves: true}},
		Routes: []config.Route{
			{Name: "safe", Host: "a.example", Prefix: "/safe/", Kind: config.RouteSafe, Timeout: second, MaxAttempts: 3, Shares: to("plain")},
			{Name: "unsafe", Host: "a.example", Prefix: "/unsafe/", Kind: config.RouteUnsafe, Timeout: second, MaxAttempts: 2, Shares: to("plain")},
			{Name: "deeper", Host: "a.example", Prefix: "/safe/deeper/", Kind: config.RouteSafe, Timeout: second, MaxAttempts: 1, Shares: to("plain"), Public: true},
			{Name: "once", Host: "a.example", Prefix: "/once/", Kind: config.RouteStream, Timeout: second, MaxAttempts: 2, Shares: to("engines")},
			{Name: "resumable", Host: "a.example", Prefix: "/resumable/", Kind: config.RouteStream, Resumable: true, Timeout: second, MaxAttempts: 2, Shares: to("engines")},
		},
		Keys: []config.KeyOwner{{Account: "halls", KeyHashes: []string{"key"}, Rank: 4, Ranked: true}},
	}
}

func workers(pool ident.Service, n int) []registry.Worker {
	out := make([]registry.Worker, 0, n)
	for i := range n {
		out = append(out, registry.Worker{
			ID: ident.Target(fmt.Sprintf("%s-%d", pool, i)), Pool: pool, Zone: "z",
			Address: fmt.Sprintf("10.0.%d.%d:80", len(pool), i), Slots: 64, Seq: 1,
		})
	}
	return out
}

// ready returns a host with a confirmed route table and n workers in each pool.
func ready(n int) requests.State { return readyWith(requests.Settings{Zone: "z"}, n) }

// readyWith is like ready, with the given settings.
func readyWith(set requests.Settings, n int) requests.State {
	s := requests.New(set).WithRouteTable(table()).WithHostCount(1)
	s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: append(workers("plain", n), workers("engines", n)...)}, start)
	s, _ = requests.Reduce(s, requests.Confirmed{Confirmation: confirmation.At(start)}, start)
	return s
}

func request(id, path string) requests.Request {
	return requests.Request{ID: ident.Request(id), Host: "a.example", Path: path, KeyHash: "key"}
}

// only returns the one decision on a request, ignoring changes of workers.
func only(t require.TestingT, decisions []requests.Decision) requests.Decision {
	var out []requests.Decision
	for _, d := range decisions {
		if _, note := d.(requests.WorkerChanged); !note {
			out = append(out, d)
		}
	}
	require.Len(t, out, 1)
	return out[0]
}

func arrive(t require.TestingT, s requests.State, r requests.Request, now time.Time) (requests.State, requests.Decision) {
	s, d := requests.Reduce(s, requests.Arrived{Request: r}, now)
	return s, only(t, d)
}

func prompt(subject string) requests.Prompt {
	return requests.Prompt{Model: "m", Parts: []requests.Part{
		{ID: "system", Tokens: 500}, {ID: subject, Tokens: 10000}, {ID: "own", Tokens: 300},
	}}
}

// confirmedAt returns the host after a confirmation as of a time.
func confirmedAt(s requests.State, asOf time.Time) requests.State {
	s, _ = requests.Reduce(s, requests.Confirmed{Confirmation: confirmation.At(asOf)}, asOf)
	return s
}
