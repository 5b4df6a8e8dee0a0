// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package settings

import "github.com/dustin/go-humanize"

const (
	minMemory = 16 << 20
	maxMemory = 1 << 40
)

// MemoryBytes returns the memory that the process may use in bytes, 0 if it is not known.
func (h Host) MemoryBytes() int64 {
	n, err := humanize.ParseBytes(h.Memory)
	if err != nil || n > maxMemory {
		return 0
	}
	return int64(n)
}

func checkMemory(h Host, p *ProblemsError) {
	if n := h.MemoryBytes(); h.Memory != "" && n < minMemory {
		p.add("host", "memory", "%q is not a size from 16MiB to 1TiB such as 512MB", h.Memory)
	}
}
