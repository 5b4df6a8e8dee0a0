// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package config_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
)

func drawTable(t *rapid.T, number uint64) config.RouteTable {
	g := config.RouteTable{Number: number, Pools: []config.Pool{{ID: "p"}, {ID: "q"}}}
	for i := range 8 {
		if rapid.Bool().Draw(t, "route") {
			g.Routes = append(g.Routes, config.Route{
				Host: "a.example", Prefix: fmt.Sprintf("/%d/", i), Kind: config.RouteSafe,
				Timeout: config.Duration(time.Duration(rapid.IntRange(1, 3).Draw(t, "timeout")) * time.Second),
				Shares:  []config.Share{{Pool: "p", Weight: rapid.IntRange(1, 3).Draw(t, "weight")}},
			})
		}
		if rapid.Bool().Draw(t, "holder") {
			g.Keys = append(g.Keys, config.KeyOwner{
				Account:   ident.Account(fmt.Sprint("account-", i)),
				KeyHashes: []string{fmt.Sprint("key-", i, rapid.IntRange(0, 2).Draw(t, "key"))},
			})
		}
	}
	return g
}

// TestDeltaLeadsToTheSameTable draws two tables and travels from one to the
// other by a packed delta.
func TestDeltaLeadsToTheSameTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, next := drawTable(t, 1), drawTable(t, 2)
		d, err := config.UnpackRouteTableDelta(before.DeltaTo(next).Packed())
		require.NoError(t, err)
		got, err := before.WithDelta(d)
		require.NoError(t, err)
		require.ElementsMatch(t, next.Routes, got.Routes)
		require.ElementsMatch(t, next.Keys, got.Keys)
		require.Equal(t, next.Pools, got.Pools)
		require.EqualValues(t, 2, got.Number)
		_, err = next.WithDelta(d)
		require.Error(t, err, "a delta fits one table only")
	})
}

// TestSmallChangeOfALargeTableIsSmall changes one of 460 routes.
func TestSmallChangeOfALargeTableIsSmall(t *testing.T) {
	var g config.RouteTable
	for i := range 460 {
		g.Routes = append(g.Routes, config.Route{
			Name: fmt.Sprint("r-", i*7919), Host: fmt.Sprintf("h%d.example", i*104729), Prefix: fmt.Sprintf("/p%d/", i*1299709),
			Kind: config.RouteSafe, Timeout: config.Duration(time.Second), Shares: []config.Share{{Pool: "p", Weight: 1}},
		})
	}
	next := g
	next.Number = 1
	next.Routes = append([]config.Route(nil), g.Routes...)
	next.Routes[100].Timeout = config.Duration(2 * time.Second)
	require.Less(t, len(g.DeltaTo(next).Packed()), 400)
	require.Greater(t, len(next.Packed()), 4000)
}

func TestChecksOfARouteTable(t *testing.T) {
	good := func() config.RouteTable {
		return config.RouteTable{
			Number: 1, Pools: []config.Pool{{ID: "p"}},
			Routes: []config.Route{{Name: "r", Host: "a.example", Prefix: "/x/", Kind: config.RouteSafe, Timeout: config.Duration(time.Second), Shares: []config.Share{{Pool: "p", Weight: 1}}}},
			Keys:   []config.KeyOwner{{Account: "a", KeyHashes: []string{"k", "k"}}},
		}
	}
	require.NoError(t, good().Check())
	for name, spoil := range map[string]func(*config.RouteTable){
		"number":       func(g *config.RouteTable) { g.Number = 0 },
		"unknown pool": func(g *config.RouteTable) { g.Routes[0].Shares[0].Pool = "none" },
		"same place":   func(g *config.RouteTable) { g.Routes = append(g.Routes, g.Routes[0]) },
		"weights":      func(g *config.RouteTable) { g.Routes[0].Shares[0].Weight = 0 },
		"negative":     func(g *config.RouteTable) { g.Routes[0].Shares[0].Weight = -1 },
		"timeout":      func(g *config.RouteTable) { g.Routes[0].Timeout = 0 },
		"kind":         func(g *config.RouteTable) { g.Routes[0].Kind = "none" },
		"shared key": func(g *config.RouteTable) {
			g.Keys = append(g.Keys, config.KeyOwner{Account: "b", KeyHashes: []string{"k"}})
		},
	} {
		g := good()
		spoil(&g)
		require.Error(t, g.Check(), name)
	}
}

// TestEveryFieldOfARouteCounts changes each field in turn: a delta must carry it.
func TestEveryFieldOfARouteCounts(t *testing.T) {
	base := config.Route{Name: "r", Host: "a", Prefix: "/x/", Kind: config.RouteSafe, Shares: []config.Share{{Pool: "p", Weight: 1}}}
	value := reflect.ValueOf(&base).Elem()
	for i := range value.NumField() {
		changed := base
		field := reflect.ValueOf(&changed).Elem().Field(i)
		switch field.Kind() {
		case reflect.String:
			field.SetString(field.String() + "2")
		case reflect.Int, reflect.Int64:
			field.SetInt(field.Int() + 1)
		case reflect.Bool:
			field.SetBool(!field.Bool())
		case reflect.Slice:
			changed.Shares = []config.Share{{Pool: "p", Weight: 2}}
		default:
			t.Fatalf("field %s of an unknown kind", value.Type().Field(i).Name)
		}
		d := config.RouteTable{Routes: []config.Route{base}}.DeltaTo(config.RouteTable{Routes: []config.Route{changed}})
		require.Len(t, d.Put, 1, value.Type().Field(i).Name)
	}
}
