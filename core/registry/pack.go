// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package registry

import (
	"unique"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/pack"
)

// Pack returns workers as they travel; nil for none.
func Pack(workers []Worker) []byte {
	if len(workers) == 0 {
		return nil
	}
	b, err := cbor.Marshal(workers)
	if err != nil {
		panic(errors.Wrap(err, "registry: encode workers"))
	}
	return pack.Bytes(b)
}

// Unpack reads what Pack returned.
func Unpack(record []byte) ([]Worker, error) {
	if len(record) == 0 {
		return nil, nil
	}
	b, err := pack.Unpack(record)
	if err != nil {
		return nil, errors.Wrap(err, "workers")
	}
	var out []Worker
	if err := cbor.Unmarshal(b, &out); err != nil {
		return out, errors.Wrap(err, "workers")
	}
	for i := range out {
		// Thousands of workers share a few pools, zones and versions.
		out[i].Pool, out[i].Zone, out[i].Version = shared(out[i].Pool), shared(out[i].Zone), shared(out[i].Version)
	}
	return out, nil
}

// shared returns the one copy of a string that is kept for all equal ones.
func shared[S ~string](s S) S { return S(unique.Make(string(s)).Value()) }
