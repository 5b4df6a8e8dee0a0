package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// Each round has a cut of cutFor; another edge is killed killAfter its start and is back after downFor.
	tunnelRounds = 3
	cutFor       = 5 * time.Second
	killAfter    = 3 * time.Second
	downFor      = 500 * time.Millisecond
	roundPause   = 5 * time.Second
	streamEvents = 40
	eventPause   = 40 * time.Millisecond
)

// tunnelKill: an edge loses its path to all workers and reaches them through another edge, which is then killed. No
// stream may look complete before its last event has arrived.
func tunnelKill(f *fleet, rec *record, trouble bool) (verdict, error) {
	runs := &ledger{}
	for i := range 6 {
		w := &worker{
			rec: rec, ledger: runs, fleet: f, id: fmt.Sprintf("i-%08x", 0x11e00000+i), service: "llm-pool", zone: zoneNames[i%3],
			address: fmt.Sprintf("%s.%d:%d", f.prefix, 101+i, workerPort), slots: 64, queue: 192, events: streamEvents, pause: eventPause,
		}
		if err := w.start(); err != nil {
			return verdict{}, err
		}
		f.workers = append(f.workers, w)
	}
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	if err := f.put(streamConfig(), 20*time.Second); err != nil {
		return verdict{}, err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)

	// The first edge is cut off from the workers. It reaches them through one of the two others of its zone, which are
	// killed in turn, one in each round.
	cut, neighbours := f.edges[0], []*node{f.edges[3], f.edges[6]}
	var mu sync.Mutex
	var v verdict
	counts := map[string]int{}
	stop := make(chan struct{})
	var done sync.WaitGroup
	for i := range 20 {
		done.Go(func() {
			c := &client{edge: cut, host: "halls.example"}
			defer c.close()
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				id := newID()
				a := c.send("POST", "/brief/1", id, "key-of-one", 10*time.Second, "brief")
				got := strings.Count(a.body, "\n\n")
				rec.say("stream %s by %s: %s, %d events", id, cut.name, a.describe(), got)
				mu.Lock()
				kind := fmt.Sprintf("%d, complete %t, all events %t", a.status, a.complete, got == streamEvents)
				counts[kind]++
				if a.status == 200 && a.complete && got < streamEvents {
					v.breaks = append(v.breaks, fmt.Sprintf(
						"ORDER: stream %s got 200 and ended as complete after %d of %d events; it ran at %v", id, got, streamEvents, runs.of(id)))
				}
				mu.Unlock()
			}
		})
	}
	for round := range tunnelRounds {
		killed := neighbours[round%len(neighbours)]
		time.Sleep(roundPause)
		if !trouble {
			time.Sleep(cutFor)
			continue
		}
		rec.say("%s loses its path to all workers", cut.name)
		for _, w := range f.workers {
			w.setCut(cut.ip, true)
		}
		time.Sleep(killAfter)
		f.kill(killed)
		time.Sleep(downFor)
		if err := f.start(killed, false); err != nil {
			return v, err
		}
		time.Sleep(cutFor - killAfter - downFor)
		for _, w := range f.workers {
			w.setCut(cut.ip, false)
		}
		rec.say("%s has its path to all workers again", cut.name)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	done.Wait()
	rec.say("answers: %v", counts)
	if counts["200, complete true, all events true"] < 100 {
		return v, fmt.Errorf("too few whole streams: %v", counts)
	}
	return v, nil
}

// streamConfig has one route of streams that must not run twice.
func streamConfig() map[string]any {
	return map[string]any{
		"Routes": []any{map[string]any{
			"Name": "r-brief", "Host": "halls.example", "PathPrefix": "/brief/", "Type": "stream", "TimeoutMs": 10000, "SloMs": 500, "Priority": 0,
			"Service": "llm-pool", "MaxAttempts": 1, "Public": false, "Sticky": true, "Resumable": false, "ItlTargetMs": 400,
		}},
		"Services": []any{map[string]any{
			"Name": "llm-pool", "HealthPath": "/healthz", "MaxConns": 360, "Protocol": "h1", "Tls": false,
			"Engine": map[string]any{"Slots": 64, "KvCapacity": 423882, "Models": []any{map[string]any{"Name": "m"}}},
		}},
		"Limits":  limits(),
		"Tenants": tenants(),
	}
}
