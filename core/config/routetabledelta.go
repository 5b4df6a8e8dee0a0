// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package config

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/pack"
)

// RouteTableDelta leads from one route table to another. Sources are left out:
// only hosts that keep the replicated state hold them.
type RouteTableDelta struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Put are routes that are new or changed, Drop the places without one.
	Put  []Route    `json:"put,omitempty"`
	Drop []RouteKey `json:"drop,omitempty"`
	// Keys are key owners that are new or changed, DropKeys accounts without keys.
	Keys     []KeyOwner      `json:"keys,omitempty"`
	DropKeys []ident.Account `json:"drop_keys,omitempty"`
	// Pools and Limits are whole.
	Pools  []Pool `json:"pools,omitempty"`
	Limits Limits `json:"limits"`
}

// RouteKey is where a route stands; no two routes share one.
type RouteKey struct {
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
}

func routeKeyOf(r Route) RouteKey { return RouteKey{Host: r.Host, Prefix: r.Prefix} }

// DeltaTo returns what leads from t to next.
func (t RouteTable) DeltaTo(next RouteTable) RouteTableDelta {
	d := RouteTableDelta{From: t.Number, To: next.Number, Pools: next.Pools, Limits: next.Limits}
	d.Put, d.Drop = changed(t.Routes, next.Routes, routeKeyOf, Route.equal)
	d.Keys, d.DropKeys = changed(t.Keys, next.Keys, accountOf, KeyOwner.equal)
	return d
}

func accountOf(o KeyOwner) ident.Account { return o.Account }

// equal compares two routes field by field.
func (r Route) equal(other Route) bool {
	if !slices.Equal(r.Shares, other.Shares) {
		return false
	}
	return r.Name == other.Name && routeKeyOf(r) == routeKeyOf(other) && r.Kind == other.Kind &&
		r.Timeout == other.Timeout && r.Objective == other.Objective && r.MaxPause == other.MaxPause &&
		r.Rank == other.Rank && r.MaxAttempts == other.MaxAttempts &&
		r.Public == other.Public && r.Affine == other.Affine && r.Resumable == other.Resumable
}

// equal compares two key owners field by field.
func (o KeyOwner) equal(other KeyOwner) bool {
	return o.Account == other.Account && o.Rank == other.Rank && o.Ranked == other.Ranked &&
		slices.Equal(o.KeyHashes, other.KeyHashes)
}

// changed returns the items of next whose key has other items than in before, and the keys that next no
// longer has. Several items may share a key, as an account may be listed more than once.
func changed[T any, K comparable](before, next []T, key func(T) K, equal func(a, b T) bool) (put []T, drop []K) {
	old, held := grouped(before, key), grouped(next, key)
	for _, item := range next {
		k := key(item)
		if !slices.EqualFunc(old[k], held[k], equal) {
			put = append(put, item)
		}
	}
	for _, item := range before {
		k := key(item)
		if _, stays := held[k]; !stays {
			drop = append(drop, k)
			held[k] = nil // Each key is dropped once.
		}
	}
	return put, drop
}

// grouped returns the items of each key, in their order.
func grouped[T any, K comparable](items []T, key func(T) K) map[K][]T {
	out := make(map[K][]T, len(items))
	for _, item := range items {
		out[key(item)] = append(out[key(item)], item)
	}
	return out
}

// WithDelta returns the table that d leads to, or an error where d does not
// begin at t.
func (t RouteTable) WithDelta(d RouteTableDelta) (RouteTable, error) {
	if d.From != t.Number {
		return t, errors.Errorf("route table: a delta from %d does not fit %d", d.From, t.Number)
	}
	next := RouteTable{Number: d.To, Pools: d.Pools, Limits: d.Limits}
	next.Routes = applied(t.Routes, d.Put, d.Drop, routeKeyOf)
	next.Keys = applied(t.Keys, d.Keys, d.DropKeys, accountOf)
	return next, nil
}

func applied[T any, K comparable](before, put []T, drop []K, key func(T) K) []T {
	gone := make(map[K]bool, len(put)+len(drop))
	for _, k := range drop {
		gone[k] = true
	}
	for _, item := range put {
		gone[key(item)] = true
	}
	out := make([]T, 0, len(before)+len(put))
	for _, item := range before {
		if !gone[key(item)] {
			out = append(out, item)
		}
	}
	return append(out, put...)
}

// Packed returns the delta as it travels.
func (d RouteTableDelta) Packed() []byte {
	b, err := cbor.Marshal(d)
	if err != nil {
		panic(errors.Wrap(err, "config: encode a delta"))
	}
	return pack.Bytes(b)
}

// UnpackRouteTableDelta reads what Packed returned.
func UnpackRouteTableDelta(record []byte) (RouteTableDelta, error) {
	var d RouteTableDelta
	b, err := pack.Unpack(record)
	if err != nil {
		return d, errors.Wrap(err, "route table delta")
	}
	return d, errors.Wrap(cbor.Unmarshal(b, &d), "route table delta")
}
