// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"bytes"
	"container/heap"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// world drives real host reducers and fake engines under one virtual clock.
type world struct {
	rng     *rand.Rand
	now     time.Time
	events  eventHeap
	seq     int
	hosts   []host.State
	down    []bool
	cfg     config.Config
	engines map[ident.Target]*engine
	order   []*engine
	calls   map[ident.Request]*job
	pick    func(w *world, router int, j *job) *engine
	views   []map[ident.Target]int
	fin     func(host.Finish)
	// loseGrants drops answers to asks.
	loseGrants bool

	cached, prompt  float64
	skews           []float64
	msgs            int
	bytes           int64
	notRun, unknown int
	wait            map[int][]time.Duration
	lag             time.Duration
	encoders        map[[2]int]*gob.Encoder
	sink            *bytes.Buffer
}

// job is one chat's turn.
type job struct {
	id     ident.Request
	chat   hash.Key
	tokens float64
	fresh  bool
	rank   int
	router int
	began  time.Time
	engine *engine
	boot   uint64
}

// engine is a fake with a bounded prefix cache, least recently used first out.
type engine struct {
	target   config.Target
	inFlight int
	history  []int
	cache    map[hash.Key]float64
	used     map[hash.Key]time.Time
	size     float64
	limit    float64
	up       bool
	boot     uint64
	seq      uint64
}

// serve returns the cached part of a prompt and caches all of it.
func (e *engine) serve(j *job, now time.Time) float64 {
	hit := min(e.cache[j.chat], j.tokens)
	e.size += j.tokens - e.cache[j.chat]
	e.cache[j.chat], e.used[j.chat] = j.tokens, now
	for e.size > e.limit {
		var oldest hash.Key
		for k, at := range e.used {
			if oldest == 0 || at.Before(e.used[oldest]) {
				oldest = k
			}
		}
		e.size -= e.cache[oldest]
		delete(e.cache, oldest)
		delete(e.used, oldest)
	}
	return hit
}

func (e *engine) clear() {
	e.cache, e.used, e.size = map[hash.Key]float64{}, map[hash.Key]time.Time{}, 0
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(d), w.seq, do})
}

func (w *world) run(until time.Time) {
	for len(w.events) > 0 && w.events[0].at.Before(until) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

const (
	service  = "text"
	model    = "m"
	hop      = 500 * time.Microsecond
	tickTime = 50 * time.Millisecond
)

// profile is a user's fleet and traffic.
type profile struct {
	zones, hosts, engines, slots int
	multiple                     float64
	perEngine                    float64
	chats                        int
	surge                        bool
	churn                        bool
	urgent                       bool
	// keepRouters leaves out the loss of a router.
	keepRouters bool
}

func must(cfg config.Config, ch config.Change) config.Config {
	next, err := cfg.With(ch)
	if err != nil {
		panic(err)
	}
	return next
}

func keyOf(account string) string { return fmt.Sprintf("%064x", uint64(hash.Of(account))) }

func init() { //nolint:gochecknoinits // gob's registry is global.
	for _, t := range host.WireTypes() {
		gob.RegisterName(t.Name, t.Value)
	}
}

func newWorld(p profile, seed uint64) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), engines: map[ident.Target]*engine{},
		calls: map[ident.Request]*job{}, wait: map[int][]time.Duration{}, lag: 2 * time.Second,
		encoders: map[[2]int]*gob.Encoder{}, sink: &bytes.Buffer{},
	}
	var cfg config.Config
	for i, id := range []ident.Class{"urgent", "normal", "bulk"} {
		cfg = must(cfg, config.PutClass{Class: config.Class{ID: id, Rank: i, QueueLimit: 512, MaxWait: config.Duration(time.Minute)}})
	}
	cfg = must(cfg, config.PutService{Service: config.Service{ID: service, Kind: config.KindEngine, Multiple: p.multiple}})
	cfg = must(cfg, config.PutModel{Model: config.Model{ID: model, Service: service}})
	for i := range 10 {
		name := fmt.Sprintf("account-%d", i)
		cfg = must(cfg, config.PutAccount{Account: config.Account{
			ID: ident.Account(name), KeyHash: keyOf(name), Classes: []ident.Class{"normal", "urgent", "bulk"},
		}})
	}
	for i := range p.engines {
		t := config.Target{
			ID: ident.Target(fmt.Sprintf("e%03d", i)), Service: service, Zone: zone(i % p.zones),
			Address: "127.0.0.1:1", Slots: p.slots, Models: []ident.Model{model},
		}
		cfg = must(cfg, config.PutTarget{Target: t})
		e := &engine{target: t, up: true, boot: 1, limit: 400_000}
		e.clear()
		w.engines[t.ID] = e
		w.order = append(w.order, e)
	}
	for i := range p.hosts {
		cfg = must(cfg, config.PutHost{Host: config.Host{
			ID: hostName(i), Zone: zone(i % p.zones), Address: "127.0.0.1:1", Serves: true,
		}})
	}
	w.cfg = cfg
	for i := range p.hosts {
		w.views = append(w.views, map[ident.Target]int{})
		w.down = append(w.down, false)
		w.hosts = append(w.hosts, w.boot(i, p))
		w.after(time.Duration(i)*tickTime/time.Duration(p.hosts), func() { w.tick(i) })
	}
	return w
}

func zone(i int) ident.Zone     { return ident.Zone(fmt.Sprintf("z%d", i)) }
func hostName(i int) ident.Host { return ident.Host(fmt.Sprintf("h%02d", i)) }

func (w *world) boot(i int, p profile) host.State {
	s := host.New(host.Settings{
		ID: hostName(i), Zone: zone(i % p.zones), Serves: true, Incarnation: uint64(w.now.UnixNano()),
		Replicas: []config.Host{{ID: "state", Address: "127.0.0.1:1"}},
	}, uint64(i), w.now)
	s, _ = host.Reduce(s, host.MessageReceived{From: "state", Message: host.WholeConfig{
		Leader: "state", Fresh: true, Document: w.cfg.Document(),
	}}, w.now)
	return s
}

func (w *world) tick(i int) {
	if !w.down[i] {
		w.reduce(i, host.Tick{})
	}
	w.after(tickTime, func() { w.tick(i) })
}

func (w *world) reduce(i int, ev host.Event) {
	next, effects := host.Reduce(w.hosts[i], ev, w.now)
	w.hosts[i] = next
	for _, e := range effects {
		w.carryOut(i, e)
	}
}

func (w *world) carryOut(i int, e host.Effect) {
	switch e := e.(type) {
	case host.Send:
		to := slices.IndexFunc(w.hosts, func(s host.State) bool { return s.ID() == e.To })
		w.count(i, to, e.Message)
		if _, answer := e.Message.(host.PermitReply); answer && w.loseGrants {
			return
		}
		if to >= 0 {
			from := hostName(i)
			w.after(hop, func() {
				if !w.down[to] {
					w.reduce(to, host.MessageReceived{From: from, Message: e.Message})
				}
			})
		}
	case host.Dispatch:
		w.dispatch(i, e)
	case host.Finish:
		if w.fin != nil {
			w.fin(e)
		}
		switch e.Verdict.Outcome {
		case outcome.NotRun:
			w.notRun++
		case outcome.Unknown:
			w.unknown++
		case outcome.Ran:
		}
		delete(w.calls, e.Request)
	case host.Probe:
		en := w.engines[e.Target.ID]
		en.seq++
		r := host.LoadReported{Target: e.Target.ID, Failed: !en.up, Boot: en.boot, Seq: en.seq, InFlight: en.lagged(w.lag)}
		w.after(hop, func() { w.reduce(i, r) })
	}
}

// lagged is the load as a report of that lag shows it.
func (e *engine) lagged(lag time.Duration) int {
	at := len(e.history) - int(lag/(100*time.Millisecond))
	if at < 0 || len(e.history) == 0 {
		return e.inFlight
	}
	return e.history[min(at, len(e.history)-1)]
}

// count adds a message's encoded size. gob sends a type once per connection,
// so each pair of hosts has its own encoder.
func (w *world) count(from, to int, m host.Message) {
	w.msgs++
	pair := [2]int{from, to}
	enc, ok := w.encoders[pair]
	if !ok {
		enc = gob.NewEncoder(w.sink)
		w.encoders[pair] = enc
	}
	if err := enc.Encode(&m); err != nil {
		panic(err)
	}
	w.bytes += int64(w.sink.Len())
	w.sink.Reset()
}

func (w *world) dispatch(i int, d host.Dispatch) {
	j := w.calls[d.Request]
	if j == nil {
		return
	}
	e := w.engines[d.Target.ID]
	if !e.up {
		w.after(hop, func() { w.ended(i, j, d.Attempt, outcome.NeverSent{Reason: "down"}) })
		return
	}
	w.wait[j.rank] = append(w.wait[j.rank], w.now.Sub(j.began))
	w.start(e, j, func(ok bool) {
		var a outcome.Attempt = outcome.Answered{Status: 200}
		if !ok {
			a = outcome.Interrupted{Reason: "engine lost"}
		}
		w.ended(i, j, d.Attempt, a)
	})
}

func (w *world) ended(i int, j *job, attempt int, a outcome.Attempt) {
	if !w.down[i] {
		w.reduce(i, host.AttemptEnded{Request: j.id, Attempt: attempt, Result: a})
	}
}

// start runs a job on an engine; done tells whether it was whole.
func (w *world) start(e *engine, j *job, done func(bool)) {
	hit := e.serve(j, w.now)
	if !j.fresh {
		w.cached += hit
		w.prompt += j.tokens
	}
	e.inFlight++
	boot := e.boot
	j.engine, j.boot = e, boot
	took := time.Duration((j.tokens-hit)/8*1000)*time.Microsecond + time.Duration(float64(answerTime)*(0.4+1.2*w.rng.Float64()))
	w.after(took, func() {
		if e.boot != boot || j.engine == nil {
			done(false)
			return
		}
		e.inFlight--
		j.engine = nil
		done(true)
	})
}

// answerTime is the mean time of decoding an answer.
const answerTime = 4 * time.Second

// replace takes an engine away and brings an empty one in its place.
func (w *world) replace(e *engine, away time.Duration) {
	e.up, e.inFlight = false, 0
	e.boot++
	e.clear()
	w.after(away, func() { e.up = true })
}

// cut makes an engine unreachable for a while; it keeps its cache.
func (w *world) cut(e *engine, away time.Duration) {
	e.up, e.inFlight = false, 0
	e.boot++
	w.after(away, func() { e.up = true })
}

func (w *world) sample() {
	total, most, live := 0, 0, 0
	for _, e := range w.order {
		e.history = append(e.history, e.inFlight)
		if e.up {
			live++
			total += e.inFlight
			most = max(most, e.inFlight)
		}
	}
	if total > 0 {
		w.skews = append(w.skews, float64(most)*float64(live)/float64(total))
	}
	w.after(100*time.Millisecond, w.sample)
}

// load sends returning chats at a rate that gives perEngine in flight; in a
// surge half of the traffic is one account's few chats.
func (w *world) load(p profile) {
	type chatState struct {
		tokens float64
		turns  int
	}
	states := map[int]*chatState{}
	rate := p.perEngine * float64(p.engines) / (answerTime + 300*time.Millisecond).Seconds()
	n := 0
	var arrive func()
	arrive = func() {
		w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
		n++
		account, c := w.rng.IntN(9)+1, w.rng.IntN(p.chats)
		if p.surge && w.rng.IntN(2) == 0 {
			account, c = 0, -1-w.rng.IntN(p.chats/20+1)
		}
		st := states[c]
		if st == nil || st.turns >= 10 {
			turn := 0
			if st != nil {
				turn = st.turns / 10 * 1000
			}
			st = &chatState{turns: turn % 10}
			states[c] = st
		}
		fresh := st.turns == 0
		st.turns++
		st.tokens += 200 + 200*w.rng.Float64()
		rank := 1
		if p.urgent && w.rng.IntN(10) == 0 {
			rank = 0
		}
		w.arrive(account, &job{
			id: ident.Request(fmt.Sprintf("r%d", n)), chat: hash.Of(fmt.Sprint(account, c)), tokens: st.tokens,
			fresh: fresh, rank: rank, router: w.rng.IntN(p.hosts), began: w.now,
		})
	}
	arrive()
}

func (w *world) arrive(account int, j *job) {
	for w.down[j.router] {
		j.router = (j.router + 1) % len(w.hosts)
	}
	if w.pick != nil {
		e := w.pick(w, j.router, j)
		if !e.up {
			w.unknown++
			return
		}
		w.views[j.router][e.target.ID]++
		w.start(e, j, func(bool) { w.views[j.router][e.target.ID]-- })
		return
	}
	w.calls[j.id] = j
	class := ident.Class("normal")
	if j.rank == 0 {
		class = "urgent"
	}
	w.reduce(j.router, host.RequestArrived{Request: host.Request{
		ID: j.id, KeyHash: keyOf(fmt.Sprintf("account-%d", account)), Model: model, Chat: j.chat, Class: class,
		Work: int64(j.tokens), Deadline: w.now.Add(2 * time.Minute),
	}})
}

// churnEngines replaces a tenth of the engines each ten minutes, makes one
// flap, and takes one router away for a while.
func (w *world) churnEngines(p profile) {
	every := 10 * time.Minute / time.Duration(max(1, p.engines/10))
	next := 0
	var step func()
	step = func() {
		w.after(every, step)
		w.replace(w.order[(next*7)%len(w.order)], 20*time.Second)
		next++
	}
	w.after(every/2, step)
	flap := w.order[len(w.order)-1]
	var flaps func()
	flaps = func() {
		w.after(30*time.Second, flaps)
		w.cut(flap, 3*time.Second)
	}
	w.after(10*time.Second, flaps)
	if p.keepRouters {
		return
	}
	w.after(2*time.Minute, func() { w.stopRouter(len(w.down) - 1) })
	w.after(3*time.Minute, func() {
		i := len(w.down) - 1
		w.hosts[i] = w.boot(i, p)
		w.down[i] = false
	})
}

// stopRouter kills a router: its connections break, and engines end what they
// did for it.
func (w *world) stopRouter(i int) {
	w.down[i] = true
	for id, j := range w.calls {
		if j.router == i && j.engine != nil && j.engine.boot == j.boot {
			j.engine.inFlight--
			j.engine = nil
		}
		if j.router == i {
			delete(w.calls, id)
		}
	}
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	v := slices.Clone(values)
	slices.Sort(v)
	return v[min(len(v)-1, int(q*float64(len(v))))]
}
