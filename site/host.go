// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package site

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/keys"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/daemon"
	"github.com/yardhall/yardhall/settings"
	"github.com/yardhall/yardhall/storage"
)

// Host is one process of the fleet.
type Host struct {
	Settings settings.Settings
	Daemon   *daemon.Daemon
	site     *Site
	cancel   context.CancelFunc
	done     chan error
}

// HostName names host h of zone z.
func HostName(z, h int) ident.Host { return ident.Host(fmt.Sprintf("host-%c%d", 'a'+z, h+1)) }

// replicaList spreads the replicas over the zones.
func (b Builder) replicaList() []string {
	out := make([]string, 0, b.Replicas)
	for i := range b.Replicas {
		z, h := i%b.Zones, i/b.Zones
		out = append(out, fmt.Sprintf("%s@%s@%s:%d", HostName(z, h), ZoneName(z), b.ip(z, h), peerPort))
	}
	return out
}

func (s *Site) addHost(z, h int) error {
	b := s.builder
	id := HostName(z, h)
	members := b.replicaList()
	var neighbours []string
	for n := range b.HostsPerZone {
		if n != h {
			neighbours = append(neighbours, fmt.Sprintf("%s@%s@%s:%d", HostName(z, n), ZoneName(z), b.ip(z, n), peerPort))
		}
	}
	data := ""
	if strings.Contains(strings.Join(members, ","), string(id)+"@") {
		data = filepath.Join(b.Dir, string(id))
		if err := os.MkdirAll(data, 0o700); err != nil {
			return errors.Wrap(err, "data folder")
		}
	}
	text := fmt.Sprintf(settingsText, id, ZoneName(z), data, b.ip(z, h), peerPort, peerKey, b.ip(z, h), callerPort,
		b.DrainNotice, b.ip(z, h), operatorPort, keys.Hash(s.OperatorKey), strings.Join(members, ", "), strings.Join(neighbours, ", "))
	file := filepath.Join(b.Dir, string(id)+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	loaded, err := settings.Load(file)
	if err != nil {
		return errors.Wrap(err, "load settings")
	}
	s.Hosts = append(s.Hosts, &Host{Settings: loaded, site: s})
	return nil
}

const settingsText = `[host]
id = %s
zone = %s
data = %s
[peer]
listen = %s:%d
key = %s
[callers]
listen = %s:%d
drain_notice = %s
[operators]
listen = %s:%d
key_hashes = %s
[replicas]
members = %s
[neighbours]
members = %s
`

// Start starts the host's process, again after a Kill.
func (h *Host) Start() error {
	s := h.site
	zone := ident.Zone(h.Settings.Host.Zone)
	o := daemon.Options{
		Log: s.builder.Log, Raft: s.builder.Raft,
		BlockedHost:    func(other ident.Host) bool { return s.blocked(zone, s.zoneOf(other)) },
		BlockedAddress: func(address string) bool { return s.blocked(zone, s.zoneOfAddress(address)) },
	}
	if s.builder.WrapFile != nil {
		o.WrapFile = func(f storage.File) storage.File { return s.builder.WrapFile(h.Settings.ID(), f) }
	}
	d, err := daemon.New(h.Settings, o)
	if err != nil {
		return errors.Wrap(err, "start "+h.Settings.Host.ID)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.Daemon, h.cancel, h.done = d, cancel, make(chan error, 1)
	go func() { h.done <- d.Run(ctx) }()
	return nil
}

// Stop makes a planned stop and waits for its end.
func (h *Host) Stop() error {
	if h.cancel == nil {
		return nil
	}
	h.cancel()
	h.cancel = nil
	return <-h.done
}

// Kill stops the process at once, as a crash would: nothing is finished or
// handed over, and what was not synced is not waited for.
func (h *Host) Kill() {
	if h.cancel == nil {
		return
	}
	h.Daemon.Kill()
	if err := <-h.done; err != nil {
		s := h.site.builder.Log
		s.Error(err, "a killed host ended with an error")
	}
	h.cancel()
	h.cancel = nil
}
