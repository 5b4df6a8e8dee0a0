// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/peers"
)

const benchWorkers = 144

// benchServer starts a server that signals each message on got.
func benchServer(b *testing.B) (address ident.Host, got chan struct{}) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	got = make(chan struct{}, 1)
	server := peers.NewServer(peers.Options{Self: "s", Fleet: "f", Key: "k", MaxMessage: 1 << 20}, func(ident.Host, host.Message) {
		got <- struct{}{}
	})
	go func() { _ = server.Serve(l) }()
	b.Cleanup(server.Close)
	return ident.Host(l.Addr().String()), got
}

// benchReply returns a poll reply with the loads and registrations of benchWorkers workers.
func benchReply() host.PollReply {
	m, counts := host.PollReply{Round: 1, Fresh: true, Summed: true}, loads.Counts{}
	workers := make([]registry.Worker, 0, benchWorkers)
	for i := range benchWorkers {
		id := ident.Target(fmt.Sprintf("i-%010x", i*7919))
		workers = append(workers, registry.Worker{ID: id, Pool: "pool", Zone: "z", Address: "10.0.0.1:8080", Slots: 24, Seq: 9})
		counts[loads.TagOf(id)] = i
	}
	m.Loads, m.Workers = loads.Pack(counts), registry.Pack(workers)
	return m
}

// BenchmarkConnect measures a new connection and its first message, at both ends.
func BenchmarkConnect(b *testing.B) {
	address, got := benchServer(b)
	m := benchReply()
	for b.Loop() {
		pool := peers.NewPool(peers.Options{Self: "c", Fleet: "f", Key: "k", MaxMessage: 1 << 20})
		pool.Send(address, m)
		select {
		case <-got:
		case <-time.After(5 * time.Second):
			b.Fatal("no message")
		}
		pool.Close()
	}
}

// BenchmarkMessage measures the same message on an established connection.
func BenchmarkMessage(b *testing.B) {
	address, got := benchServer(b)
	m := benchReply()
	counters := &peers.Counters{}
	pool := peers.NewPool(peers.Options{Self: "c", Fleet: "f", Key: "k", MaxMessage: 1 << 20, Counters: counters})
	defer pool.Close()
	for b.Loop() {
		pool.Send(address, m)
		<-got
	}
	b.ReportMetric(float64(counters.BytesOut.Load())/float64(b.N), "B/message")
}
