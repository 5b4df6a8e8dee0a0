// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package registry

import (
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
	return out, errors.Wrap(cbor.Unmarshal(b, &out), "workers")
}
