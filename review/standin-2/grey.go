package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["grey"] = playGrey
}

// The case of a worker that fails part of its requests: one of eight, 0.45 of its requests, for 6.5 s.
const (
	greyWorkers = 8
	greyShare   = 0.45
	greyTime    = 6500 * time.Millisecond
)

// playGrey has a worker run requests and answer some of them with 503, as it could not finish them.
func playGrey(p *play) int {
	f, workers, code := p.begin(3, 2)
	if f == nil {
		return code
	}
	defer f.stop()
	for i := len(workers); i < greyWorkers; i++ {
		w, err := f.newWorker(fmt.Sprintf("i-%d", i+1), "floor", "hall-a", 6, 15*time.Millisecond, f.cores[0].ip)
		if err != nil {
			return p.fail("worker", err)
		}
		w.register()
		workers = append(workers, w)
	}
	for _, w := range workers {
		defer w.stop()
	}
	time.Sleep(2 * heartbeat)
	var answered, kept, brokenPromises, twice atomic.Int64
	var users sync.WaitGroup
	end := time.Now().Add(12 * time.Second)
	for i := range 8 {
		m := f.edges[i%len(f.edges)]
		users.Go(func() {
			c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for time.Now().Before(end) {
				// A caller sends a job once, and once more where it is promised that it has not run.
				runs := 0
				for range 2 {
					id := newID()
					status, _, err := f.call(c, m, "POST", "/confirm/1", id, 2*time.Second, []byte("x"))
					ran := ranAt(workers, id)
					if ran {
						runs++
					}
					if err != nil || !promises[status] {
						answered.Add(1)
						break
					}
					f.rec.line("answer %s by %s: %d, it has run: %t", id, m.name, status, ran)
					if ran {
						brokenPromises.Add(1)
					} else {
						kept.Add(1)
					}
				}
				if runs > 1 {
					twice.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if p.trouble {
		f.rec.line("%s fails %.2f of its requests", workers[0].id, greyShare)
		fails := func() bool { return rand.Float64() < greyShare }
		workers[0].fails.Store(&fails)
		time.Sleep(greyTime)
		workers[0].fails.Store(nil)
		f.rec.line("%s fails none", workers[0].id)
	}
	users.Wait()
	p.say("requests answered: %d, refused and not run: %d, refused though they had run: %d", answered.Load(), kept.Load(), brokenPromises.Load())
	p.say("jobs run twice, as their callers trusted the refusal: %d", twice.Load())
	if brokenPromises.Load() > 0 {
		p.say("broken: requests that must run once got a status that promises that they have not run, and had run")
		return broken
	}
	return held
}
