// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
)

// tableReader gathers the sections of an INI file that make up the route table.
// The zero value is ready.
type tableReader struct {
	table   config.RouteTable
	section string
	parts   int
}

// read takes a section of the route table; false is a section of another kind.
func (r *tableReader) read(sec *ini.Section) (taken bool, err error) {
	kind, id, _ := strings.Cut(sec.Name(), " ")
	s := &section{s: sec, id: strings.TrimSpace(id), used: map[string]bool{}}
	switch kind {
	case "gateway":
		r.header(s)
	case "pool":
		r.parts++
		r.table.Pools = append(r.table.Pools, s.pool())
	case "route":
		r.parts++
		r.table.Routes = append(r.table.Routes, s.route())
	case "holder":
		r.parts++
		r.table.Keys = append(r.table.Keys, s.holder())
	default:
		return false, nil
	}
	return true, s.done()
}

// header reads the section that numbers the table.
func (r *tableReader) header(s *section) {
	n, err := strconv.ParseUint(s.id, 10, 64)
	if err != nil || n == 0 {
		s.errs = append(s.errs, "the table is [gateway NUMBER] with a number of 1 or more")
	}
	if r.section != "" {
		s.errs = append(s.errs, "a file holds one route table")
	}
	r.section, r.table.Number = s.s.Name(), n
	r.table.Limits = config.Limits{
		MaxHeaderBytes: s.whole("max_header_bytes"), MaxBodyBytes: int64(s.whole("max_body_bytes")),
		HeaderTimeout: s.duration("header_timeout"), IdleTimeout: s.duration("idle_timeout"),
	}
}

// writes returns the call that replaces the table, where the file holds one.
func (r *tableReader) writes() ([]objectWrite, error) {
	if r.section == "" && r.parts == 0 {
		return nil, nil
	}
	if r.section == "" {
		return nil, errors.New("routes, pools and holders need a section [gateway NUMBER]")
	}
	if err := r.table.Check(); err != nil {
		return nil, errors.Wrapf(err, "[%s]", r.section)
	}
	return []objectWrite{{section: r.section, method: http.MethodPut, path: "/v1/gateway/table", body: r.table}}, nil
}

func (s *section) pool() config.Pool {
	return config.Pool{
		ID: ident.Service(s.id), MaxConns: s.whole("max_conns"), Engine: s.truth("engine"),
		CacheTokens: s.whole("cache_tokens"), Moves: s.truth("moves"), ColdPerSecond: s.number("cold_per_second"),
	}
}

// route reads [route host/prefix/].
func (s *section) route() config.Route {
	host, prefix, _ := strings.Cut(s.id, "/")
	r := config.Route{
		Name: s.text("name"), Host: host, Prefix: "/" + prefix, Kind: config.RouteKind(s.text("kind")),
		Timeout: s.duration("timeout"), Objective: s.duration("objective"), MaxPause: s.duration("max_pause"),
		Rank: s.whole("rank"), MaxAttempts: s.whole("max_attempts"),
		Public: s.truth("public"), Affine: s.truth("affine"), Resumable: s.truth("resumable"),
	}
	for _, text := range s.list("pools") {
		pool, weight, weighted := strings.Cut(text, ":")
		share := config.Share{Pool: ident.Service(pool), Weight: 1}
		if n, err := strconv.Atoi(weight); weighted && err == nil {
			share.Weight = n
		} else if weighted {
			s.errs = append(s.errs, "pools: "+strconv.Quote(text)+" is not pool:weight")
		}
		r.Shares = append(r.Shares, share)
	}
	return r
}

func (s *section) holder() config.KeyOwner {
	return config.KeyOwner{
		Account: ident.Account(s.id), KeyHashes: s.list("key_hashes"), Rank: s.whole("rank"), Ranked: s.s.HasKey("rank"),
	}
}
