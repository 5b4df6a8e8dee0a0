// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package canary

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// wireVersion is the first byte of the wire format. The rest is CBOR (RFC 8949) in arrays.
	wireVersion = 1
	// maxCount bounds each count received, so that sums cannot overflow.
	maxCount = 1 << 32
)

var decoding = mustDecoding()

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: max(maxRollouts, maxBucket+1),
		MaxMapPairs:      16,
		MaxNestedLevels:  12,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(errors.Wrap(err, "canary: decoding options"))
	}
	return mode
}

// The wire types are encoded as arrays, so the order of their fields is part of the wire format.
type (
	wireRollout struct {
		_        struct{} `cbor:",toarray"`
		Order    uint64
		Old, New int
		Routes   []wireRoute
	}
	wireRoute struct {
		_        struct{} `cbor:",toarray"`
		Name     string
		Old, New wireCounts
	}
	wireCounts struct {
		_               struct{} `cbor:",toarray"`
		Answers, Failed int
		Paces           []bucket
	}
)

// Encode returns the evidence in its wire format; nil if it is empty.
func (e Evidence) Encode() []byte {
	if e.IsEmpty() {
		return nil
	}
	wire := make([]wireRollout, 0, len(e.rollouts))
	for _, r := range e.rollouts {
		w := r.total()
		routes := make([]wireRoute, 0, len(w.routes))
		for _, t := range w.routes {
			routes = append(routes, wireRoute{Name: t.name, Old: wireCountsOf(t.old), New: wireCountsOf(t.new)})
		}
		wire = append(wire, wireRollout{Order: r.order, Old: w.requests.old, New: w.requests.new, Routes: routes})
	}
	b, err := cbor.Marshal(wire)
	if err != nil {
		panic(errors.Wrap(err, "canary: encode"))
	}
	return append([]byte{wireVersion}, b...)
}

func wireCountsOf(c counts) wireCounts {
	return wireCounts{Answers: c.answers, Failed: c.failed, Paces: c.paces}
}

// Decode reads what Encode returned.
func Decode(b []byte) (Evidence, error) {
	if len(b) == 0 {
		return Evidence{}, nil
	}
	if b[0] != wireVersion {
		return Evidence{}, errors.Errorf("evidence: unknown version %d", b[0])
	}
	var wire []wireRollout
	if err := decoding.Unmarshal(b[1:], &wire); err != nil {
		return Evidence{}, errors.Wrap(err, "evidence")
	}
	var e Evidence
	for _, w := range wire {
		r, err := w.rollout()
		if err != nil {
			return Evidence{}, errors.Wrapf(err, "evidence: order %d", w.Order)
		}
		e.rollouts = append(e.rollouts, r)
	}
	if !isAscending(e.rollouts, rollout.compare) {
		return Evidence{}, errors.New("evidence: the orders do not ascend")
	}
	return e, nil
}

func (w wireRollout) rollout() (rollout, error) {
	r := rollout{order: w.Order, recent: window{requests: sides[int]{old: w.Old, new: w.New}}}
	if !isCount(w.Old) || !isCount(w.New) {
		return r, errors.New("a count is out of range")
	}
	for _, t := range w.Routes {
		if len(t.Name) > maxRouteLength {
			return r, errors.New("a route's name is too long")
		}
		old, err := t.Old.counts()
		if err != nil {
			return r, err
		}
		next, err := t.New.counts()
		if err != nil {
			return r, err
		}
		r.recent.routes = append(r.recent.routes, route{name: t.Name, sides: sides[counts]{old: old, new: next}})
	}
	if len(w.Routes) > maxRoutes+1 || !isAscending(r.recent.routes, route.compare) {
		return r, errors.New("the routes are too many or do not ascend")
	}
	return r, nil
}

func (w wireCounts) counts() (counts, error) {
	c := counts{answers: w.Answers, failed: w.Failed, paces: w.Paces}
	if !isCount(c.answers) || !isCount(c.failed) || c.failed > c.answers {
		return c, errors.New("a count is out of range")
	}
	for _, b := range c.paces {
		if b.Count == 0 || !isCount(b.Count) {
			return c, errors.New("a count of paces is out of range")
		}
	}
	if c.paces.count() > c.answers-c.failed || !isAscending(c.paces, bucket.compare) {
		return c, errors.New("the paces are more than the answers or do not ascend")
	}
	return c, nil
}

func isCount(n int) bool { return n >= 0 && n <= maxCount }

func isAscending[T any](list []T, compare func(a, b T) int) bool {
	return slices.IsSortedFunc(list, compare) &&
		len(slices.CompactFunc(slices.Clone(list), func(a, b T) bool { return compare(a, b) == 0 })) == len(list)
}
