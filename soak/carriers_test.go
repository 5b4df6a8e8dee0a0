//go:build soak

// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package soak

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
)

// carrierOf returns the host that the last try of a request went through, as the line of its own host says;
// false if it went to a worker directly or the line is missing.
func (f *fleet) carrierOf(r request) (node, bool) {
	text, err := os.ReadFile(f.hosts[r.entry].log)
	if err != nil {
		return 0, false
	}
	var carrier node
	for line := range bytes.Lines(text) {
		var try struct{ Request, Via string }
		if !bytes.Contains(line, []byte(r.id)) || json.Unmarshal(line, &try) != nil || try.Request != r.id {
			continue
		}
		carrier = 0
		if via, err := netip.ParseAddrPort(try.Via); err == nil {
			carrier = node(via.Addr().As4()[3])
		}
	}
	return carrier, carrier != 0
}
