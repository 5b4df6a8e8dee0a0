// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package crashes tells requests apart by what they contain, so that a request that comes
// again can be known again.
//
// # Usage
//
//	content := crashes.ContentOf(string(account), digest)
package crashes
