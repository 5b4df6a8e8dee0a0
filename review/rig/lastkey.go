package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// revokeBound is the bound of the deployment for requests with a key that was taken away.
	revokeBound = 5 * time.Second
	beforeKeys  = 5 * time.Second
	afterKeys   = 12 * time.Second
)

// lastKey: the operator takes the keys of the only tenant away while its clients are connected. No request with one of
// these keys may run that was sent later than the bound after the acknowledgement, and none with a key that no
// configuration ever held.
func lastKey(f *fleet, rec *record, trouble bool) (verdict, error) {
	runs := &ledger{}
	for i := range 3 {
		w := &worker{
			rec: rec, ledger: runs, fleet: f, id: fmt.Sprintf("i-%08x", 0x5a110000+i), service: "floor-api", zone: zoneNames[i],
			address: fmt.Sprintf("%s.%d:%d", f.prefix, 101+i, workerPort), slots: 6, queue: 24, work: workTime,
		}
		if err := w.start(); err != nil {
			return verdict{}, err
		}
	}
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	keys := []string{"n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"}
	const foreign = "never-held-by-any-tenant"
	config := plainConfig()
	setKeys := func(held []string) {
		config["Tenants"] = []any{map[string]any{"Name": "hule930", "ApiKeys": held, "Priority": 1}}
	}
	setKeys(keys)
	if err := f.put(config, 20*time.Second); err != nil {
		return verdict{}, err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var v verdict
	// acknowledged is when the operator had the acknowledgement of the configuration without the keys.
	var acknowledged time.Time
	counts := map[string]int{}
	started := time.Now()
	var done sync.WaitGroup
	for i := range 12 {
		key := append(keys, foreign)[i%3]
		edge := f.edges[i%len(f.edges)]
		done.Go(func() {
			c := &client{edge: edge, host: "halls.example"}
			defer c.close()
			for time.Since(started) < beforeKeys+afterKeys {
				time.Sleep(200 * time.Millisecond)
				mu.Lock()
				ack := acknowledged
				mu.Unlock()
				id, sent := newID(), time.Now()
				a := c.send("POST", "/confirm/1", id, key, plainDeadline, "slot 17")
				ran := runs.of(id)
				late := !ack.IsZero() && sent.Sub(ack) > revokeBound
				rec.say("unsafe %s by %s, key %.4s, late %t: %s, ran %d times", id, edge.name, key, late, a.describe(), len(ran))
				mu.Lock()
				switch {
				case len(ran) > 0 && key == foreign:
					v.breaks = append(v.breaks, fmt.Sprintf("ROUTE: request %s with a key that no configuration ever held got %d and ran at %v", id, a.status, ran))
				case len(ran) > 0 && late:
					v.breaks = append(v.breaks, fmt.Sprintf(
						"CONFIG: request %s with a key that was taken away, sent %.1f s after the acknowledgement, got %d and ran at %v",
						id, sent.Sub(ack).Seconds(), a.status, ran))
				}
				counts[fmt.Sprintf("key %.4s, late %t: %d", key, late, a.status)]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(beforeKeys)
	var err error
	if trouble {
		setKeys([]string{})
		if err = f.put(config, 10*time.Second); err == nil {
			mu.Lock()
			acknowledged = time.Now()
			mu.Unlock()
		}
	}
	done.Wait()
	rec.say("answers: %v", counts)
	if counts["key n2ct, late false: 200"] == 0 {
		err = fmt.Errorf("no request was served while its key was held")
	}
	return v, err
}
