// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package requests decides what an entry host does with each request of the route
// table: whether it may run, at which worker, what follows when an attempt fails, and
// when the caller may retry. It does no I/O and reads no clock.
//
// It owns, for one host, the requests in progress, the retry budgets, and what is
// believed of workers and zones. It relies on the front door (package gateway) to carry
// decisions out and to report how attempts end, and on core/host for the route table,
// its confirmations, registrations and other hosts' loads.
//
// Each rule stands in a file of its own:
//
//	lease.go          how long a confirmed table may be used
//	admit.go          which requests are admitted, and for which pool
//	start.go          which requests wait for a host that starts
//	choose.go         which workers are candidates, and which plain worker is taken
//	engine.go         which engine is taken, and the bound on its load
//	crowded.go        which engine is taken where some take nothing new
//	spread.go         over how many engines a surging prefix is spread
//	cachesource.go    from which engine a prompt's prefix is taken over
//	load.go           what is known of a worker's load
//	attempt.go        what follows an attempt
//	retry.go          how many attempts a request has
//	retrybudget.go    how many a host may send once more, and what others lend it
//	resend.go         when a declined request returns to the same worker
//	timeouts.go       when an attempt is given up
//	workerhealth.go   what an attempt tells of its worker
//	notice.go         what a worker says of itself with its answers
//	replaced.go       what is reported of workers whose address has another process
//	restart.go        what ends where a worker starts again under its id
//	crashes.go        what is seen of requests under which workers end, which are refused
//	zones.go          when a zone is unreachable
//	cold.go           how much a cold worker gets, from all hosts
//	drained.go        what becomes of requests where zones are drained
//
// # Usage
//
//	s := requests.New(requests.Settings{Zone: "hall-a"})
//	s = s.WithConfig(cfg.Gateway)
//	s, decisions := requests.Reduce(s, requests.Arrived{Request: r}, now)
//
// Every event that ends an attempt or a request yields exactly one decision for it.
package requests

import (
	"cmp"
	"iter"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/confirmation"
	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/table"
	"github.com/yardhall/yardhall/core/zones"
)

// Settings are the bounds that a host keeps. Zero fields take the defaults of the
// settings file, but for StartTime.
type Settings struct {
	// Host is the name of this host, from which its part in what hosts share is drawn.
	Host ident.Host
	Zone ident.Zone
	// KeyLease is how long a confirmed configuration may be used for requests
	// with a key; keys taken away stop working within this time.
	KeyLease time.Duration
	// ZoneDrain is the time after the acknowledgement of an order to drain a zone in which
	// nothing more is sent there.
	ZoneDrain time.Duration
	// RetryShare is the part of a pool's requests that the fleet may send once more,
	// RetryExtra a number of requests that it may send once more beyond that.
	RetryShare float64
	RetryExtra float64
	// LoadFactor times the mean load of a pool, plus LoadSlack requests, bounds an
	// engine's load.
	LoadFactor float64
	LoadSlack  float64
	// StartupTimeout is how long a host that starts may need until it can serve; requests
	// wait for it meanwhile. 0 lets none wait.
	StartupTimeout time.Duration
}

// Defaults of Settings. All but DefaultLoadSlack are those of the settings file, which a
// test compares.
const (
	DefaultKeyLease   = 4 * time.Second
	DefaultZoneDrain  = 5 * time.Second
	DefaultRetryShare = 0.2
	DefaultRetryExtra = 20
	DefaultLoadFactor = 2.0
	// DefaultLoadSlack, in requests, lets engines keep their prefixes where the mean is
	// low. Measured: with 8 an engine went over the bound that the users set, and 243 of
	// 330 thousand tokens of shared prefixes were still read again.
	DefaultLoadSlack = 2.5
)

func (s Settings) withDefaults() Settings {
	s.KeyLease = cmp.Or(s.KeyLease, DefaultKeyLease)
	s.ZoneDrain = cmp.Or(s.ZoneDrain, DefaultZoneDrain)
	s.RetryShare = cmp.Or(s.RetryShare, DefaultRetryShare)
	s.RetryExtra = cmp.Or(s.RetryExtra, DefaultRetryExtra)
	s.LoadFactor = cmp.Or(s.LoadFactor, DefaultLoadFactor)
	s.LoadSlack = cmp.Or(s.LoadSlack, DefaultLoadSlack)
	return s
}

// State is what one host holds for requests. It is immutable; Reduce returns the next
// one. The zero State refuses everything as not ready.
type State struct {
	settings Settings
	number   uint64
	index    config.RouteIndex
	// confirmed says as of when the route table held was surely the newest one.
	confirmed confirmation.Confirmation
	// newerKnown is set while a newer table than the one held is known of.
	newerKnown bool
	workers    table.Table[ident.Target, worker]
	// addresses tell which workers share one, forgotAt when workers were last forgotten.
	addresses registry.Addresses
	forgotAt  time.Time
	// foundReplaced are the workers that this host found replaced.
	foundReplaced Replacements
	// observer is what this host sees of ends of workers, crashList the requests that end
	// them, as all hosts know.
	observer  crashes.Observer
	crashList crashes.List
	// answers are the requests that were answered here lately.
	answers crashes.RecentAnswers
	calls   table.Table[ident.Request, call]
	budgets table.Table[ident.Service, budget]
	// headerTimes are how long answers take to begin, by route.
	headerTimes table.Table[string, headerTimes]
	// reported are the requests of other hosts at workers, as of reportedAsOf; never
	// changed in place.
	reported     loads.Counts
	reportedAsOf time.Time
	// usual are the same, averaged; never changed in place.
	usual map[loads.Tag]float64
	// zones are the connect failures of each other zone, remoteZones those of all
	// other zones together.
	zones       table.Table[ident.Zone, reachability]
	remoteZones reachability
	// drained are the zones that the operators have drained, drainedFrom is from when on
	// nothing at all is sent to each of them.
	drained     zones.Drained
	drainedFrom table.Table[ident.Zone, time.Time]
	// hosts is how many entry hosts share the fleet's retry budget; hostsKnown is set once
	// that was reported.
	hosts      int
	hostsKnown bool
	// closing is set late in a planned stop.
	closing  bool
	counters Counters
	// started is when the host began to start; zero where nobody waits for it.
	// waiting are the requests that do.
	started time.Time
	waiting table.Table[ident.Request, waitingRequest]
}

// Counters count what was decided; they only grow. Their JSON names are those of the
// metrics port.
type Counters struct {
	Requests   uint64
	Dispatched uint64
	Retried    uint64
	Refused    uint64
	Stale      uint64
	Unknown    uint64
	// NoBudget counts retries that the budget did not allow.
	NoBudget uint64
	// RetriesLent counts those that were sent out of what other hosts left.
	RetriesLent uint64
	// Declined counts attempts that workers declined, Resent those that were sent to the
	// same worker again.
	Declined uint64
	Resent   uint64
	// Backoffs counts the backoffs that workers requested.
	Backoffs uint64
	// Overflowed counts requests that their preferred engine had no room for.
	Overflowed uint64 `json:"Spilled"`
	// Waited counts requests that waited for this host to start, WaitedUnserved is the
	// time that those waited in sum which it then did not serve.
	Waited         uint64
	WaitedUnserved time.Duration `json:"WaitedInVain"`
}

// New returns the state of a host without a route table.
func New(s Settings) State { return State{settings: s.withDefaults(), hosts: assumedHosts} }

// assumedHosts is the number of entry hosts until a replica reports it. Chosen, not
// measured: it gives a host that starts alone a sixteenth of the fleet's budget.
const assumedHosts = 16

// WithRouteTable returns the state with a route table in force.
func (s State) WithRouteTable(t config.RouteTable) State {
	if t.Number <= s.number {
		return s
	}
	s.number = t.Number
	s.index = t.Index()
	return s.withoutOldRoutes()
}

// WithNewerTableKnown returns the state of a host that knows, or does not know, of a newer
// route table than the one that it holds.
func (s State) WithNewerTableKnown(known bool) State {
	s.newerKnown = known
	return s
}

// WithHostCount returns the state of one of n entry hosts.
func (s State) WithHostCount(n int) State {
	s.hosts, s.hostsKnown = max(1, n), true
	return s
}

// TableNumber is the number of the route table in force; 0 for none.
func (s State) TableNumber() uint64 { return s.number }

// Workers yields all workers as this host knows them, in the order of their ids.
func (s State) Workers() iter.Seq[registry.Worker] {
	return func(yield func(registry.Worker) bool) {
		for _, w := range s.workers.All() {
			if !yield(w.Worker) {
				return
			}
		}
	}
}

// WorkerCount is how many workers this host knows.
func (s State) WorkerCount() int { return s.workers.Len() }

// Worker returns a worker as this host knows it.
func (s State) Worker(id ident.Target) (registry.Worker, bool) {
	w, ok := s.workers.Get(id)
	return w.Worker, ok
}

// RegistrationSource is the host from which a worker's registration came last.
func (s State) RegistrationSource(id ident.Target) ident.Host {
	w, _ := s.workers.Get(id)
	return w.reportedBy
}

// Idle tells whether no request is in progress.
func (s State) Idle() bool { return s.calls.Len() == 0 && s.waiting.Len() == 0 }

// Counters returns what was counted so far.
func (s State) Counters() Counters { return s.counters }

// Reduce is the transition of the state by one event.
func Reduce(s State, ev Event, now time.Time) (State, []Decision) {
	t := transition{State: s, now: now}
	switch ev := ev.(type) {
	case Arrived:
		t.arrive(ev.Request)
	case HeaderReceived:
		t.headerReceived(ev)
	case HeaderTimedOut:
		t.headerLate(ev)
	case AttemptEnded:
		t.attemptEnded(ev)
	case PauseEnded:
		t.pauseEnded(ev)
	case Expired:
		t.expired(ev.Request)
	case Registered:
		t.registered(ev)
	case LoadsReported:
		t.loadsReported(ev)
	case Confirmed:
		t.confirmed = t.confirmed.Latest(ev.Confirmation)
	case ProbeEnded:
		t.probeEnded(ev)
	case Withdrawn:
		t.withdraw(ev.Request)
	case Closing:
		t.closing = true
	case Tick:
	}
	t.serveWaiting()
	return t.State, t.out
}

// transition is the working copy of one Reduce.
type transition struct {
	State
	now time.Time
	out []Decision
}
