// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// BenchmarkReduce measures the arrival and the end of a request at a router that owns all groups.
func BenchmarkReduce(b *testing.B) {
	for _, engines := range []int{50, 600} {
		b.Run(fmt.Sprint(engines, "-engines"), func(b *testing.B) {
			w := fleet(1, engines)
			w.run(w.now.Add(4 * time.Second))
			s, at := w.hosts[0], w.now
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				id := ident.Request(fmt.Sprintf("r%d", i))
				s, _ = host.Reduce(s, host.RequestArrived{Request: host.Request{
					ID: id, KeyHash: keyHashOf("account-1"), Model: model, Chat: hash.Of(fmt.Sprint(i % 1000)), Deadline: at.Add(time.Minute),
				}}, at)
				s, _ = host.Reduce(s, host.AttemptEnded{Request: id, Attempt: 1, Result: outcome.Answered{}}, at)
			}
			b.ReportMetric(2*float64(i)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
