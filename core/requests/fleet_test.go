// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/confirmation"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// A simulation of a fleet: hundreds of hosts, each with its own State, and engines that read
// prompts, cache prefixes and generate tokens. Hosts receive reports of each other's requests
// late. The results show how often prefixes are found cached, what is read again, and how engines
// are loaded.

// requestKind is one kind of request.
type requestKind struct {
	path      string
	perSecond float64
	// system and subject are the tokens of the parts that requests share, systems and subjects
	// the numbers of different parts; own are the tokens of a request's own part.
	system, subject, own int
	systems, subjects    int
	// tokensOut is the number of tokens generated.
	tokensOut int
	// objective is the time to the first token.
	objective time.Duration
}

// fleetLoad describes a fleet and its traffic.
type fleetLoad struct {
	hosts, engines, zones int
	kinds                 []requestKind
	// reportAge is the age of other hosts' loads when a host receives them.
	reportAge time.Duration
	// hot is the fraction of the first kind that shares one subject, from hotFrom to hotTo.
	hot            float64
	hotFrom, hotTo time.Duration
	// burst multiplies all traffic from hotFrom to hotTo.
	burst float64
	// replaceInterval, if set, is the time between replacements of an engine by a new one.
	replaceInterval time.Duration
	// cold is how long a new engine that replaces another one is cold.
	cold time.Duration
	// replaced is the fraction of engines at whose addresses another process answers from hotFrom
	// to hotTo. With unreported, hosts share neither these observations nor their retry spending.
	replaced   float64
	unreported bool
	// cacheTokens is the cache size of an engine in tokens; 0 is defaultCacheTokens.
	cacheTokens int
	// drained is a zone that is drained at hotFrom; empty for none.
	drained ident.Zone
}

// longPromptLoad is the traffic of many hosts to lightly loaded engines: long prompts that share
// most of their tokens, short ones, and ones with few output tokens.
func longPromptLoad() fleetLoad {
	return fleetLoad{
		hosts: 295, engines: 160, zones: 5, reportAge: 700 * time.Millisecond, burst: 1,
		kinds: []requestKind{
			{path: "/plan/x", perSecond: 128, system: 512, subject: 10000, own: 1300, systems: 3, subjects: 287, tokensOut: 378, objective: 1200 * time.Millisecond},
			{path: "/brief/x", perSecond: 228, system: 119, subject: 580, own: 130, systems: 32, subjects: 513, tokensOut: 294, objective: 600 * time.Millisecond},
			{path: "/tag/x", perSecond: 196, system: 341, subject: 1700, own: 360, systems: 80, subjects: 991, tokensOut: 28, objective: 800 * time.Millisecond},
		},
	}
}

// shortPromptLoad is the traffic of fewer hosts to engines with a smaller cache, mostly short
// prompts.
func shortPromptLoad() fleetLoad {
	return fleetLoad{
		hosts: 72, engines: 90, zones: 3, reportAge: 450 * time.Millisecond, burst: 1, cacheTokens: 292_990,
		kinds: []requestKind{
			{path: "/plan/x", perSecond: 77.4, system: 512, subject: 10000, own: 1300, systems: 3, subjects: 312, tokensOut: 380, objective: 1200 * time.Millisecond},
			{path: "/brief/x", perSecond: 240, system: 119, subject: 580, own: 130, systems: 8, subjects: 371, tokensOut: 290, objective: 500 * time.Millisecond},
			{path: "/tag/x", perSecond: 118, system: 341, subject: 1700, own: 360, systems: 8, subjects: 477, tokensOut: 20, objective: 600 * time.Millisecond},
		},
	}
}

// Engine model: tokens read per millisecond, duration of a step and its increase per request,
// cache size in tokens, and the steps of the simulation.
const (
	readPerMs          = 48.2
	stepMs             = 2.6
	stepMsEach         = 0.12
	defaultCacheTokens = 423_395
	simStep            = 10 * time.Millisecond
	reportEvery        = 300 * time.Millisecond
	engineSlots        = 64
	subjectSkew        = 0.3
	// readAgainWithin is how recently another engine must have used a part for reading it to
	// count as reading again.
	readAgainWithin = 10 * time.Second
)

// job is a request at an engine.
type job struct {
	id      ident.Request
	host    int
	attempt int
	kind    *requestKind
	route   string
	parts   []requests.Part
	from    string
	// unread is the number of prompt tokens still to be read, left that of tokens still to be
	// generated.
	unread float64
	left   float64
	first  bool
}

type simEngine struct {
	worker    registry.Worker
	jobs      []*job
	cache     map[string]cachedPart
	tokens    int
	leaving   bool
	maxTokens int
	// replaced is set if another process may answer at the address.
	replaced bool
}

type cachedPart struct {
	tokens int
	used   time.Time
}

// simRequest is a request in progress.
type simRequest struct {
	kind    *requestKind
	request requests.Request
	arrived time.Time
}

type simFleet struct {
	load    fleetLoad
	random  *rand.Rand
	now     time.Time
	began   time.Time
	hosts   []requests.State
	engines []*simEngine
	byAddr  map[string]*simEngine
	calls   map[ident.Request]simRequest
	sizes   map[string]int
	reports []loadReport
	added   int
	results fleetResults
	// from is when recording begins.
	from time.Time
}

// loadReport holds the requests of all hosts at engines, as of a time.
type loadReport struct {
	asOf  time.Time
	total loads.Digest
	own   []loads.Digest
	// silent holds the workers that a replica treats as silent.
	silent []registry.Worker
}

// fleetResults are the results of a simulation.
type fleetResults struct {
	requests, first, beyondFifth int
	// long counts the requests with the longest prefixes, longFirst those of them sent to the
	// first engine of their rendezvous order.
	long, longFirst int
	// tokens counts all prompt tokens, read those that engines read, readAgain those of shared
	// parts that another engine had cached, copied those copied from another engine.
	tokens, read, readAgain, copied int
	// overBound counts the requests that reached an engine above the promised load bound; worst
	// is the highest ratio of an engine's load to that bound.
	overBound int
	worst     float64
	// late counts the requests whose first token came after the objective; waits are the times to
	// it.
	late  int
	waits []float64
	// declined counts the attempts declined by another process at the engine's address, refused
	// the requests without an answer.
	declined, refused int
}

func (f fleetResults) share(n int) float64 { return float64(n) / float64(max(1, f.requests)) }

// wait returns a quantile of the times to the first token, in milliseconds.
func (f fleetResults) wait(q float64) float64 {
	if len(f.waits) == 0 {
		return 0
	}
	slices.Sort(f.waits)
	return f.waits[int(q*float64(len(f.waits)-1))]
}

func (f fleetResults) String() string {
	return fmt.Sprintf("%d requests: sent to the first engine in rendezvous order %.3f, of those with long prefixes %.3f; to engines after the fifth %.3f; %d thousand prompt tokens: read by engines %.3f, read though cached at another engine %.4f, copied from another engine %.3f; requests above the load bound %.4f, highest ratio to the bound %.2f; late %.4f, first token p50 %.0f p99 %.0f ms; declined %d, refused %d",
		f.requests, f.share(f.first), float64(f.longFirst)/float64(max(1, f.long)), f.share(f.beyondFifth), f.tokens/1000, float64(f.read)/float64(max(1, f.tokens)),
		float64(f.readAgain)/float64(max(1, f.tokens)), float64(f.copied)/float64(max(1, f.tokens)),
		f.share(f.overBound), f.worst, f.share(f.late), f.wait(0.5), f.wait(0.99), f.declined, f.refused)
}

func newSimFleet(l fleetLoad, seed uint64) *simFleet {
	f := &simFleet{
		load: l, random: rand.New(rand.NewPCG(seed, 1)), now: start, began: start,
		byAddr: map[string]*simEngine{}, calls: map[ident.Request]simRequest{}, sizes: map[string]int{},
	}
	for range l.engines {
		f.addEngine()
	}
	all := make([]registry.Worker, 0, l.engines)
	for _, e := range f.engines {
		all = append(all, e.worker)
	}
	for i := range l.hosts {
		zone := ident.Zone(fmt.Sprint("z", i%l.zones))
		s := requests.New(requests.Settings{Host: ident.Host(fmt.Sprint("h", i)), Zone: zone, RetryExtra: 630}).WithRouteTable(f.table()).WithHostCount(l.hosts)
		s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: all}, f.now)
		s, _ = requests.Reduce(s, requests.Confirmed{Confirmation: confirmation.At(f.now)}, f.now)
		s, _ = requests.Reduce(s, requests.LoadsReported{AsOf: f.now}, f.now)
		f.hosts = append(f.hosts, s)
	}
	return f
}

// table has a route for each kind of request, to one pool of engines.
func (f *simFleet) table() config.RouteTable {
	t := config.RouteTable{Number: 1, Pools: []config.Pool{{ID: "engines", Engine: true, Moves: true, ColdPerSecond: coldPerSecond}}}
	for _, k := range f.load.kinds {
		t.Routes = append(t.Routes, config.Route{
			Name: k.path, Host: "a.example", Prefix: k.path[:len(k.path)-1], Kind: config.RouteStream, Public: true,
			Resumable: k.path != "/brief/x", Timeout: config.Duration(12 * time.Second), Objective: config.Duration(k.objective),
			MaxAttempts: 2, Shares: []config.Share{{Pool: "engines", Weight: 1}},
		})
	}
	return t
}

func (f *simFleet) addEngine() *simEngine {
	i := f.added
	f.added++
	e := &simEngine{cache: map[string]cachedPart{}, maxTokens: cmp.Or(f.load.cacheTokens, defaultCacheTokens), worker: registry.Worker{
		ID: ident.Target(fmt.Sprintf("e-%04x", i*7919)), Pool: "engines", Zone: ident.Zone(fmt.Sprint("z", i%f.load.zones)),
		Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Slots: engineSlots, Seq: 1,
	}}
	e.replaced = f.random.Float64() < f.load.replaced
	f.engines = append(f.engines, e)
	f.byAddr[e.worker.Address] = e
	return e
}

// warm is how long engines fill their caches before recording begins.
const warm = 5 * time.Second

// run advances time and records results for a while.
func (f *simFleet) run(counted time.Duration) fleetResults {
	f.from = f.now.Add(warm)
	nextReport, nextReplaced := f.now, f.now.Add(warm)
	for end := f.from.Add(counted); f.now.Before(end); f.now = f.now.Add(simStep) {
		if !f.now.Before(nextReport) {
			nextReport = f.now.Add(reportEvery)
			f.report()
		}
		if f.load.replaceInterval > 0 && !f.now.Before(nextReplaced) {
			nextReplaced = f.now.Add(f.load.replaceInterval)
			f.replaceEngine()
		}
		f.deliverReports()
		f.drainZone()
		f.arrivals()
		for _, e := range f.engines {
			f.step(e)
		}
	}
	return f.results
}

// drainZone drains the load's zone when it is due; all hosts learn of it at once.
func (f *simFleet) drainZone() {
	if f.load.drained == "" || f.now.Sub(f.began) != f.load.hotFrom {
		return
	}
	for i := range f.hosts {
		f.feed(i, requests.Confirmed{Confirmation: confirmation.At(f.now)})
		f.hosts[i] = f.hosts[i].WithDrainedZones(drain(f.load.drained))
	}
}

// surging reports whether the load's surge is in progress.
func (f *simFleet) surging() bool {
	at := f.now.Sub(f.began)
	return at >= f.load.hotFrom && at < f.load.hotTo
}

// report records the loads of all hosts, which they receive reportAge later.
func (f *simFleet) report() {
	r := loadReport{asOf: f.now}
	for _, h := range f.hosts {
		r.own = append(r.own, h.Loads(f.now))
	}
	r.total = loads.Sum(slices.Values(r.own))
	if f.load.unreported {
		r.total = withBudgetSpent(r.total)
	} else {
		r.silent = f.silentWorkers()
	}
	f.reports = append(f.reports, r)
}

// deliverReports delivers reports that are old enough, to one host after the other within
// reportEvery.
func (f *simFleet) deliverReports() {
	steps := int(reportEvery / simStep)
	for i := range f.hosts {
		delay := f.load.reportAge + time.Duration(i%steps)*simStep
		for _, r := range f.reports {
			if age := f.now.Sub(r.asOf); age >= delay && age < delay+simStep {
				f.feed(i, requests.LoadsReported{Loads: r.total.Subtract(r.own[i]), AsOf: r.asOf})
				f.feed(i, requests.Registered{From: "r", Workers: r.silent})
			}
		}
	}
	f.reports = slices.DeleteFunc(f.reports, func(r loadReport) bool { return f.now.Sub(r.asOf) > 2*f.load.reportAge+time.Second })
}

// silentWorkers returns the workers that hosts have found replaced, as replicas report them.
func (f *simFleet) silentWorkers() []registry.Worker {
	var out []registry.Worker
	for _, h := range f.hosts {
		for _, one := range h.Replacements().Recent(f.now) {
			if w, ok := h.Worker(one.Worker); ok {
				w.State = registry.Silent
				out = append(out, w)
			}
		}
	}
	return out
}

// withBudgetSpent returns the report with the fleet's retry budget spent.
func withBudgetSpent(d loads.Digest) loads.Digest {
	c := d.Counts()
	c[loads.TagOf("retries of engines")] = 1 << 19
	return loads.Pack(c)
}

// feed applies an event to a host and starts what it dispatches.
func (f *simFleet) feed(host int, ev requests.Event) {
	next, decisions := requests.Reduce(f.hosts[host], ev, f.now)
	f.hosts[host] = next
	for _, d := range decisions {
		switch d := d.(type) {
		case requests.Dispatch:
			f.startJob(host, d)
		case requests.Finish:
			delete(f.calls, d.Request)
			if d.Verdict.Code != requests.CodeOK && !f.now.Before(f.from) {
				f.results.refused++
			}
		}
	}
}

// arrivals generates the requests of one step.
func (f *simFleet) arrivals() {
	for i := range f.load.kinds {
		k := &f.load.kinds[i]
		rate := k.perSecond
		if f.surging() {
			rate *= f.load.burst
		}
		for range f.poisson(rate * simStep.Seconds()) {
			f.arrive(i, k)
		}
	}
}

func (f *simFleet) poisson(mean float64) int {
	n, p, limit := 0, f.random.Float64(), math.Exp(-mean)
	for p > limit {
		p *= f.random.Float64()
		n++
	}
	return n
}

// arrive generates a request of a kind at a random host.
func (f *simFleet) arrive(number int, k *requestKind) {
	subject := f.zipf(k.subjects)
	if number == 0 && f.surging() && f.random.Float64() < f.load.hot {
		subject = 0
	}
	system := subject % k.systems
	name := func(what string, i int) string { return fmt.Sprint(k.path, what, i) }
	r := requests.Request{
		ID: ident.Request(fmt.Sprintf("%016x", f.random.Uint64())), Host: "a.example", Path: k.path,
		Deadline: f.now.Add(12 * time.Second),
	}
	own := 1 + int(f.random.ExpFloat64()*float64(k.own))
	r.Prompt.Parts = []requests.Part{
		{ID: name("system", system), Tokens: f.size(name("system", system), k.system)},
		{ID: name("subject", subject), Tokens: f.size(name("subject", subject), k.subject)},
		{ID: string(r.ID), Tokens: own},
	}
	r.Prompt.Model, r.Prompt.TokensOut = "m", k.tokensOut
	for _, p := range r.Prompt.Parts {
		r.Prompt.TokensIn += p.Tokens
	}
	f.calls[r.ID] = simRequest{kind: k, request: r, arrived: f.now}
	f.feed(f.random.IntN(len(f.hosts)), requests.Arrived{Request: r})
}

// size returns the number of tokens of a shared part, the same each time.
func (f *simFleet) size(part string, mean int) int {
	if n, ok := f.sizes[part]; ok {
		return n
	}
	n := 1 + int(float64(mean)*math.Exp(0.5*f.random.NormFloat64()-0.125))
	f.sizes[part] = n
	return n
}

// zipf draws one of n items, the first ones more often.
func (f *simFleet) zipf(n int) int {
	return min(n-1, int(float64(n)*math.Pow(f.random.Float64(), 1/(1-subjectSkew))))
}

// startJob starts a request at the engine that its host chose.
func (f *simFleet) startJob(host int, d requests.Dispatch) {
	e, call := f.byAddr[d.Worker.Address], f.calls[d.Request]
	if e.replaced && f.surging() {
		f.results.declined++
		f.feed(host, requests.AttemptEnded{
			Request: d.Request, Attempt: d.Attempt, Result: outcome.Declined{Leaving: true}, CallerWaiting: true,
		})
		return
	}
	j := &job{
		id: d.Request, host: host, attempt: d.Attempt, kind: call.kind, route: d.Route.Name,
		parts: call.request.Prompt.Parts, from: d.CacheFrom, left: float64(call.kind.tokensOut),
	}
	f.record(e, j, d)
	e.jobs = append(e.jobs, j)
}

// record adds a dispatch to the results.
func (f *simFleet) record(e *simEngine, j *job, d requests.Dispatch) {
	total, engines := 0, 0
	for _, other := range f.engines {
		if !other.leaving {
			total += len(other.jobs)
			engines++
		}
	}
	own, shared, copied, reread := f.planRead(e, j)
	j.unread = float64(own + shared)
	if f.now.Before(f.from) {
		return
	}
	g := &f.results
	g.requests++
	if d.Inputs.Position == 0 {
		g.first++
	}
	if j.kind == &f.load.kinds[0] {
		g.long++
		if d.Inputs.Position == 0 {
			g.longFirst++
		}
	}
	if d.Inputs.Position >= 5 { //nolint:mnd // The fifth.
		g.beyondFifth++
	}
	for _, p := range j.parts {
		g.tokens += p.Tokens
	}
	g.read += own + shared
	g.copied += copied
	g.readAgain += reread
	promised := requests.DefaultLoadFactor*float64(total)/float64(engines) + promisedSlack
	if float64(len(e.jobs)) > promised {
		g.overBound++
	}
	g.worst = max(g.worst, float64(len(e.jobs)+1)/promised)
}

// promisedSlack is the number of requests allowed beyond the multiple of the mean.
const promisedSlack = 3

// planRead returns the tokens that an engine must read of a prompt: of the request's own part and
// of shared parts. copied are shared tokens copied from the cache source, reread those read
// although another engine has them cached.
func (f *simFleet) planRead(e *simEngine, j *job) (own, shared, copied, reread int) {
	source := f.byAddr[j.from]
	holds := func(e *simEngine, part string) bool {
		if e == nil {
			return false
		}
		_, ok := e.cache[part]
		return ok
	}
	here, there := true, true
	for i, p := range j.parts {
		here = here && holds(e, p.ID)
		there = there && (here || holds(source, p.ID))
		switch {
		case i == len(j.parts)-1:
			own = p.Tokens
		case here:
		case there:
			copied += p.Tokens
		default:
			shared += p.Tokens
			if f.cachedElsewhere(e, p.ID) {
				reread += p.Tokens
			}
		}
	}
	for _, p := range j.parts[:len(j.parts)-1] {
		e.cachePart(p, f.now)
	}
	return own, shared, copied, reread
}

// cachedElsewhere reports whether another engine has used a part recently.
func (f *simFleet) cachedElsewhere(but *simEngine, part string) bool {
	return slices.ContainsFunc(f.engines, func(e *simEngine) bool {
		k, ok := e.cache[part]
		return e != but && ok && f.now.Sub(k.used) < readAgainWithin
	})
}

// cachePart adds a part to an engine's cache and evicts the least recently used ones.
func (e *simEngine) cachePart(p requests.Part, now time.Time) {
	if _, ok := e.cache[p.ID]; !ok {
		e.tokens += p.Tokens
	}
	e.cache[p.ID] = cachedPart{p.Tokens, now}
	for e.tokens > e.maxTokens {
		oldest := ""
		for id, k := range e.cache {
			if oldest == "" || k.used.Before(e.cache[oldest].used) || k.used.Equal(e.cache[oldest].used) && id < oldest {
				oldest = id
			}
		}
		e.tokens -= e.cache[oldest].tokens
		delete(e.cache, oldest)
	}
}

// step lets an engine read and generate tokens for one step.
func (f *simFleet) step(e *simEngine) {
	ms := float64(simStep) / float64(time.Millisecond)
	budget := readPerMs * ms
	made := ms / (stepMs + stepMsEach*float64(len(e.jobs)))
	var ended []*job
	for _, j := range e.jobs {
		if j.unread > 0 {
			part := min(budget, j.unread)
			j.unread -= part
			budget -= part
			continue
		}
		if !j.first {
			j.first = true
			f.answerBegins(e, j)
		}
		j.left -= made
		if j.left <= 0 {
			ended = append(ended, j)
		}
	}
	for _, j := range ended {
		e.jobs = slices.DeleteFunc(e.jobs, func(other *job) bool { return other == j })
		f.feed(j.host, requests.AttemptEnded{Request: j.id, Attempt: j.attempt, Result: outcome.Answered{Status: 200}, CallerWaiting: true})
	}
}

// answerBegins reports the first token to its host.
func (f *simFleet) answerBegins(e *simEngine, j *job) {
	took := f.now.Sub(f.calls[j.id].arrived)
	f.feed(j.host, requests.HeaderReceived{
		Worker: e.worker.ID, Route: j.route, Took: took, Load: requests.Load{Running: len(e.jobs), Slots: engineSlots},
	})
	if f.now.Before(f.from) {
		return
	}
	f.results.waits = append(f.results.waits, float64(took)/float64(time.Millisecond))
	if took > j.kind.objective {
		f.results.late++
	}
}

// replaceEngine has a new engine join and the oldest one leave; all hosts learn of it at once.
func (f *simFleet) replaceEngine() {
	old := f.engines[slices.IndexFunc(f.engines, func(e *simEngine) bool { return !e.leaving })]
	old.leaving = true
	old.worker.State, old.worker.Seq = registry.Draining, 2
	next := f.addEngine()
	next.worker.Cold = f.load.cold
	for i := range f.hosts {
		f.feed(i, requests.Registered{From: "r", Workers: []registry.Worker{next.worker, old.worker}})
	}
	f.engines = slices.DeleteFunc(f.engines, func(e *simEngine) bool { return e.leaving && len(e.jobs) == 0 && e != old })
	slices.SortStableFunc(f.engines, func(a, b *simEngine) int { return cmp.Compare(a.worker.Address, b.worker.Address) })
}
