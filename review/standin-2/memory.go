package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["memory"] = playMemory
}

// The case of many large bodies. Callers stay within the limit on bodies that the configuration names. The
// platform's stand-in kills a process over the memory of its machine and starts it again.
const (
	bodyBytes = 4194304
	// usualUsers send to each entry host all the time; a burst is 1.69 times as many, for 3 s.
	usualUsers  = 16
	burstUsers  = 27
	burstTime   = 3 * time.Second
	bursts      = 5
	burstPause  = 7 * time.Second
	memoryCheck = 5 * time.Millisecond
	// endsAllowed and machinesAllowed are those of the rule: three ends on two machines break it.
	endsAllowed = 2
)

// watchMemory does what the platform does with a process that goes over its memory. It returns when stop is closed.
func (f *fleet) watchMemory(m *machine, limit int64, ends *atomic.Int64, peak *atomic.Int64, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryCheck):
		}
		used := m.rss()
		peak.Store(max(peak.Load(), used))
		switch {
		case !m.running():
			f.rec.line("ended by itself %s", m.name)
		case used > limit:
			f.rec.line("over memory %s: %d MB of %d", m.name, used>>20, limit>>20)
			m.kill()
		default:
			continue
		}
		ends.Add(1)
		time.Sleep(restartWait)
		if err := f.start(m); err != nil {
			f.rec.line("start %s: %v", m.name, err)
			return
		}
	}
}

// playMemory has many callers send bodies of the largest allowed size at once.
func playMemory(p *play) int {
	f, workers, code := p.begin(3, 2)
	if f == nil {
		return code
	}
	defer f.stop()
	for _, w := range workers {
		defer w.stop()
	}
	f.links = newLinks(f.edges)
	body := make([]byte, bodyBytes)
	stop, end := make(chan struct{}), time.Now().Add(bursts*(burstTime+burstPause))
	var ends, peaks [2]atomic.Int64
	var ok, refused, lost atomic.Int64
	var watched, users sync.WaitGroup
	user := func(m *machine, until time.Time) {
		users.Go(func() {
			c := &http.Client{Transport: &http.Transport{}}
			for time.Now().Before(until) {
				id := newID()
				status, _, err := f.call(c, m, "POST", "/confirm/1", id, 10*time.Second, body)
				switch {
				case err == nil && status == 200:
					ok.Add(1)
				case err == nil:
					refused.Add(1)
				default:
					if ranAt(workers, id) {
						lost.Add(1)
						f.rec.line("lost %s at %s after a worker had it: %v", id, m.name, err)
					}
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	for i, m := range f.edges {
		watched.Go(func() { f.watchMemory(m, edgeMemory, &ends[i], &peaks[i], stop) })
		for range usualUsers {
			user(m, end)
		}
	}
	for range bursts {
		time.Sleep(burstPause)
		if p.trouble {
			f.rec.line("burst of %d users at each entry host in place of %d", burstUsers, usualUsers)
			for _, m := range f.edges {
				for range burstUsers - usualUsers {
					user(m, time.Now().Add(burstTime))
				}
			}
		}
		time.Sleep(burstTime)
	}
	users.Wait()
	close(stop)
	watched.Wait()
	for i, m := range f.edges {
		p.say("%s: ended %d times over its memory of %d MB, peak %d MB", m.name, ends[i].Load(), edgeMemory>>20, peaks[i].Load()>>20)
	}
	p.say("requests answered 200: %d, otherwise: %d, sent to a worker and lost: %d", ok.Load(), refused.Load(), lost.Load())
	if ends[0].Load() > endsAllowed && ends[1].Load() > endsAllowed {
		p.say("broken: processes of two machines ended three times")
		return broken
	}
	return held
}
