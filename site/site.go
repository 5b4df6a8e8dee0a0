// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package site sets a whole small fleet up inside one process, on loopback
// addresses of its own: hosts, engines and a plain service. Tests and the demo
// use it.
//
// # Usage
//
//	s, err := site.Builder{Zones: 3, HostsPerZone: 2, EnginesPerZone: 2}.Start(ctx)
//	defer s.Stop()
//	url := s.URL(0)
package site

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/keys"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/operators"
	"github.com/yardhall/yardhall/standin"
	"github.com/yardhall/yardhall/storage"
)

// Names of what every site has.
const (
	EngineService = "text"
	PlainService  = "floor"
	Model         = "text-1"
	SecondModel   = "text-2"
	Account       = "halls"
	ClassUrgent   = "urgent"
	ClassNormal   = "normal"
	ClassBulk     = "bulk"
)

// Builder says how large a site is; zero fields take defaults.
type Builder struct {
	Zones          int
	HostsPerZone   int
	EnginesPerZone int
	// Workers is the number of the plain service's workers.
	Workers int
	// Replicas keep the state; 1, 3 or 5, at most one host each.
	Replicas int
	// Dir is the folder for data; it must exist.
	Dir string
	// Net is the second byte of the loopback addresses, so that sites in one
	// process do not meet; 1 where 0.
	Net      int
	Engine   standin.EngineOptions
	Multiple float64
	Log      logr.Logger
	Raft     raft.Options
	// WrapFile stands between a host's log and its files.
	WrapFile func(ident.Host, storage.File) storage.File
	// DrainNotice is how long a stopping host goes on accepting.
	DrainNotice time.Duration
}

// Site is a running fleet with its targets.
type Site struct {
	builder     Builder
	Hosts       []*Host
	Engines     []*standin.Engine
	Workers     []*standin.Service
	OperatorKey string
	AccountKey  string
	mu          sync.Mutex
	cut         map[ident.Zone]bool
}

const (
	peerPort     = 7100
	callerPort   = 7180
	operatorPort = 7190
	enginePort   = 7200
	workerPort   = 7300
	startTime    = 30 * time.Second
	startPoll    = 20 * time.Millisecond
	peerKey      = "a key for this site only"
)

func (b Builder) withDefaults() Builder {
	b.Zones = cmp.Or(b.Zones, 3)
	b.HostsPerZone = cmp.Or(b.HostsPerZone, 2)
	b.EnginesPerZone = cmp.Or(b.EnginesPerZone, 2)
	b.Workers = cmp.Or(b.Workers, b.Zones)
	b.Replicas = cmp.Or(b.Replicas, min(3, b.Zones))
	b.Net = cmp.Or(b.Net, 1)
	b.Multiple = cmp.Or(b.Multiple, 1.5)
	b.DrainNotice = cmp.Or(b.DrainNotice, 200*time.Millisecond)
	return b
}

// ip is the loopback address of host h of zone z; targets have h from 100.
func (b Builder) ip(z, h int) string { return fmt.Sprintf("127.%d.%d.%d", b.Net, z+1, h+1) }

const targetHosts = 100

// Start starts the site and waits until every host is ready.
func (b Builder) Start(ctx context.Context) (*Site, error) {
	s, err := b.Prepare()
	if err != nil {
		return nil, err
	}
	if err := s.start(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// Prepare writes the hosts' settings and starts the targets, but no host: they
// may be started as processes of their own.
func (b Builder) Prepare() (*Site, error) {
	b = b.withDefaults()
	s := &Site{builder: b, OperatorKey: keys.New(), AccountKey: keys.New(), cut: map[ident.Zone]bool{}}
	for z := range b.Zones {
		for h := range b.HostsPerZone {
			if err := s.addHost(z, h); err != nil {
				return nil, err
			}
		}
	}
	if err := s.startTargets(); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
	for _, h := range s.Hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	if err := s.awaitLeader(ctx); err != nil {
		return err
	}
	if err := s.Configure(ctx); err != nil {
		return err
	}
	return s.AwaitReady(ctx)
}

func (s *Site) startTargets() error {
	b := s.builder
	for z := range b.Zones {
		for i := range b.EnginesPerZone {
			o := b.Engine
			if len(o.Models) == 0 {
				o.Models = []string{Model}
			}
			e, err := standin.StartEngine(fmt.Sprintf("%s:%d", b.ip(z, targetHosts+i), enginePort), o)
			if err != nil {
				return errors.Wrap(err, "engine")
			}
			s.Engines = append(s.Engines, e)
		}
	}
	for i := range b.Workers {
		w, err := standin.StartService(fmt.Sprintf("%s:%d", b.ip(i%b.Zones, targetHosts+i), workerPort), time.Millisecond)
		if err != nil {
			return errors.Wrap(err, "worker")
		}
		s.Workers = append(s.Workers, w)
	}
	return nil
}

// Stop ends the whole site.
func (s *Site) Stop() {
	for _, h := range s.Hosts {
		h.Kill()
	}
	for _, e := range s.Engines {
		e.Close()
	}
	for _, w := range s.Workers {
		w.Close()
	}
}

// URL is the callers' address of host i.
func (s *Site) URL(i int) string { return "http://" + s.Hosts[i].Settings.Callers.Listen }

// Operator returns a client of all hosts' operators' ports.
func (s *Site) Operator() *operators.Client {
	c := &operators.Client{Key: s.OperatorKey, Operator: "site", HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, h := range s.Hosts {
		c.Addresses = append(c.Addresses, h.Settings.Operators.Listen)
	}
	return c
}
