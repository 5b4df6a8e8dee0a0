// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package pack makes large values small before they travel or are stored:
// CBOR (RFC 8949) in DEFLATE (RFC 1951).
//
// # Usage
//
//	b := pack.Bytes(data)
//	data, err := pack.Unpack(b)
//
// Data below a threshold stays as it is, so that small records cost nothing.
package pack

import (
	"bytes"
	"compress/flate"

	"github.com/pkg/errors"
)

const (
	// threshold is the length from which data is compressed. Chosen, not measured.
	threshold = 1 << 10
	// maxUnpacked bounds what a packed record may grow to. Chosen, not measured.
	maxUnpacked = 64 << 20
	// plain and packed are the first byte of a record. Neither begins a CBOR
	// map or array, so records of older versions are told apart.
	plain  = 0x00
	packed = 0x01
)

// Bytes returns data as a record.
func Bytes(data []byte) []byte {
	if len(data) < threshold {
		return append([]byte{plain}, data...)
	}
	var b bytes.Buffer
	b.WriteByte(packed)
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(data)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		panic(errors.Wrap(err, "pack: write to memory"))
	}
	return b.Bytes()
}

// Unpack returns the data of a record; what is no record is returned as it is.
func Unpack(record []byte) ([]byte, error) {
	if len(record) == 0 {
		return record, nil
	}
	switch record[0] {
	case plain:
		return record[1:], nil
	case packed:
		return inflate(record[1:])
	}
	return record, nil
}

func inflate(data []byte) ([]byte, error) {
	var out bytes.Buffer
	_, err := out.ReadFrom(&bounded{r: flate.NewReader(bytes.NewReader(data))})
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	return out.Bytes(), nil
}

// reader is io.Reader; the core imports no I/O.
type reader interface{ Read(p []byte) (int, error) }

// bounded stops a record that grows too large.
type bounded struct {
	r    reader
	read int
}

// Read implements io.Reader.
func (b *bounded) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.read += n
	if b.read > maxUnpacked {
		return n, errors.New("too large")
	}
	return n, err // io.Reader must return io.EOF itself.
}
