// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package table gives the persistent ordered map that immutable state is made
// of. Changing a table leaves the old one as it was and shares most of it.
//
// # Usage
//
//	var t table.Table[string, int]
//	t = t.With("a", 1)
//	v, ok := t.Get("a")
package table

import (
	"cmp"
	"iter"

	"github.com/benbjohnson/immutable"
)

// Table is an immutable map in key order. The zero value is empty.
type Table[K cmp.Ordered, V any] struct{ m *immutable.SortedMap[K, V] }

// Get returns the value of k.
func (t Table[K, V]) Get(k K) (V, bool) {
	if t.m == nil {
		var zero V
		return zero, false
	}
	return t.m.Get(k)
}

// Has tells whether k is present.
func (t Table[K, V]) Has(k K) bool {
	_, ok := t.Get(k)
	return ok
}

// Len returns the number of keys.
func (t Table[K, V]) Len() int {
	if t.m == nil {
		return 0
	}
	return t.m.Len()
}

// With returns the table with k set to v.
func (t Table[K, V]) With(k K, v V) Table[K, V] {
	if t.m == nil {
		t.m = immutable.NewSortedMap[K, V](ordered[K]{})
	}
	return Table[K, V]{m: t.m.Set(k, v)}
}

// Without returns the table without k.
func (t Table[K, V]) Without(k K) Table[K, V] {
	if t.m == nil {
		return t
	}
	return Table[K, V]{m: t.m.Delete(k)}
}

// All walks the table in key order.
func (t Table[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if t.m != nil {
			walk(t.m.Iterator(), yield)
		}
	}
}

// From walks the table in key order, from k on. What stands before is not visited.
func (t Table[K, V]) From(k K) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if t.m != nil {
			it := t.m.Iterator()
			it.Seek(k)
			walk(it, yield)
		}
	}
}

func walk[K, V any](it *immutable.SortedMapIterator[K, V], yield func(K, V) bool) {
	for !it.Done() {
		k, v, _ := it.Next()
		if !yield(k, v) {
			return
		}
	}
}

// KeysAfter returns all keys in order, beginning with the one that follows k and
// going on from the first.
func (t Table[K, V]) KeysAfter(k K) []K {
	out := make([]K, 0, t.Len())
	for key := range t.From(k) {
		if key != k {
			out = append(out, key)
		}
	}
	for key := range t.All() {
		if key > k {
			break
		}
		out = append(out, key)
	}
	return out
}

// Values returns the values in key order.
func (t Table[K, V]) Values() []V {
	out := make([]V, 0, t.Len())
	for _, v := range t.All() {
		out = append(out, v)
	}
	return out
}

// First returns the smallest key and its value.
func (t Table[K, V]) First() (K, V, bool) {
	for k, v := range t.All() {
		return k, v, true
	}
	var k K
	var v V
	return k, v, false
}

type ordered[K cmp.Ordered] struct{}

// Compare implements immutable.Comparer.
func (ordered[K]) Compare(a, b K) int { return cmp.Compare(a, b) }
