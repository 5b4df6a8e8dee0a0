// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package crashes

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// contentBytes is the length of a Content: half of a SHA-256, which nobody can bring
// another caller's request under.
const contentBytes = 16

// Content identifies requests that are the same: of one caller, with the same method, host,
// path, query and body. Each arrival of such a request has an id of its own, but the same
// Content. Empty where it is not known.
type Content string

// ContentOf returns the Content of a caller's request. Parts are what the request consists
// of; without any it is not known.
func ContentOf(caller string, parts ...[]byte) Content {
	if len(parts) == 0 {
		return ""
	}
	h := sha256.New()
	var size [8]byte
	for _, p := range append([][]byte{[]byte(caller)}, parts...) {
		binary.LittleEndian.PutUint64(size[:], uint64(len(p)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(p)
	}
	return Content(h.Sum(nil)[:contentBytes])
}

// String returns the content in hex, as logs show it.
func (c Content) String() string { return hex.EncodeToString([]byte(c)) }
