// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package keys makes, hashes and compares the keys of accounts, operators and
// hosts.
//
// # Usage
//
//	key := keys.New()
//	ok := keys.Matches(keys.Hash(key), hashes)
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// prefix marks a key as one of this product.
const prefix = "yh-"

// New returns a new random key.
func New() string { return prefix + rand.Text() }

// Hash returns the hex SHA-256 of a key, which is all that is ever stored.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Matches tells in constant time whether hash is one of known.
func Matches(hash string, known []string) bool {
	found := 0
	for _, k := range known {
		found |= subtle.ConstantTimeCompare([]byte(hash), []byte(k))
	}
	return found == 1
}

// Bearer returns the key of an Authorization header, or "".
func Bearer(header string) string {
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}
