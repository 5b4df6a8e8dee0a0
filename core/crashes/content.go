// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package crashes

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// contentBytes is the length of a Content: half of a SHA-256 digest, enough that nobody can
// construct a collision with another caller's request.
const contentBytes = 16

// Content is a digest that identifies equal requests: those of one caller with the same method,
// host, path, query and body. Each arrival of such a request has its own id but the same Content.
// It is empty if unknown.
type Content string

// ContentOf returns the Content of a caller's request, which consists of the given parts; empty
// without parts.
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

// partBytes is the length of the Content of a part, by which it differs from that of a request.
const partBytes = 8

// ContentOfPart returns the Content that all requests share whose prompts for a model have a part in common.
func ContentOfPart(model, id string) Content {
	return ContentOf("part of a prompt", []byte(model), []byte(id))[:partBytes]
}

// IsPart reports whether the Content is that of a part of prompts.
func (c Content) IsPart() bool { return len(c) == partBytes }

// String returns the digest in hex, as it is logged.
func (c Content) String() string { return hex.EncodeToString([]byte(c)) }
