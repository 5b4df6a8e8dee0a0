// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package site_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/site"
)

// BenchmarkControlBytes measures the bytes that a host spends on other hosts
// and on load reports: idle, and for each request.
func BenchmarkControlBytes(b *testing.B) {
	s, err := site.Builder{Net: 40, Zones: 3, HostsPerZone: 2, EnginesPerZone: 8, Dir: b.TempDir()}.Start(context.Background())
	require.NoError(b, err)
	defer s.Stop()
	total := func() (n int64) {
		for _, h := range s.Hosts {
			n += h.Daemon.ControlBytes()
		}
		return n
	}
	const idle = 5 * time.Second
	time.Sleep(time.Second)
	begun := total()
	time.Sleep(idle)
	perSecond := float64(total()-begun) / idle.Seconds() / float64(len(s.Hosts))
	begun = total()
	started := time.Now()
	n := 0
	for b.Loop() {
		n++
		client := openAI(s, n%len(s.Hosts))
		_, err := client.Chat.Completions.New(context.Background(), chat(fmt.Sprintf("chat %d", n%50)))
		require.NoError(b, err)
	}
	used := float64(total()-begun) - perSecond*time.Since(started).Seconds()*float64(len(s.Hosts))
	b.ReportMetric(perSecond, "idleB/s/host")
	b.ReportMetric(used/float64(n), "B/request")
}
