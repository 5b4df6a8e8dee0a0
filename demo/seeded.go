// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package demo

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/keys"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/daemon"
	"github.com/yardhall/yardhall/operators"
	"github.com/yardhall/yardhall/settings"
	"github.com/yardhall/yardhall/site"
)

const (
	replicas   = 3
	entries    = 2
	seededNet  = 94
	startLimit = 30 * time.Second
	service    = "pages"
	routeHost  = "pages.example"
)

// seededSettings are the settings of a host of a fleet with a route table.
const seededSettings = `[host]
id = %[1]s:7340
zone = zone-%[2]d
%[3]s
[peer]
listen = %[1]s:7340
key = one long key for the demonstration
[replicas]
seeds = %[4]s
found = yes
%[5]s
[gateway]
%[6]s
drain_time = 1s
rollout_share = 0.1
rollout_slack = 50
rollout_revert = 5s
`

// seeded is a fleet with a route table, in this process: replicas first, then entry hosts.
type seeded struct {
	dir  string
	key  string
	ips  []string
	ends []context.CancelFunc
	runs sync.WaitGroup
}

// startSeeded starts a fleet and puts its route table in force.
func startSeeded(ctx context.Context, dir string, net int) (*seeded, error) {
	f := &seeded{dir: dir, key: keys.New()}
	for i := range replicas + entries {
		f.ips = append(f.ips, fmt.Sprintf("127.%d.0.%d", net, i+1))
	}
	for i := range f.ips {
		if err := f.startHost(i); err != nil {
			f.stop()
			return nil, err
		}
	}
	err := site.Await(ctx, startLimit, "the route table", func() bool {
		call := operators.Request{Method: http.MethodPut, Path: "/v1/gateway/table", Body: routeTable(), Key: keys.New()}
		_, err := f.operator().Do(ctx, call, nil)
		return err == nil
	})
	if err != nil {
		f.stop()
		return nil, errors.Wrap(err, "start the fleet")
	}
	return f, nil
}

func routeTable() config.RouteTable {
	return config.RouteTable{
		Number: 1, Pools: []config.Pool{{ID: service}},
		Routes: []config.Route{{
			Name: service, Host: routeHost, Prefix: "/", Kind: config.RouteSafe, Timeout: config.Duration(2 * time.Second),
			Shares: []config.Share{{Pool: service, Weight: 1}}, MaxAttempts: 2, Public: true,
		}},
	}
}

func (f *seeded) startHost(i int) error {
	seeds := make([]string, replicas)
	for n := range seeds {
		seeds[n] = f.control(n)
	}
	data, keep, ports := "", "", fmt.Sprintf("listen = %s:8227", f.ips[i])
	if i < replicas {
		folder := filepath.Join(f.dir, fmt.Sprint("replica-", i))
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return errors.Wrap(err, "data folder")
		}
		data, keep, ports = "data = "+folder, "keep = yes", "control = "+f.control(i)
	}
	text := fmt.Sprintf(seededSettings, f.ips[i], i%replicas, data, strings.Join(seeds, ", "), keep, ports)
	if i < replicas {
		text += fmt.Sprintf("[operators]\nlisten = %s\nkey_hashes = %s\n", f.operators(i), keys.Hash(f.key))
	}
	file := filepath.Join(f.dir, fmt.Sprintf("host-%d.ini", i))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	s, err := settings.Load(file)
	if err != nil {
		return errors.Wrap(err, "load settings")
	}
	d, err := daemon.New(s, daemon.Options{Log: logr.Discard()})
	if err != nil {
		return errors.Wrap(err, "start host")
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.ends = append(f.ends, cancel)
	f.runs.Go(func() { _ = d.Run(ctx) })
	return nil
}

func (f *seeded) control(i int) string   { return f.ips[i] + ":8229" }
func (f *seeded) operators(i int) string { return f.ips[i] + ":7390" }

// entryURLs are where requests are sent.
func (f *seeded) entryURLs() []string {
	urls := make([]string, 0, entries)
	for _, ip := range f.ips[replicas:] {
		urls = append(urls, "http://"+ip+":8227")
	}
	return urls
}

// operator returns a client of the operators' ports.
func (f *seeded) operator() *operators.Client {
	c := &operators.Client{Key: f.key, Operator: "demo"}
	for i := range replicas {
		c.Addresses = append(c.Addresses, f.operators(i))
	}
	return c
}

func (f *seeded) stop() {
	for _, end := range f.ends {
		end()
	}
	f.runs.Wait()
}
