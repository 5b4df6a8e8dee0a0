// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/platform"
	"github.com/yardhall/yardhall/standin"
)

const (
	workersPerVersion = 3
	heartbeatInterval = 500 * time.Millisecond
	// requestRate, in requests a second, gives a trial of 12 s some 90 answers of the new version.
	requestRate = 200
	// faultsQueued is more than the requests of a demonstration.
	faultsQueued = 20000
	callTimeout  = 5 * time.Second
)

// release is the running workers of one version.
type release struct {
	version ident.Version
	workers []*standin.Worker
	stop    context.CancelFunc
	beats   sync.WaitGroup
}

// startRelease starts workers that register with the replicas; half of the answers of a bad version
// fail.
func startRelease(ctx context.Context, f *seeded, version ident.Version, bad bool) (*release, error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &release{version: version, stop: cancel}
	names := platform.Headers()
	for i := range workersPerVersion {
		w, err := standin.StartWorker("127.0.0.1:0", fmt.Sprintf("%s-%d", version, i), standin.WorkerHeaders{
			RequestID: names.RequestID, Expect: names.ExpectedWorker, Instance: names.WorkerID, NotRun: names.NotRun,
			Leaving: names.Leaving, Signature: names.Signature, Load: names.Load, LastEvent: names.LastEventID,
		})
		if err != nil {
			r.end()
			return nil, errors.Wrap(err, "start worker")
		}
		for range faultsQueued / 2 {
			if bad {
				w.Next(standin.Failing, standin.Sound)
			}
		}
		r.workers = append(r.workers, w)
		r.beats.Go(func() { r.beat(ctx, f, w, i) })
	}
	return r, nil
}

// beat sends a worker's heartbeats until ctx ends.
func (r *release) beat(ctx context.Context, f *seeded, w *standin.Worker, i int) {
	for seq := uint64(1); ctx.Err() == nil; seq++ {
		req, err := platform.NewHeartbeat(ctx, f.control(i%replicas), registry.Worker{
			ID: ident.Target(w.ID), Pool: service, Zone: ident.Zone(fmt.Sprint("zone-", i%replicas)), Address: w.Address(),
			Slots: 64, Seq: seq, Version: r.version,
		})
		if err == nil {
			_, _ = send(req) // The next heartbeat makes up for a lost one.
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func (r *release) ran() int {
	n := 0
	for _, w := range r.workers {
		n += len(w.Runs())
	}
	return n
}

// end stops the workers without draining.
func (r *release) end() {
	r.stop()
	for _, w := range r.workers {
		w.Stop()
	}
	r.beats.Wait()
}

// send makes a call and returns the status once the whole answer has arrived.
func send(req *http.Request) (status int, err error) {
	client := http.Client{Timeout: callTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "send")
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, errors.Wrap(err, "read the answer")
}

// traffic sends requests to the entry hosts at a fixed rate and counts the answers.
type traffic struct {
	urls         []string
	sent, failed atomic.Int64
}

// run sends requests until ctx ends and returns when all have been answered.
func (t *traffic) run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(time.Second / requestRate)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			calls.Go(func() { t.request(t.urls[n%len(t.urls)]) })
		}
	}
}

func (t *traffic) request(url string) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url+"/page", nil)
	if err != nil {
		return
	}
	req.Host = routeHost
	req.Header.Set(platform.Headers().RequestID, uuid.NewString())
	t.sent.Add(1)
	if status, err := send(req); err != nil || status != http.StatusOK {
		t.failed.Add(1)
	}
}

// take returns the counts since the last call.
func (t *traffic) take() (sent, failed int64) { return t.sent.Swap(0), t.failed.Swap(0) }
