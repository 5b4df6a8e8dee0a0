// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"iter"
	"slices"
)

// maxPageSize is the number of items above which a page is split. Each change copies a page and the
// list of pages.
const maxPageSize = 64

// pagedList is an ordered list in pages without spare capacity. It is immutable; the zero value is
// empty. Items are found by a comparison of an item with what is sought: below 0 if the item comes
// before it, 0 if it is the one.
type pagedList[T any] struct {
	pages [][]T
	size  int
}

// Len returns the number of items.
func (l pagedList[T]) Len() int { return l.size }

// All yields the items in order. They must not be changed.
func (l pagedList[T]) All() iter.Seq[*T] {
	return func(yield func(*T) bool) {
		for _, page := range l.pages {
			for i := range page {
				if !yield(&page[i]) {
					return
				}
			}
		}
	}
}

// From yields the items in order that do not come before what is sought.
func (l pagedList[T]) From(compare func(*T) int) iter.Seq[*T] {
	return func(yield func(*T) bool) {
		page, place, _ := l.find(compare)
		for ; page < len(l.pages); page, place = page+1, 0 {
			for i := place; i < len(l.pages[page]); i++ {
				if !yield(&l.pages[page][i]) {
					return
				}
			}
		}
	}
}

// Get returns the item sought, or nil.
func (l pagedList[T]) Get(compare func(*T) int) *T {
	page, place, found := l.find(compare)
	if !found {
		return nil
	}
	return &l.pages[page][place]
}

// find returns the page that holds an item or is where to add it, and its place there.
func (l pagedList[T]) find(compare func(*T) int) (page, place int, found bool) {
	if len(l.pages) == 0 {
		return 0, 0, false
	}
	page, found = slices.BinarySearchFunc(l.pages, compare, func(p []T, by func(*T) int) int { return by(&p[0]) })
	if found {
		return page, 0, true
	}
	page = max(0, page-1)
	place, found = searchPage(l.pages[page], compare)
	return page, place, found
}

// searchPage returns the place of an item in a page, or where to add it.
func searchPage[T any](page []T, compare func(*T) int) (place int, found bool) {
	low, high := 0, len(page)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if compare(&page[middle]) < 0 {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low, low < len(page) && compare(&page[low]) == 0
}

// With returns the list with an item added or replaced.
func (l pagedList[T]) With(item T, compare func(*T) int) pagedList[T] {
	page, place, found := l.find(compare)
	l.pages = slices.Clone(l.pages)
	if len(l.pages) == 0 {
		l.pages = [][]T{nil}
	}
	old := l.pages[page]
	if found {
		l.pages[page] = exactClone(old)
		l.pages[page][place] = item
		return l
	}
	l.size++
	changed := make([]T, 0, len(old)+1)
	changed = append(append(append(changed, old[:place]...), item), old[place:]...)
	l.pages[page] = changed
	if half := len(changed) / 2; len(changed) > maxPageSize {
		l.pages[page] = exactClone(changed[:half])
		l.pages = slices.Insert(l.pages, page+1, exactClone(changed[half:]))
	}
	return l
}

// Without returns the list without an item.
func (l pagedList[T]) Without(compare func(*T) int) pagedList[T] {
	page, place, found := l.find(compare)
	if !found {
		return l
	}
	l.size--
	l.pages = slices.Clone(l.pages)
	old := l.pages[page]
	if len(old) == 1 {
		l.pages = slices.Delete(l.pages, page, page+1)
		return l
	}
	changed := make([]T, 0, len(old)-1)
	l.pages[page] = append(append(changed, old[:place]...), old[place+1:]...)
	return l
}

// exactClone copies a page without spare capacity.
func exactClone[T any](page []T) []T { return append(make([]T, 0, len(page)), page...) }
