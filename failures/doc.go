// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package failures holds tests that run yardhalld as processes of their own
// and kill, freeze and stop them.
//
// # Usage
//
//	make failures
//
// The tests need the build tag failures and the daemon's path in -yardhalld.
package failures
