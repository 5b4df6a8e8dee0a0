// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package config

import (
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/pack"
)

// RouteTable is the route table of the fleet: one document that an operator puts
// in force whole, under a number of its own. The highest number prevails. The
// zero value routes nothing.
type RouteTable struct {
	// Number is the operator's number of the document; 0 where none was taken.
	Number uint64  `json:"number"`
	Routes []Route `json:"routes,omitempty"`
	Pools  []Pool  `json:"pools,omitempty"`
	Limits Limits  `json:"limits"`
	// Keys are the accounts with their keys. If there is no account, no route needs a key; if no account
	// holds a key, only public routes can be used.
	Keys []KeyOwner `json:"keys,omitempty"`
	// Source is the document as the operator sent it, given back on a read.
	Source []byte `json:"source,omitempty"`
}

// RouteKind says what may be repeated on a route.
type RouteKind string

// Kinds of route.
const (
	// RouteSafe calls may run more than once.
	RouteSafe RouteKind = "safe"
	// RouteUnsafe calls run at most once.
	RouteUnsafe RouteKind = "unsafe"
	// RouteStream calls answer with a stream of events; they run at most once
	// unless the route is Resumable.
	RouteStream RouteKind = "stream"
)

// Route maps requests of a host name and path prefix to worker pools.
type Route struct {
	Name   string    `json:"name,omitempty"`
	Host   string    `json:"host"`
	Prefix string    `json:"prefix"`
	Kind   RouteKind `json:"kind"`
	// Timeout is the longest time that a request is held.
	Timeout Duration `json:"timeout"`
	// Objective is the time to the answer, or to the first event of a stream,
	// within which the answer has its full worth.
	Objective Duration `json:"objective,omitempty"`
	// MaxPause is the longest pause between events that keeps a stream in time.
	MaxPause Duration `json:"max_pause,omitempty"`
	// Rank is the priority; 0 goes first.
	Rank int `json:"rank"`
	// Shares divide the requests over pools.
	Shares []Share `json:"shares"`
	// MaxAttempts bounds the workers that one request may be sent to.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
	// Affine routes carry prompts whose prefixes are worth keeping together.
	Affine bool `json:"affine,omitempty"`
	// Resumable streams may go on at another worker after a known event.
	Resumable bool `json:"resumable,omitempty"`
}

// Repeatable tells whether a request of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// Share is a pool's part of a route.
type Share struct {
	Pool   ident.Service `json:"pool"`
	Weight int           `json:"weight"`
}

// Pool is a set of workers that register themselves.
type Pool struct {
	ID ident.Service `json:"id"`
	// MaxConns is how many connections one worker takes from all callers.
	MaxConns int `json:"max_conns,omitempty"`
	// Engine is true where workers run batches and keep prompt prefixes.
	Engine bool `json:"engine,omitempty"`
	// CacheTokens is the memory of one engine, in tokens.
	CacheTokens int `json:"cache_tokens,omitempty"`
	// Moves is true where engines take prefixes over from each other.
	Moves bool `json:"moves,omitempty"`
	// ColdPerSecond is how many requests a second a cold worker bears, from all hosts; 0 is
	// no bound.
	ColdPerSecond float64 `json:"cold_per_second,omitempty"`
}

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	MaxHeaderBytes int      `json:"max_header_bytes,omitempty"`
	MaxBodyBytes   int64    `json:"max_body_bytes,omitempty"`
	HeaderTimeout  Duration `json:"header_timeout,omitempty"`
	IdleTimeout    Duration `json:"idle_timeout,omitempty"`
}

// KeyOwner is an account with the keys that it holds.
type KeyOwner struct {
	Account ident.Account `json:"account"`
	// KeyHashes are the hex SHA-256 of its keys.
	KeyHashes []string `json:"key_hashes,omitempty"`
	// Rank takes precedence over the route's where Ranked is set.
	Rank   int  `json:"rank,omitempty"`
	Ranked bool `json:"ranked,omitempty"`
}

// Check returns what is wrong with the document, or nil.
func (t RouteTable) Check() error {
	if t.Number == 0 {
		return errors.New("route table: number must be 1 or more")
	}
	pools := map[ident.Service]bool{}
	for _, p := range t.Pools {
		if p.ID == "" {
			return errors.New("route table: pool without an id")
		}
		pools[p.ID] = true
	}
	taken := map[string]bool{}
	for _, r := range t.Routes {
		if err := r.check(pools); err != nil {
			return err
		}
		if taken[r.key()] {
			return errors.Errorf("route %q: %s%s is taken by another route", r.Name, r.Host, r.Prefix)
		}
		taken[r.key()] = true
	}
	return t.checkKeys()
}

func (r Route) key() string { return strings.ToLower(r.Host) + "\x00" + r.Prefix }

func (r Route) check(pools map[ident.Service]bool) error {
	if !slices.Contains([]RouteKind{RouteSafe, RouteUnsafe, RouteStream}, r.Kind) {
		return errors.Errorf("route %q: kind %q is not safe, unsafe or stream", r.Name, r.Kind)
	}
	if r.Host == "" || r.Prefix == "" {
		return errors.Errorf("route %q: needs a host and a path prefix", r.Name)
	}
	if r.Timeout <= 0 {
		return errors.Errorf("route %q: timeout must be above 0", r.Name)
	}
	total := 0
	for _, s := range r.Shares {
		if !pools[s.Pool] {
			return errors.Errorf("route %q: no pool %q", r.Name, s.Pool)
		}
		if s.Weight < 0 {
			return errors.Errorf("route %q: weight of %q must not be negative", r.Name, s.Pool)
		}
		total += s.Weight
	}
	if total == 0 {
		return errors.Errorf("route %q: weights sum to 0", r.Name)
	}
	return nil
}

func (t RouteTable) checkKeys() error {
	owners := map[string]ident.Account{}
	for _, o := range t.Keys {
		if o.Account == "" {
			return errors.New("route table: keys without an account")
		}
		for _, key := range o.KeyHashes {
			if other, ok := owners[key]; ok && other != o.Account {
				return errors.Errorf("accounts %q and %q share a key", other, o.Account)
			}
			owners[key] = o.Account
		}
	}
	return nil
}

// noAccount and noKeyHash are the entry of a table that needs keys and holds none. No key has this hash.
const (
	noAccount ident.Account = "-"
	noKeyHash string        = "-"
)

// WithKeysRequired returns the table in which all routes that are not public need a key, also if no account
// holds one. It then adds an entry with a key that nobody has: encoders leave an empty list of accounts out,
// and hosts of earlier versions look for hashes of keys alone.
func (t RouteTable) WithKeysRequired() RouteTable {
	if slices.ContainsFunc(t.Keys, func(o KeyOwner) bool { return len(o.KeyHashes) > 0 }) {
		return t
	}
	t.Keys = append(slices.Clone(t.Keys), KeyOwner{Account: noAccount, KeyHashes: []string{noKeyHash}})
	return t
}

// WithoutSource returns the document as hosts need it that only route.
func (t RouteTable) WithoutSource() RouteTable {
	t.Source = nil
	return t
}

// Packed returns the document as it travels to hosts that only route.
func (t RouteTable) Packed() []byte {
	b, err := cbor.Marshal(t.WithoutSource())
	if err != nil {
		panic(errors.Wrap(err, "config: encode a route table"))
	}
	return pack.Bytes(b)
}

// UnpackRouteTable reads what Packed returned.
func UnpackRouteTable(record []byte) (RouteTable, error) {
	var t RouteTable
	b, err := pack.Unpack(record)
	if err != nil {
		return t, errors.Wrap(err, "route table")
	}
	return t, errors.Wrap(cbor.Unmarshal(b, &t), "route table")
}
