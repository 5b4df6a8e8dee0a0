package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["restart"] = playRestart
	cases["hang"] = playHang
}

const (
	streamWorkers = 6
	streamUsers   = 24
	restarts      = 6
	// workerDown is how long a worker is down as it starts again, firstBeatLate how late its first heartbeat arrives.
	workerDown    = 200 * time.Millisecond
	firstBeatLate = 2200 * time.Millisecond
)

// restartWorker ends a worker's process and starts another one under its id, at its address.
func (f *fleet) restartWorker(w *worker) (*worker, error) {
	w.stop()
	address := w.listener.Addr().String()
	_ = w.server.Close()
	f.rec.line("worker %s crashes", w.id)
	time.Sleep(workerDown)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	next := f.serve(w.id, w.service, w.zone, w.slots, w.work, l)
	next.born = time.Now().UnixMilli()
	f.rec.line("worker %s starts again", w.id)
	time.AfterFunc(firstBeatLate, func() {
		f.rec.line("the first heartbeat of %s born=%d arrives", next.id, next.born)
		next.register()
	})
	return next, nil
}

// playRestart has workers start again under their ids, and their first heartbeats arrive late.
func playRestart(p *play) int {
	f, workers, code := p.begin(3, 2)
	if f == nil {
		return code
	}
	defer f.stop()
	for _, w := range workers {
		w.leave()
		_ = w.server.Close()
	}
	workers = nil
	for i := range streamWorkers {
		w, err := f.newWorker(fmt.Sprintf("s-%d", i+1), "floor", "hall-a", 64, 15*time.Millisecond, f.cores[0].ip)
		if err != nil {
			return p.fail("worker", err)
		}
		w.born = time.Now().UnixMilli()
		w.register()
		workers = append(workers, w)
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	current := map[string]*worker{}
	for _, w := range workers {
		current[w.id] = w
	}
	crashed := map[string][]time.Time{}
	var whole, failed, cutByCrash atomic.Int64
	cut := map[*machine]int{}
	end := time.Now().Add(restarts*5*time.Second + 9*time.Second)
	var users sync.WaitGroup
	for i := range streamUsers {
		m := f.edges[i%len(f.edges)]
		users.Go(func() {
			c := &http.Client{Transport: &http.Transport{}}
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			for time.Now().Before(end) {
				id, began := newID(), time.Now()
				status, text, err := f.call(c, m, "POST", "/tell/1", id, 10*time.Second, []byte("x"))
				got := strings.Count(text, "\n\n")
				switch {
				case err == nil && status == 200 && got == events:
					whole.Add(1)
				case status != 200:
					failed.Add(1)
				default:
					_, by, _ := strings.Cut(text, " of ")
					by, _, _ = strings.Cut(by, "\n")
					mu.Lock()
					inCrash := false
					for _, at := range crashed[by] {
						inCrash = inCrash || at.After(began.Add(-50*time.Millisecond))
					}
					if inCrash {
						cutByCrash.Add(1)
					} else {
						cut[m]++
						f.rec.line("cut %s by %s after %d events of %s, whose process had run all the while: %v", id, m.name, got, by, err)
					}
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(6 * time.Second)
	for i := range restarts {
		if p.trouble {
			w := current[workers[i%len(workers)].id]
			mu.Lock()
			crashed[w.id] = append(crashed[w.id], time.Now())
			mu.Unlock()
			next, err := f.restartWorker(w)
			if err != nil {
				return p.fail("restart", err)
			}
			mu.Lock()
			current[next.id] = next
			mu.Unlock()
			defer next.stop()
		}
		time.Sleep(4600 * time.Millisecond)
	}
	users.Wait()
	p.say("streams whole: %d, not begun: %d, broken by a worker's crash: %d", whole.Load(), failed.Load(), cutByCrash.Load())
	worst := 0
	for _, m := range f.edges {
		p.say("%s cut %d streams of workers that were sound from the request on", m.name, cut[m])
		worst = max(worst, cut[m])
	}
	if worst > 3 {
		p.say("broken: a machine closed more than three connections on which it had sent a request to a sound worker")
		return broken
	}
	return held
}

// playHang cuts an entry host off from all workers: its connections to them hang.
func playHang(p *play) int {
	f, workers, code := p.begin(3, 7)
	if f == nil {
		return code
	}
	defer f.stop()
	for _, w := range workers {
		defer w.stop()
	}
	cutHost := f.edges[0]
	var tries, served [2]atomic.Int64
	var counting atomic.Bool
	var users sync.WaitGroup
	end := time.Now().Add(15 * time.Second)
	for i := range 28 {
		m := f.edges[i%len(f.edges)]
		k := 1
		if m == cutHost {
			k = 0
		}
		users.Go(func() {
			c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for time.Now().Before(end) {
				count := counting.Load()
				id := newID()
				status, _, err := f.call(c, m, "GET", "/look/1", id, time.Second, nil)
				if count {
					tries[k].Add(1)
					if status == 200 && err == nil {
						served[k].Add(1)
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if p.trouble {
		f.rec.line("%s is cut off from all workers: connections hang", cutHost.name)
		hangFrom.Store(cutHost.ip)
	}
	time.Sleep(contactMs * time.Millisecond)
	counting.Store(true)
	time.Sleep(8 * time.Second)
	counting.Store(false)
	hangFrom.Store("")
	users.Wait()
	p.say("first tries served: at the host that is cut off %d of %d, at the others %d of %d", served[0].Load(), tries[0].Load(), served[1].Load(), tries[1].Load())
	atCut := float64(served[0].Load()) / float64(max(1, tries[0].Load()))
	elsewhere := float64(served[1].Load()) / float64(max(1, tries[1].Load()))
	failures := tries[0].Load() - served[0].Load()
	if atCut < elsewhere*2/3 && failures > 10+tries[0].Load()/50 {
		p.say("broken: served less than two thirds as often as at the others")
		return broken
	}
	return held
}
