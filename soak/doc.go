// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package soak runs a fleet of yardhalld processes for a while under faults that
// are drawn from a seed, and checks the fleet's promises from what callers,
// workers and operators see.
//
// # Usage
//
//	make soak SEEDS=50 FIRST=1
//
// The test needs the build tag soak and the daemon's path in -yardhalld. Faults
// come from outside the processes: signals, lost disks, and loopback proxies in
// front of hosts and workers that delay, hold and reset connections. A seed that
// fails is printed with what was broken, and its logs are kept; docs/soak.md lists
// the seeds that ever failed, each with its cause.
package soak
