// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package listing reads the platform's list of live and leaving targets. The
// list lags behind reality; the core weighs it against its own evidence.
//
// # Usage
//
//	r := listing.NewReader("http://127.0.0.1:9000/targets", "")
//	r.Run(ctx, 2*time.Second, take, report)
//
// The list is JSON: {"targets":[{"id":"engine-1","state":"live"}]}, with the
// states live and leaving.
package listing

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/health"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
)

// Document is the list as the platform gives it.
type Document struct {
	Targets []Entry `json:"targets"`
}

// Entry is one line of the list.
type Entry struct {
	ID    ident.Target `json:"id"`
	State State        `json:"state"`
}

// State is a target's state in the list.
type State string

// States of the list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

const (
	maxList     = 4 << 20
	readTimeout = 5 * time.Second
)

// Reader reads the list from an address or a file.
type Reader struct {
	url  string
	file string
}

// NewReader returns a reader of url or, where that is empty, of file.
func NewReader(url, file string) *Reader { return &Reader{url: url, file: file} }

// Run reads the list at each interval until ctx ends. Only the first failure
// of a row is reported; the last list stays in force meanwhile.
func (r *Reader) Run(ctx context.Context, interval time.Duration, take func([]host.ListedTarget), report func(error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	failing := false
	for {
		list, err := r.Read(ctx)
		switch {
		case err == nil:
			take(list)
		case !failing && ctx.Err() == nil:
			report(err)
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Read reads the list once.
func (r *Reader) Read(ctx context.Context) ([]host.ListedTarget, error) {
	body, err := r.fetch(ctx)
	if err != nil {
		return nil, err
	}
	return Parse(body)
}

func (r *Reader) fetch(ctx context.Context) ([]byte, error) {
	if r.url == "" {
		body, err := os.ReadFile(r.file)
		return body, errors.Wrap(err, "read list")
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "fetch list")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the platform answered %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	return body, errors.Wrap(err, "read list")
}

// Parse decodes a list. An empty list is refused: most likely the platform has
// lost sight of everything, and so would we.
func Parse(body []byte) ([]host.ListedTarget, error) {
	var d Document
	if err := json.Unmarshal(body, &d); err != nil {
		return nil, errors.Wrap(err, "decode list")
	}
	if len(d.Targets) == 0 {
		return nil, errors.New("the list is empty")
	}
	out := make([]host.ListedTarget, 0, len(d.Targets))
	for _, t := range d.Targets {
		switch t.State {
		case StateLive:
			out = append(out, host.ListedTarget{ID: t.ID, Listing: health.Live})
		case StateLeaving:
			out = append(out, host.ListedTarget{ID: t.ID, Listing: health.Leaving})
		default:
			return nil, errors.Errorf("target %q has the unknown state %q", t.ID, t.State)
		}
	}
	return out, nil
}
