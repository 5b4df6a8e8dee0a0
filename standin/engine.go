// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package standin has small fakes of the systems that yardhall meets: a model
// engine, a plain service and the platform's list. They speak the protocols of
// docs/target-contract.md over real HTTP, for tests and the demo.
//
// # Usage
//
//	e, err := standin.StartEngine("127.0.0.1:0", standin.EngineOptions{Models: []string{"m-1"}})
//	defer e.Close()
//	address := e.Address()
package standin

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// EngineOptions shape a fake engine; zero fields take defaults.
type EngineOptions struct {
	Models []string
	// Slots is how many requests it decodes at once.
	Slots int
	// TokenTime is the time of one decoded token.
	TokenTime time.Duration
	// PrefillTime is the time of one block of the prompt that is not cached.
	PrefillTime time.Duration
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// ChecksFence makes it refuse orders with a token that is not the highest.
	ChecksFence bool
	// LoadTime is the time that loading a model takes.
	LoadTime time.Duration
	// Boot is what load reports name as its start; the time where 0.
	Boot uint64
}

// Engine is a fake model engine.
type Engine struct {
	options  EngineOptions
	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	idle     *sync.Cond
	cache    *prefixCache
	models   []string
	token    uint64
	seq      uint64
	inFlight int
	peak     int
	running  int
	waiting  []int
	leaving  bool
	faults   Faults
	stats    EngineStats
	runs     map[string]int
	// kept are streams that may be resumed, by request id.
	kept map[string]completionRequest
}

// Faults are misbehaviours that a test turns on.
type Faults struct {
	// CutAfter breaks each stream after so many events; 0 never.
	CutAfter int
	// NoResume keeps broken streams from being taken up again.
	NoResume bool
	// WrongID answers with the id of another request.
	WrongID bool
	// Hang accepts requests and never answers.
	Hang bool
	// SilentReports keeps load reports from being answered.
	SilentReports bool
}

// EngineStats count what an engine did.
type EngineStats struct {
	Requests     int
	CachedBlocks int
	PromptBlocks int
	Orders       int
	StaleOrders  int
	Peak         int
	// AfterLeaving counts requests that came while it was leaving.
	AfterLeaving int
}

const (
	defaultSlots       = 32
	defaultTokenTime   = 2 * time.Millisecond
	defaultPrefill     = 200 * time.Microsecond
	defaultCacheBlocks = 20000
	defaultTokens      = 16
)

// StartEngine starts a fake engine that listens on address.
func StartEngine(address string, o EngineOptions) (*Engine, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("start engine: %w", err)
	}
	o.Slots = cmp.Or(o.Slots, defaultSlots)
	o.CacheBlocks = cmp.Or(o.CacheBlocks, defaultCacheBlocks)
	if o.TokenTime == 0 {
		o.TokenTime = defaultTokenTime
	}
	if o.PrefillTime == 0 {
		o.PrefillTime = defaultPrefill
	}
	if o.Boot == 0 {
		o.Boot = uint64(time.Now().UnixNano())
	}
	e := &Engine{
		options: o, listener: l, cache: newPrefixCache(o.CacheBlocks), models: slices.Clone(o.Models),
		runs: map[string]int{}, kept: map[string]completionRequest{},
	}
	e.idle = sync.NewCond(&e.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET /yardhall/load", e.load)
	mux.HandleFunc("GET /yardhall/state", e.state)
	mux.HandleFunc("GET /yardhall/streams/{id}", e.resume)
	mux.HandleFunc("POST /yardhall/cancel/{id}", e.cancel)
	mux.HandleFunc("POST /yardhall/orders", e.order)
	e.server = &http.Server{Handler: mux} //nolint:gosec // A fake on loopback needs no header timeout.
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// Address is where the engine listens, as ip:port.
func (e *Engine) Address() string { return e.listener.Addr().String() }

// Close stops the engine at once, requests in flight included.
func (e *Engine) Close() { _ = e.server.Close() }

// SetLeaving makes the engine say that it is stopping: it declines new
// requests and finishes those it has.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetFaults turns misbehaviours on or off.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Stats returns what the engine did so far.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Peak = e.peak
	return s
}

// InFlight returns the requests on the engine, waiting ones included.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}

// Models returns the models loaded.
func (e *Engine) Models() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.models)
}

// Runs returns how often the request body with this marker was run.
func (e *Engine) Runs(marker string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[marker]
}
