// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package site

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/clock"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
)

// Leader returns the host that leads now, or nil.
func (s *Site) Leader() *Host {
	for _, h := range s.Hosts {
		if h.cancel != nil && h.Daemon.State().Raft().LeaseHeld(clock.Now()) {
			return h
		}
	}
	return nil
}

func (s *Site) awaitLeader(ctx context.Context) error {
	return Await(ctx, startTime, "a leader", func() bool { return s.Leader() != nil })
}

// AwaitReady waits until all running hosts hold the same configuration and
// know each other.
func (s *Site) AwaitReady(ctx context.Context) error {
	return Await(ctx, startTime, "all hosts ready", func() bool {
		leader := s.Leader()
		if leader == nil {
			return false
		}
		version := leader.Daemon.State().Config().Version
		for _, h := range s.Hosts {
			if h.cancel != nil && !s.settled(h.Daemon.State(), version) {
				return false
			}
		}
		return true
	})
}

func (s *Site) settled(state host.State, version config.Version) bool {
	if !state.Ready() || state.Config().Version != version || state.Config().Hosts.Len() < len(s.Hosts) {
		return false
	}
	alive := 0
	for _, p := range state.Dump(clock.Now()).Peers {
		if p.Alive {
			alive++
		}
	}
	return alive >= s.running()-1
}

func (s *Site) running() int {
	n := 0
	for _, h := range s.Hosts {
		if h.cancel != nil {
			n++
		}
	}
	return n
}

// Await polls until cond holds.
func Await(ctx context.Context, limit time.Duration, what string, cond func() bool) error {
	deadline := time.Now().Add(limit)
	for !cond() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errors.Errorf("waited in vain for %s", what)
		}
		time.Sleep(startPoll)
	}
	return nil
}
