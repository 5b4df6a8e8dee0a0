// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package pack

import (
	"bytes"

	"github.com/pkg/errors"
)

// Step is one part of a record that is described by another one, its base:
// Length bytes of the base from From on, followed by New.
type Step struct {
	From   int    `cbor:"1,keyasint,omitempty"`
	Length int    `cbor:"2,keyasint,omitempty"`
	New    []byte `cbor:"3,keyasint,omitempty"`
}

// Diff returns the steps that lead from base to data. It compares whole pieces,
// which end where an object or a line of a document does, so a document in which
// a few objects changed gives a few steps.
func Diff(base, data []byte) []Step {
	at := map[string]int{}
	offset := 0
	for piece := range bytes.SplitAfterSeq(base, []byte{pieceEnd}) {
		at[string(piece)] = offset
		offset += len(piece)
	}
	var steps []Step
	for piece := range bytes.SplitAfterSeq(data, []byte{pieceEnd}) {
		steps = withPiece(steps, base, piece, at)
	}
	return steps
}

// pieceEnd ends an object of a JSON document.
const pieceEnd = '}'

// withPiece adds a piece to the last step where it goes on there, and begins a
// new step elsewhere.
func withPiece(steps []Step, base, piece []byte, at map[string]int) []Step {
	if last := len(steps) - 1; last >= 0 && len(steps[last].New) == 0 {
		end := steps[last].From + steps[last].Length
		if bytes.HasPrefix(base[end:], piece) {
			steps[last].Length += len(piece)
			return steps
		}
	}
	if from, ok := at[string(piece)]; ok {
		return append(steps, Step{From: from, Length: len(piece)})
	}
	if len(steps) == 0 {
		steps = append(steps, Step{})
	}
	last := len(steps) - 1
	steps[last].New = append(steps[last].New, piece...)
	return steps
}

// Patch returns the record that the steps lead to, or an error where they do
// not fit the base.
func Patch(base []byte, steps []Step) ([]byte, error) {
	size := 0
	for _, s := range steps {
		if s.From < 0 || s.Length < 0 || s.From > len(base) || s.Length > len(base)-s.From {
			return nil, errors.Errorf("patch: bytes %d to %d of a base of %d", s.From, s.From+s.Length, len(base))
		}
		size += s.Length + len(s.New)
	}
	if size > maxUnpacked {
		return nil, errors.New("patch: too large")
	}
	out := make([]byte, 0, size)
	for _, s := range steps {
		out = append(out, base[s.From:s.From+s.Length]...)
		out = append(out, s.New...)
	}
	return out, nil
}
