package main

import (
	"net/http"
	"sync/atomic"
	"time"
)

func init() {
	cases["order"] = playOrder
}

const (
	// orderLimit is how long the operator sends an order again, which is AckMs; readTime is for how long it reads
	// the configuration back.
	orderLimit = 4 * time.Second
	readTime   = 12 * time.Second
	// misspelt is the zone hall-ä in Latin-1, which is no zone of the deployment.
	misspelt = "hall-%E4"
)

// keepRunning starts a core machine's process again whenever it ends, as the platform does, and counts the ends.
func (f *fleet) keepRunning(m *machine, ends *atomic.Int64, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-m.ended:
		}
		ends.Add(1)
		time.Sleep(restartWait)
		if err := f.start(m); err != nil {
			f.rec.line("start %s: %v", m.name, err)
			return
		}
	}
}

// evacuate sends the order to empty a zone until it has a clear answer, each time to the next daemon.
func (f *fleet) evacuate(zone string) {
	end := time.Now().Add(orderLimit)
	for i := 0; time.Now().Before(end); i++ {
		m := f.cores[i%len(f.cores)]
		resp, err := quick.Post("http://"+f.controlAddr(m)+f.names["evacuate"]+zone, "", nil)
		if err != nil {
			f.rec.line("order to empty %s at %s: %v", zone, m.name, err)
			continue
		}
		_ = resp.Body.Close()
		f.rec.line("order to empty %s at %s: %d", zone, m.name, resp.StatusCode)
		if s := resp.StatusCode; s/100 == 2 || s/100 == 4 && s != http.StatusRequestTimeout && s != http.StatusTooManyRequests {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// playOrder has the operator order that a zone be emptied, and misspell its name.
func playOrder(p *play) int {
	f, workers, code := p.begin(3, 2)
	if f == nil {
		return code
	}
	stop := make(chan struct{})
	defer f.stop()
	for _, w := range workers {
		defer w.stop()
	}
	if at, _ := f.put(document(2), 10*time.Second); at.IsZero() {
		return p.fail("configuration", nil)
	}
	var ends [3]atomic.Int64
	var done [3]chan struct{}
	for i, m := range f.cores {
		done[i] = make(chan struct{})
		go func() { f.keepRunning(m, &ends[i], stop); close(done[i]) }()
	}
	l := f.startLoad(4)
	time.Sleep(2 * time.Second)
	before := l.ok.Load()
	if p.trouble {
		f.evacuate(misspelt)
	} else {
		f.evacuate("hall-b")
	}
	time.Sleep(8 * time.Second)
	ok, bad := l.ok.Load(), l.bad.Load()
	newest, unread := 0, true
	for end := time.Now().Add(readTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, m := range f.cores {
			if v, status := f.read(m); status == 200 {
				newest, unread = max(newest, v), false
			}
		}
	}
	ok, bad = l.ok.Load()-ok, l.bad.Load()-bad
	l.end()
	close(stop)
	for _, d := range done {
		<-d
	}
	p.say("requests answered 200 before the order: %d; in the last 12 s: %d, otherwise: %d", before, ok, bad)
	p.say("processes that ended by themselves: core-1 %d, core-2 %d, core-3 %d times", ends[0].Load(), ends[1].Load(), ends[2].Load())
	if unread || newest < 2 {
		p.say("broken: version 2 was acknowledged; read back for 12 s from three daemons, newest answer: %d", newest)
		return broken
	}
	p.say("version %d is read back", newest)
	return held
}
