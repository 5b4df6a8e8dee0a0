// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package storage

import (
	"bytes"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// A list is a file beside the replicated log that holds a single frame and is replaced whole.

// writeList replaces a list and returns once it is synced.
func writeList(dir, name string, content any, wrap func(File) File) error {
	var b bytes.Buffer
	if err := appendFrame(&b, content); err != nil {
		return err
	}
	return writeWhole(filepath.Join(dir, name), b.Bytes(), wrap)
}

// readList reads a list into content, which stays as it is if there is no such file.
func readList(dir, name string, content any) error {
	data, err := os.ReadFile(filepath.Join(dir, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read "+name)
	}
	frame, _, whole := cutFrame(data)
	if !whole {
		return errors.Wrap(ErrDamaged, name)
	}
	if err := cbor.Unmarshal(frame, content); err != nil {
		return errors.Wrap(ErrDamaged, name+": "+err.Error())
	}
	return nil
}
