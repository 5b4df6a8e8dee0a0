package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// quick is the client of short calls: each on a connection of its own.
var quick = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// put puts a configuration in force: as the operator does, it calls any daemon until one acknowledges it.
func (f *fleet) put(doc map[string]any, limit time.Duration) (acked time.Time, by *machine) {
	body, _ := json.Marshal(doc)
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		m := f.cores[rand.IntN(len(f.cores))]
		req, _ := http.NewRequest(http.MethodPut, "http://"+f.controlAddr(m)+f.names["config"], bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		c := http.Client{Timeout: 3500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := c.Do(req)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == 200 {
			f.rec.line("config %v (%d bytes) acked by %s", doc["Version"], len(body), m.name)
			return time.Now(), m
		}
		if resp.StatusCode == 400 {
			f.rec.line("config %v refused by %s: %s", doc["Version"], m.name, text)
			return time.Time{}, m
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.rec.line("config %v: no acknowledgement", doc["Version"])
	return time.Time{}, nil
}

// read reads the configuration back from one daemon; 0 where it is not told.
func (f *fleet) read(m *machine) (version int, status int) {
	resp, err := quick.Get("http://" + f.controlAddr(m) + f.names["config"])
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	var doc struct{ Version int }
	text, _ := io.ReadAll(resp.Body)
	_ = json.Unmarshal(text, &doc)
	return doc.Version, resp.StatusCode
}

// worker is a stand-in for a worker of a plain service.
type worker struct {
	fleet    *fleet
	id       string
	service  string
	zone     string
	slots    int
	work     time.Duration
	listener net.Listener
	server   *http.Server
	seq      atomic.Uint64
	stop     context.CancelFunc
	ctx      context.Context
	running  atomic.Int64
	mu       sync.Mutex
	// ran holds when each request began to run.
	ran map[string]time.Time
	// whole counts the streams that were sent to their end.
	whole int
	// born is when the process started, in Unix milliseconds; 0 where the worker does not say.
	born int64
	// fails, if not nil, tells whether the worker fails a request that it has run.
	fails atomic.Pointer[func() bool]
}

func (f *fleet) newWorker(id, service, zone string, slots int, work time.Duration, ip string) (*worker, error) {
	l, err := listen(ip)
	if err != nil {
		return nil, err
	}
	return f.serve(id, service, zone, slots, work, l), nil
}

// hangFrom is the address of the machine whose connections to workers carry nothing; empty for none.
var hangFrom atomic.Value

// hangingListener accepts connections, and hands on none of the machine that is cut off.
type hangingListener struct{ net.Listener }

// hangingConn carries nothing while its machine is cut off.
type hangingConn struct{ net.Conn }

func (c hangingConn) hangs() bool {
	from, _ := hangFrom.Load().(string)
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return from != "" && host == from
}

// Read implements net.Conn. What arrives while the machine is cut off is never seen.
func (c hangingConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.hangs() || err != nil && n == 0 {
			return n, err
		}
	}
}

// Accept implements net.Listener.
func (l hangingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return hangingConn{c}, nil
}

// serve starts a worker behind a listener.
func (f *fleet) serve(id, service, zone string, slots int, work time.Duration, l net.Listener) *worker {
	ctx, stop := context.WithCancel(context.Background())
	w := &worker{fleet: f, id: id, service: service, zone: zone, slots: slots, work: work, listener: l, ctx: ctx, stop: stop, ran: map[string]time.Time{}}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(hangingListener{l}) }()
	return w
}

// ServeHTTP runs a request, or declines it where it is meant for another worker.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names["request_id"])
	h := out.Header()
	h.Set(names["request_id"], id)
	h.Set(names["stamp"], "s."+w.id+"."+id)
	if e := r.Header.Get(names["expect_worker"]); e != "" && e != w.id {
		h.Set(names["not_run"], "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n := w.running.Add(1)
	defer w.running.Add(-1)
	h.Set(names["load"], fmt.Sprintf("%d,%d,%d", min(n, int64(w.slots)), max(0, n-int64(w.slots)), w.slots))
	size, err := io.Copy(io.Discard, linked{r.Body, w.fleet.links.out[hostOf(r.RemoteAddr)]})
	if err != nil {
		return
	}
	w.mu.Lock()
	w.ran[id] = time.Now()
	w.mu.Unlock()
	w.fleet.rec.line("run %s at %s body=%d", id, w.id, size)
	if strings.HasPrefix(r.URL.Path, "/tell/") {
		w.tell(out, r, id)
		return
	}
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	if fails := w.fails.Load(); fails != nil && (*fails)() {
		w.fleet.rec.line("fail %s at %s with 503 after its run", id, w.id)
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body := []byte("answer of " + w.id + " to " + id + "\n")
	h.Set("Content-Type", "text/plain")
	_, _ = out.Write(body)
}

const (
	// events are those of a stream, eventGap is the time between two.
	events   = 20
	eventGap = 100 * time.Millisecond
)

// tell answers with a stream of events.
func (w *worker) tell(out http.ResponseWriter, r *http.Request, id string) {
	out.Header().Set("Content-Type", "text/event-stream")
	for n := range events {
		fmt.Fprintf(out, "id: %d\ndata: %s of %s\n\n", n+1, id, w.id)
		if http.NewResponseController(out).Flush() != nil {
			return
		}
		select {
		case <-time.After(eventGap):
		case <-r.Context().Done():
			w.fleet.rec.line("left %s at %s born=%d after %d events", id, w.id, w.born, n+1)
			return
		}
	}
	w.mu.Lock()
	w.whole++
	w.mu.Unlock()
}

// beat is a worker's heartbeat with a sequence number.
func (w *worker) beat(state string, seq uint64) []byte {
	fields := map[string]any{
		"Service": w.service, "Address": w.listener.Addr().String(), "Zone": w.zone, "Version": "v1", "Slots": w.slots,
		"State": state, "ColdLeftMs": 0, "Seq": seq,
	}
	if w.born > 0 {
		fields["born"] = w.born
	}
	b, _ := json.Marshal(fields)
	return b
}

// send sends a heartbeat, or with DELETE and no body the report that it ends, and returns whether it was
// acknowledged.
func (w *worker) send(method, control string, body []byte) bool {
	req, _ := http.NewRequest(method, "http://"+control+names["instances"]+w.id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := quick.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// register sends heartbeats until the worker stops them.
func (w *worker) register() {
	go func() {
		for w.ctx.Err() == nil {
			seq := w.seq.Add(1)
			for i := range 3 {
				if w.send(http.MethodPut, w.fleet.controlAddr(w.fleet.cores[(i+rand.IntN(len(w.fleet.cores)))%len(w.fleet.cores)]), w.beat("ready", seq)) {
					break
				}
			}
			select {
			case <-time.After(heartbeat):
			case <-w.ctx.Done():
			}
		}
	}()
}

// document is a configuration of one plain service with a keyed route of each kind.
func document(version int) map[string]any {
	route := func(name, prefix, kind string, timeout, slo, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": "yard.example", "PathPrefix": prefix, "Type": kind, "TimeoutMs": timeout, "SloMs": slo,
			"Priority": 1, "Service": "floor", "MaxAttempts": attempts, "Public": false, "Sticky": false, "Resumable": false,
		}
	}
	return map[string]any{
		"Version": version,
		"Routes": []any{
			route("confirm", "/confirm/", "unsafe", 10000, 1000, 1),
			route("look", "/look/", "safe", 10000, 1000, 2),
			route("tell", "/tell/", "stream", 12000, 1200, 1),
		},
		"Services": []any{map[string]any{"Name": "floor", "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "tenant-1", "ApiKeys": []any{"key-1"}}},
	}
}

var requestCount atomic.Int64

// newID returns the id of a request.
func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), requestCount.Add(1)) }

// call sends one request to an entry host and returns its status; 0 where the connection ended without one.
func (f *fleet) call(c *http.Client, m *machine, method, path, id string, deadline time.Duration, body []byte) (status int, text string, err error) {
	f.rec.line("send %s to %s %s %s, %d bytes", id, m.name, method, path, len(body))
	defer func() { f.rec.line("answer %s by %s: %d, %d bytes, %v", id, m.name, status, len(text), err) }()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+f.httpAddr(m)+path, linked{bytes.NewReader(body), f.links.in[m.ip]})
	req.ContentLength = int64(len(body))
	req.Host = "yard.example"
	req.Header.Set(names["request_id"], id)
	req.Header.Set(names["deadline"], fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer key-1")
	if f.parts != "" {
		req.Header.Set(names["parts"], f.parts)
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	all, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(all), err
}
