package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	declineLength = 90 * time.Second
	// surplusShare of the answers of two of three workers are sent twice during surplusOn of each surplusPeriod.
	surplusShare  = 0.03
	surplusOn     = 5 * time.Second
	surplusPeriod = 8 * time.Second
	// arrivals is the number of clumps of requests a second that all clients send, of two requests on average. confirms
	// is the part of the requests that is unsafe.
	arrivals = 175.0
	confirms = 0.8
	// plainDeadline is how long clients wait.
	plainDeadline = 1500 * time.Millisecond
)

// workTime draws how long a plain request takes: about 60 ms, 440 ms at most.
func workTime() time.Duration {
	ms := 60 * math.Exp(0.5*rand.NormFloat64()-0.125)
	if rand.Float64() < 0.01 {
		ms *= 5
	}
	return time.Duration(min(ms, 440) * float64(time.Millisecond))
}

// surplusDecline: workers that decline some requests, as they are full, send some of their answers a second time.
// No unsafe request may run twice, and none that was refused with a promise may run.
func surplusDecline(f *fleet, rec *record, trouble bool) (verdict, error) {
	var started time.Time
	var active atomic.Bool
	runs := &ledger{}
	for i := range 3 {
		w := &worker{
			rec: rec, ledger: runs, fleet: f, id: fmt.Sprintf("i-%08x", 0x5a110000+i), service: "floor-api", zone: zoneNames[i],
			address: fmt.Sprintf("%s.%d:%d", f.prefix, 101+i, workerPort), slots: 6, queue: 3, work: workTime,
		}
		if i < 2 {
			w.surplus = func() float64 {
				if !active.Load() || time.Since(started)%surplusPeriod >= surplusOn {
					return 0
				}
				return surplusShare
			}
		}
		if err := w.start(); err != nil {
			return verdict{}, err
		}
		f.workers = append(f.workers, w)
	}
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	config := plainConfig()
	if err := f.put(config, 20*time.Second); err != nil {
		return verdict{}, err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	started = time.Now()
	active.Store(trouble)
	rec.say("traffic starts; surplus answers: %t", trouble)

	var mu sync.Mutex
	var v verdict
	counts := map[string]int{}
	unsafeAnswers := map[string]answer{}
	var done sync.WaitGroup
	const clients = 80
	// Clients are uneven over the zones, as the hash of the platform makes them.
	for i := range clients {
		edge := f.edges[[]int{0, 0, 3, 0, 3, 1, 1, 4, 2, 5}[i%10]]
		done.Go(func() {
			c := &client{edge: edge, host: "halls.example"}
			defer c.close()
			for time.Since(started) < declineLength {
				time.Sleep(time.Duration(rand.ExpFloat64() * clients / arrivals * float64(time.Second)))
				// Requests come in clumps of three.
				for range 1 + rand.IntN(3) {
					id := newID()
					if rand.Float64() >= confirms {
						a := c.send("GET", "/stop/1", id, "key-of-one", plainDeadline, "")
						rec.say("safe %s by %s: %s", id, edge.name, a.describe())
						mu.Lock()
						counts[fmt.Sprintf("safe %d", a.status)]++
						mu.Unlock()
						continue
					}
					a := c.send("POST", "/confirm/1", id, "key-of-one", plainDeadline, "slot 17")
					rec.say("unsafe %s by %s: %s", id, edge.name, a.describe())
					mu.Lock()
					counts[fmt.Sprintf("unsafe %d", a.status)]++
					unsafeAnswers[id] = a
					mu.Unlock()
				}
			}
		})
	}
	done.Wait()
	active.Store(false)
	time.Sleep(time.Second)
	for id, a := range unsafeAnswers {
		ran := runs.of(id)
		switch {
		case len(ran) > 1:
			v.breaks = append(v.breaks, fmt.Sprintf("TWICE: unsafe request %s ran %d times, at %v; its client got %s", id, len(ran), ran, a.describe()))
		case len(ran) > 0 && slices.Contains([]int{408, 421, 429, 503}, a.status):
			v.breaks = append(v.breaks, fmt.Sprintf("REFUSED: unsafe request %s got %d (%.60q), yet it ran at %v", id, a.status, a.body, ran))
		}
	}
	served := counts["unsafe 200"]
	for _, w := range f.workers {
		rec.say("%s: ran %d, declined %d, surplus answers drawn %d", w.id, w.ran, w.declined, w.surpluses)
	}
	rec.say("answers: %v", counts)
	if served < 1000 {
		return v, fmt.Errorf("only %d unsafe requests were served", served)
	}
	return v, nil
}

// plainConfig has the routes of one plain service.
func plainConfig() map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": "halls.example", "PathPrefix": prefix, "Type": kind, "TimeoutMs": 1500, "SloMs": 300, "Priority": 2,
			"Service": "floor-api", "MaxAttempts": attempts, "Public": false, "Sticky": false, "Resumable": false,
		}
	}
	return map[string]any{
		"Routes":   []any{route("r-confirm", "/confirm/", "unsafe", 1), route("r-stop", "/stop/", "safe", 2)},
		"Services": []any{map[string]any{"Name": "floor-api", "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": false}},
		"Limits":   limits(),
		"Tenants":  tenants(),
	}
}

func limits() map[string]any {
	return map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
}

func tenants() []any {
	return []any{map[string]any{"Name": "one", "ApiKeys": []string{"key-of-one"}, "Priority": 1}}
}
