// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package hash gives the hashes that all hosts must agree on: chat keys and
// weighted rendezvous order (Thaler and Ravishankar, 1998).
//
// # Usage
//
//	owner, ok := hash.Best(key, hosts, func(h ident.Host) string { return string(h) })
package hash

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Key is a 64-bit hash that identifies a chat or a group.
type Key uint64

// Of returns the hash of parts, with their borders kept apart.
func Of(parts ...string) Key {
	var d xxhash.Digest
	d.Reset()
	var size [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(size[:], uint64(len(p)))
		_, _ = d.Write(size[:])
		_, _ = d.WriteString(p)
	}
	return Key(d.Sum64())
}

// Mix joins a key with a second one, as the rendezvous score of the pair.
func Mix(a, b Key) uint64 {
	x := uint64(a) ^ (uint64(b) * mixOdd)
	x ^= x >> 32
	x *= mixOdd2
	x ^= x >> 29
	x *= mixOdd
	x ^= x >> 32
	return x
}

// Odd multipliers of the finaliser of SplitMix64 (Steele and others, 2014).
const (
	mixOdd  = 0xbf58476d1ce4e5b9
	mixOdd2 = 0x94d049bb133111eb
)

// Weighted returns the weighted rendezvous score of a pair: the highest wins,
// with probability in proportion to weight.
func Weighted(a, b Key, weight float64) float64 {
	const unit = 1.0 / (1 << 53)
	u := (float64(Mix(a, b)>>11) + 0.5) * unit
	return -weight / math.Log(u)
}

// Best returns the item with the highest score for key.
func Best[T any](key Key, items []T, name func(T) string) (T, bool) {
	var best T
	var top uint64
	found := false
	for _, it := range items {
		if s := Mix(key, Of(name(it))); !found || s > top {
			best, top, found = it, s, true
		}
	}
	return best, found
}
