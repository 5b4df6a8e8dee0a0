package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkRate is the rate of an entry host's link in each direction, in bytes a second: LinkMbps 1000.
const linkRate = 125e6

// link is one direction of an entry host's link, which all its connections share.
type link struct {
	mu   sync.Mutex
	free time.Time
}

// pass waits until the link has carried n bytes.
func (l *link) pass(n int) {
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / linkRate * float64(time.Second)))
	wait := time.Until(l.free)
	l.mu.Unlock()
	if wait > time.Millisecond {
		time.Sleep(wait)
	}
}

// linked reads no faster than a link carries. A nil link has no bound.
type linked struct {
	io.Reader
	link *link
}

// Read implements io.Reader.
func (r linked) Read(b []byte) (int, error) {
	if r.link == nil {
		return r.Reader.Read(b)
	}
	n, err := r.Reader.Read(b[:min(len(b), 64<<10)])
	r.link.pass(n)
	return n, err
}

// links are those of the entry hosts, by address; from callers to them, and from them to workers.
type links struct{ in, out map[string]*link }

func newLinks(hosts []*machine) links {
	l := links{in: map[string]*link{}, out: map[string]*link{}}
	for _, m := range hosts {
		l.in[m.ip], l.out[m.ip] = &link{}, &link{}
	}
	return l
}

// hostOf returns the address without the port.
func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}
