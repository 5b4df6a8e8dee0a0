// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"io"

	"github.com/pkg/errors"
)

// errTooLong is the error of a response that exceeds a limit on its size.
var errTooLong = errors.New("response exceeds the size limit")

// limitedReader bounds the bytes that are read from a connection while a limit is set. The zero value reads without one.
type limitedReader struct {
	io.Reader
	limited   bool
	remaining int64
}

// set bounds the bytes read from now on.
func (r *limitedReader) set(n int64) { r.limited, r.remaining = true, n }

func (r *limitedReader) remove() { r.limited = false }

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.Reader.Read(p) //nolint:wrapcheck // io.Reader must return io.EOF itself.
	}
	if r.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := r.Reader.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err //nolint:wrapcheck // io.Reader must return io.EOF itself.
}
