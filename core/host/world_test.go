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

// simulation runs host reducers and simulated engines on a virtual clock.
type simulation struct {
	rng          *rand.Rand
	now          time.Time
	events       eventHeap
	seq          int
	hosts        []host.State
	down         []bool
	cfg          config.Config
	engines      map[ident.Target]*engine
	order        []*engine
	calls        map[ident.Request]*job
	pickEngine   func(w *simulation, router int, j *job) *engine
	routerCounts []map[ident.Target]int
	onFinish     func(host.Finish)
	// dropPermitReplies loses the owners' answers to permit requests.
	dropPermitReplies bool

	cachedTokens, promptTokens float64
	skews                      []float64
	messages                   int
	bytes                      int64
	notRun, unknown            int
	queueWaits                 map[int][]time.Duration
	reportLag                  time.Duration
	encoders                   map[[2]int]*gob.Encoder
	sink                       *bytes.Buffer
}

// job is a turn of a chat.
type job struct {
	id          ident.Request
	chat        hash.Key
	tokens      float64
	firstTurn   bool
	rank        int
	router      int
	arrivedAt   time.Time
	engine      *engine
	incarnation uint64
}

// engine simulates an engine with a bounded LRU prefix cache, measured in tokens.
type engine struct {
	target      config.Target
	inFlight    int
	loadHistory []int
	cache       map[hash.Key]float64
	lastUsed    map[hash.Key]time.Time
	cacheSize   float64
	cacheLimit  float64
	up          bool
	incarnation uint64
	seq         uint64
}

// cachePrompt returns the cached part of a prompt and caches all of it.
func (e *engine) cachePrompt(j *job, now time.Time) float64 {
	hit := min(e.cache[j.chat], j.tokens)
	e.cacheSize += j.tokens - e.cache[j.chat]
	e.cache[j.chat], e.lastUsed[j.chat] = j.tokens, now
	for e.cacheSize > e.cacheLimit {
		var oldest hash.Key
		for k, at := range e.lastUsed {
			if oldest == 0 || at.Before(e.lastUsed[oldest]) {
				oldest = k
			}
		}
		e.cacheSize -= e.cache[oldest]
		delete(e.cache, oldest)
		delete(e.lastUsed, oldest)
	}
	return hit
}

func (e *engine) clear() {
	e.cache, e.lastUsed, e.cacheSize = map[hash.Key]float64{}, map[hash.Key]time.Time{}, 0
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

func (w *simulation) schedule(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(d), w.seq, do})
}

func (w *simulation) run(until time.Time) {
	for len(w.events) > 0 && w.events[0].at.Before(until) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

const (
	service      = "text"
	model        = "m"
	networkDelay = 500 * time.Microsecond
	tickInterval = 50 * time.Millisecond
)

// profile describes a fleet and its traffic.
type profile struct {
	zones, hosts, engines, slots int
	multiple                     float64
	inFlightPerEngine            float64
	chats                        int
	surge                        bool
	churn                        bool
	urgent                       bool
	// keepRouters disables the loss of a router.
	keepRouters bool
}

func mustApply(cfg config.Config, ch config.Change) config.Config {
	next, err := cfg.With(ch)
	if err != nil {
		panic(err)
	}
	return next
}

func keyHashOf(account string) string { return fmt.Sprintf("%064x", uint64(hash.Of(account))) }

func init() { //nolint:gochecknoinits // gob's registry is global.
	for _, t := range host.WireTypes() {
		gob.RegisterName(t.Name, t.Value)
	}
}

func newSimulation(p profile, seed uint64) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), engines: map[ident.Target]*engine{},
		calls: map[ident.Request]*job{}, queueWaits: map[int][]time.Duration{}, reportLag: 2 * time.Second,
		encoders: map[[2]int]*gob.Encoder{}, sink: &bytes.Buffer{},
	}
	var cfg config.Config
	for i, id := range []ident.Class{"urgent", "normal", "bulk"} {
		cfg = mustApply(cfg, config.PutClass{Class: config.Class{ID: id, Rank: i, QueueLimit: 512, MaxWait: config.Duration(time.Minute)}})
	}
	cfg = mustApply(cfg, config.PutService{Service: config.Service{ID: service, Kind: config.KindEngine, Multiple: p.multiple}})
	cfg = mustApply(cfg, config.PutModel{Model: config.Model{ID: model, Service: service}})
	for i := range 10 {
		name := fmt.Sprintf("account-%d", i)
		cfg = mustApply(cfg, config.PutAccount{Account: config.Account{
			ID: ident.Account(name), KeyHash: keyHashOf(name), Classes: []ident.Class{"normal", "urgent", "bulk"},
		}})
	}
	for i := range p.engines {
		t := config.Target{
			ID: ident.Target(fmt.Sprintf("e%03d", i)), Service: service, Zone: zone(i % p.zones),
			Address: "127.0.0.1:1", Slots: p.slots, Models: []ident.Model{model},
		}
		cfg = mustApply(cfg, config.PutTarget{Target: t})
		e := &engine{target: t, up: true, incarnation: 1, cacheLimit: 400_000}
		e.clear()
		w.engines[t.ID] = e
		w.order = append(w.order, e)
	}
	for i := range p.hosts {
		cfg = mustApply(cfg, config.PutHost{Host: config.Host{
			ID: hostName(i), Zone: zone(i % p.zones), Address: "127.0.0.1:1", Serves: true,
		}})
	}
	w.cfg = cfg
	for i := range p.hosts {
		w.routerCounts = append(w.routerCounts, map[ident.Target]int{})
		w.down = append(w.down, false)
		w.hosts = append(w.hosts, w.startHost(i, p))
		w.schedule(time.Duration(i)*tickInterval/time.Duration(p.hosts), func() { w.tick(i) })
	}
	return w
}

func zone(i int) ident.Zone     { return ident.Zone(fmt.Sprintf("z%d", i)) }
func hostName(i int) ident.Host { return ident.Host(fmt.Sprintf("h%02d", i)) }

func (w *simulation) startHost(i int, p profile) host.State {
	s := host.New(host.Settings{
		ID: hostName(i), Zone: zone(i % p.zones), Serves: true, Incarnation: uint64(w.now.UnixNano()),
		Replicas: []config.Host{{ID: "state", Address: "127.0.0.1:1"}},
	}, uint64(i), w.now)
	s, _ = host.Reduce(s, host.MessageReceived{From: "state", Message: host.WholeConfig{
		Leader: "state", Fresh: true, Document: w.cfg.Document(),
	}}, w.now)
	return s
}

func (w *simulation) tick(i int) {
	if !w.down[i] {
		w.reduce(i, host.Tick{})
	}
	w.schedule(tickInterval, func() { w.tick(i) })
}

func (w *simulation) reduce(i int, ev host.Event) {
	next, effects := host.Reduce(w.hosts[i], ev, w.now)
	w.hosts[i] = next
	for _, e := range effects {
		w.applyEffect(i, e)
	}
}

func (w *simulation) applyEffect(i int, e host.Effect) {
	switch e := e.(type) {
	case host.Send:
		to := slices.IndexFunc(w.hosts, func(s host.State) bool { return s.ID() == e.To })
		w.countMessage(i, to, e.Message)
		if _, answer := e.Message.(host.PermitReply); answer && w.dropPermitReplies {
			return
		}
		if to >= 0 {
			from := hostName(i)
			w.schedule(networkDelay, func() {
				if !w.down[to] {
					w.reduce(to, host.MessageReceived{From: from, Message: e.Message})
				}
			})
		}
	case host.Dispatch:
		w.dispatch(i, e)
	case host.Finish:
		if w.onFinish != nil {
			w.onFinish(e)
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
		r := host.LoadReported{Target: e.Target.ID, Failed: !en.up, Incarnation: en.incarnation, Seq: en.seq, InFlight: en.laggedLoad(w.reportLag)}
		w.schedule(networkDelay, func() { w.reduce(i, r) })
	}
}

// laggedLoad returns the number of requests in flight that a load report with the given lag shows.
func (e *engine) laggedLoad(lag time.Duration) int {
	at := len(e.loadHistory) - int(lag/(100*time.Millisecond))
	if at < 0 || len(e.loadHistory) == 0 {
		return e.inFlight
	}
	return e.loadHistory[min(at, len(e.loadHistory)-1)]
}

// countMessage adds a message's encoded size. gob sends a type once per connection, so each pair of
// hosts has its own encoder.
func (w *simulation) countMessage(from, to int, m host.Message) {
	w.messages++
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

func (w *simulation) dispatch(i int, d host.Dispatch) {
	j := w.calls[d.Request]
	if j == nil {
		return
	}
	e := w.engines[d.Target.ID]
	if !e.up {
		w.schedule(networkDelay, func() { w.endAttempt(i, j, d.Attempt, outcome.NeverSent{Reason: "down"}) })
		return
	}
	w.queueWaits[j.rank] = append(w.queueWaits[j.rank], w.now.Sub(j.arrivedAt))
	w.runJob(e, j, func(ok bool) {
		var a outcome.Attempt = outcome.Answered{Status: 200}
		if !ok {
			a = outcome.Interrupted{Reason: "engine lost"}
		}
		w.endAttempt(i, j, d.Attempt, a)
	})
}

func (w *simulation) endAttempt(i int, j *job, attempt int, a outcome.Attempt) {
	if !w.down[i] {
		w.reduce(i, host.AttemptEnded{Request: j.id, Attempt: attempt, Result: a})
	}
}

// runJob runs a job on an engine and reports to done whether it completed.
func (w *simulation) runJob(e *engine, j *job, done func(bool)) {
	hit := e.cachePrompt(j, w.now)
	if !j.firstTurn {
		w.cachedTokens += hit
		w.promptTokens += j.tokens
	}
	e.inFlight++
	incarnation := e.incarnation
	j.engine, j.incarnation = e, incarnation
	took := time.Duration((j.tokens-hit)/8*1000)*time.Microsecond + time.Duration(float64(meanDecodeTime)*(0.4+1.2*w.rng.Float64()))
	w.schedule(took, func() {
		if e.incarnation != incarnation || j.engine == nil {
			done(false)
			return
		}
		e.inFlight--
		j.engine = nil
		done(true)
	})
}

// meanDecodeTime is the mean time to decode an answer.
const meanDecodeTime = 4 * time.Second

// replaceEngine removes an engine and starts an empty one in its place after a while.
func (w *simulation) replaceEngine(e *engine, away time.Duration) {
	e.up, e.inFlight = false, 0
	e.incarnation++
	e.clear()
	w.schedule(away, func() { e.up = true })
}

// disconnectEngine makes an engine unreachable for a while; it keeps its cache.
func (w *simulation) disconnectEngine(e *engine, away time.Duration) {
	e.up, e.inFlight = false, 0
	e.incarnation++
	w.schedule(away, func() { e.up = true })
}

func (w *simulation) sampleLoads() {
	total, most, live := 0, 0, 0
	for _, e := range w.order {
		e.loadHistory = append(e.loadHistory, e.inFlight)
		if e.up {
			live++
			total += e.inFlight
			most = max(most, e.inFlight)
		}
	}
	if total > 0 {
		w.skews = append(w.skews, float64(most)*float64(live)/float64(total))
	}
	w.schedule(100*time.Millisecond, w.sampleLoads)
}

// generateLoad sends turns of returning chats at a rate that keeps inFlightPerEngine requests in
// flight. In a surge, half of the traffic comes from a few chats of one account.
func (w *simulation) generateLoad(p profile) {
	type chatState struct {
		tokens float64
		turns  int
	}
	states := map[int]*chatState{}
	rate := p.inFlightPerEngine * float64(p.engines) / (meanDecodeTime + 300*time.Millisecond).Seconds()
	n := 0
	var arrive func()
	arrive = func() {
		w.schedule(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
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
			firstTurn: fresh, rank: rank, router: w.rng.IntN(p.hosts), arrivedAt: w.now,
		})
	}
	arrive()
}

func (w *simulation) arrive(account int, j *job) {
	for w.down[j.router] {
		j.router = (j.router + 1) % len(w.hosts)
	}
	if w.pickEngine != nil {
		e := w.pickEngine(w, j.router, j)
		if !e.up {
			w.unknown++
			return
		}
		w.routerCounts[j.router][e.target.ID]++
		w.runJob(e, j, func(bool) { w.routerCounts[j.router][e.target.ID]-- })
		return
	}
	w.calls[j.id] = j
	class := ident.Class("normal")
	if j.rank == 0 {
		class = "urgent"
	}
	w.reduce(j.router, host.RequestArrived{Request: host.Request{
		ID: j.id, KeyHash: keyHashOf(fmt.Sprintf("account-%d", account)), Model: model, Chat: j.chat, Class: class,
		Work: int64(j.tokens), Deadline: w.now.Add(2 * time.Minute),
	}})
}

// churnEngines replaces a tenth of the engines every ten minutes, disconnects one repeatedly, and
// stops one router for a while.
func (w *simulation) churnEngines(p profile) {
	every := 10 * time.Minute / time.Duration(max(1, p.engines/10))
	next := 0
	var step func()
	step = func() {
		w.schedule(every, step)
		w.replaceEngine(w.order[(next*7)%len(w.order)], 20*time.Second)
		next++
	}
	w.schedule(every/2, step)
	flap := w.order[len(w.order)-1]
	var flaps func()
	flaps = func() {
		w.schedule(30*time.Second, flaps)
		w.disconnectEngine(flap, 3*time.Second)
	}
	w.schedule(10*time.Second, flaps)
	if p.keepRouters {
		return
	}
	w.schedule(2*time.Minute, func() { w.stopRouter(len(w.down) - 1) })
	w.schedule(3*time.Minute, func() {
		i := len(w.down) - 1
		w.hosts[i] = w.startHost(i, p)
		w.down[i] = false
	})
}

// stopRouter stops a router abruptly: its connections break, and engines abort its requests.
func (w *simulation) stopRouter(i int) {
	w.down[i] = true
	for id, j := range w.calls {
		if j.router == i && j.engine != nil && j.engine.incarnation == j.incarnation {
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
