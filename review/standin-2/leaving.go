package main

import (
	"net/http"
	"syscall"
	"time"
)

func init() {
	cases["departed"] = playDeparted
}

// lateRuns returns how many requests that were sent from inTouch on, a worker began to run, and the first and
// last of them after a time.
func (l *load) lateRuns(w *worker, inTouch, since time.Time, only *machine) (n int, first, last time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, ran := range w.ran {
		s, known := l.sent[id]
		if !known || s.at.Before(inTouch) || ran.Before(since.Add(drainMs*time.Millisecond)) || only != nil && s.edge != only {
			continue
		}
		after := ran.Sub(since)
		if n == 0 || after < first {
			first = after
		}
		last = max(last, after)
		n++
	}
	return n, first, last
}

const (
	// downTime is how long processes are down after a fault, lateBy how late a heartbeat arrives.
	downTime = time.Second
	lateBy   = 3 * time.Second
	// lingers is how long a worker serves after its report that it ends was acknowledged.
	lingers = 14 * time.Second
)

// leavingWorker starts a fourth worker and waits until it has run requests.
func (p *play) leavingWorker(f *fleet, l *load) (*worker, int) {
	w, err := f.newWorker("i-4", "floor", "hall-a", 6, 15*time.Millisecond, f.cores[0].ip)
	if err != nil {
		return nil, p.fail("worker", err)
	}
	w.register()
	for range 50 {
		time.Sleep(100 * time.Millisecond)
		w.mu.Lock()
		n := len(w.ran)
		w.mu.Unlock()
		if n > 20 {
			return w, held
		}
	}
	return nil, p.fail("the fourth worker got nothing", nil)
}

// leave has a worker send DELETE until a replica acknowledges it. It goes on serving.
func (w *worker) leave() (time.Time, *machine) {
	w.stop()
	for i := range 10 {
		m := w.fleet.cores[i%len(w.fleet.cores)]
		if w.send(http.MethodDelete, w.fleet.controlAddr(m), nil) {
			w.fleet.rec.line("leave %s acked by %s", w.id, m.name)
			return time.Now(), m
		}
	}
	return time.Time{}, nil
}

// playDeparted has a worker leave, and all processes killed right after the acknowledgement. A heartbeat that
// the worker sent before arrives late.
func playDeparted(p *play) int {
	f, workers, code := p.begin(3, 2)
	if f == nil {
		return code
	}
	defer f.stop()
	for _, w := range workers {
		defer w.stop()
	}
	l := f.startLoad(8)
	w, code := p.leavingWorker(f, l)
	if w == nil {
		l.end()
		return code
	}
	late := w.beat("ready", w.seq.Load())
	acked, by := w.leave()
	if by == nil {
		return p.fail("the worker's report was not acknowledged", nil)
	}
	inTouch := acked
	if p.trouble {
		f.rec.line("all processes are killed")
		for _, m := range f.all() {
			m.signal(syscall.SIGKILL)
		}
		time.Sleep(downTime)
		for _, m := range f.all() {
			<-m.ended
			if err := f.start(m); err != nil {
				return p.fail("start", err)
			}
		}
		inTouch = time.Now().Add(2 * contactMs * time.Millisecond)
	}
	time.Sleep(time.Until(acked.Add(lateBy)))
	for _, m := range f.cores {
		if w.send(http.MethodPut, f.controlAddr(m), late) {
			f.rec.line("late heartbeat of %s acked by %s", w.id, m.name)
			break
		}
	}
	time.Sleep(time.Until(acked.Add(lingers)))
	l.end()
	n, first, last := l.lateRuns(w, inTouch, acked, nil)
	p.say("requests answered 200: %d, otherwise: %d", l.ok.Load(), l.bad.Load())
	p.say("in touch from %.1f s after the acknowledgement", inTouch.Sub(acked).Seconds())
	if n > 0 {
		p.say("broken: %d requests reached %s between %.1f and %.1f s after %s acknowledged that it is gone", n, w.id, first.Seconds(), last.Seconds(), by.name)
		return broken
	}
	return held
}
