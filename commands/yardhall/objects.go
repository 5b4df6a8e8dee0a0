// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
)

// objectWrite is one object of an INI file as a call.
type objectWrite struct {
	section string
	method  string
	path    string
	body    any
}

// section reads typed values and gathers mistakes.
type section struct {
	s    *ini.Section
	id   string
	used map[string]bool
	errs []string
}

func (s *section) text(key string) string {
	s.used[key] = true
	return s.s.Key(key).String()
}

func (s *section) list(key string) []string {
	var out []string
	for part := range strings.SplitSeq(s.text(key), ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

func (s *section) number(key string) float64 {
	text := s.text(key)
	if text == "" {
		return 0
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.errs = append(s.errs, key+": "+strconv.Quote(text)+" is not a number")
	}
	return n
}

func (s *section) whole(key string) int {
	n := s.number(key)
	if n != float64(int(n)) {
		s.errs = append(s.errs, key+": must be a whole number")
	}
	return int(n)
}

func (s *section) duration(key string) config.Duration {
	text := s.text(key)
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		s.errs = append(s.errs, key+": "+strconv.Quote(text)+" is not a time such as 30s")
	}
	return config.Duration(d)
}

func (s *section) truth(key string) bool {
	text := s.text(key)
	if text == "" {
		return false
	}
	v, err := strconv.ParseBool(text)
	if err != nil {
		s.errs = append(s.errs, key+": must be true or false")
	}
	return v
}

// done returns the mistakes of the section, unknown keys included.
func (s *section) done() error {
	for _, k := range s.s.KeyStrings() {
		if !s.used[k] {
			s.errs = append(s.errs, k+": unknown key")
		}
	}
	if len(s.errs) == 0 {
		return nil
	}
	return errors.Errorf("[%s] %s", s.s.Name(), strings.Join(s.errs, "; "))
}

// readObjects reads an INI file whole before anything is sent.
func readObjects(file string) ([]objectWrite, error) {
	f, err := ini.Load(file)
	if err != nil {
		return nil, errors.Wrap(err, "read file")
	}
	var out []objectWrite
	var tables tableReader
	for _, sec := range f.Sections() {
		if sec.Name() == ini.DefaultSection {
			continue
		}
		taken, err := tables.read(sec)
		if err != nil {
			return nil, err
		}
		if taken {
			continue
		}
		o, err := readObject(sec)
		if err != nil {
			return nil, err
		}
		out = append(out, o)
	}
	table, err := tables.writes()
	if err != nil {
		return nil, err
	}
	out = append(out, table...)
	if len(out) == 0 {
		return nil, errors.New("the file holds no object")
	}
	return out, nil
}

func readObject(sec *ini.Section) (objectWrite, error) {
	kind, id, ok := strings.Cut(sec.Name(), " ")
	if !ok || id == "" {
		return objectWrite{}, errors.Errorf("[%s]: a section is [kind id]", sec.Name())
	}
	s := &section{s: sec, id: strings.TrimSpace(id), used: map[string]bool{}}
	o := objectWrite{section: sec.Name(), method: http.MethodPut}
	switch kind {
	case "class":
		o.path, o.body = "/v1/classes/"+s.id, s.class()
	case "service":
		o.path, o.body = "/v1/services/"+s.id, s.service()
	case "model":
		o.path, o.body = "/v1/models/"+s.id, s.model()
	case "target":
		o.path, o.body = "/v1/targets/"+s.id, s.target()
	case "account":
		o.path, o.body = "/v1/accounts/"+s.id, s.account()
	case "handover":
		o.path, o.body = "/v1/handovers/"+s.id, s.handOver()
	case "intent":
		o.method, o.path, o.body = http.MethodPost, "/v1/plans", s.intent()
	default:
		return o, errors.Errorf("[%s]: unknown kind", sec.Name())
	}
	return o, s.done()
}

func (s *section) class() config.Class {
	return config.Class{
		ID: ident.Class(s.id), Rank: s.whole("rank"), QueueLimit: s.whole("queue_limit"), MaxWait: s.duration("max_wait"),
	}
}

func (s *section) service() config.Service {
	return config.Service{
		ID: ident.Service(s.id), Kind: config.ServiceKind(s.text("kind")), Multiple: s.number("multiple"),
		NotRepeatable: s.truth("not_repeatable"), OnceRoutes: s.list("once_routes"), Timeout: s.duration("timeout"),
		LoadBytesPerSecond: int64(s.number("load_bytes_per_second")),
	}
}

func (s *section) model() config.Model {
	return config.Model{ID: ident.Model(s.id), Service: ident.Service(s.text("service")), WeightBytes: int64(s.number("weight_bytes"))}
}

func (s *section) target() config.Target {
	t := config.Target{
		ID: ident.Target(s.id), Service: ident.Service(s.text("service")), Zone: ident.Zone(s.text("zone")),
		Address: s.text("address"), Slots: s.whole("slots"), MaxModels: s.whole("max_models"), ChecksFence: s.truth("checks_fence"),
	}
	for _, m := range s.list("models") {
		t.Models = append(t.Models, ident.Model(m))
	}
	return t
}

func (s *section) account() config.Account {
	a := config.Account{
		ID: ident.Account(s.id), KeyHash: s.text("key_hash"), Weight: s.number("weight"),
		MaxInFlight: s.whole("max_in_flight"), RequestsPerSecond: s.number("requests_per_second"),
	}
	for _, c := range s.list("classes") {
		a.Classes = append(a.Classes, ident.Class(c))
	}
	return a
}

func (s *section) handOver() config.HandOver {
	service, zone, ok := strings.Cut(s.id, "/")
	if !ok {
		s.errs = append(s.errs, "a hand-over is [handover service/zone]")
	}
	return config.HandOver{Service: ident.Service(service), Zone: ident.Zone(zone), Percent: s.whole("percent")}
}

func (s *section) intent() config.Intent {
	in := config.Intent{ID: ident.Intent(s.id), Service: ident.Service(s.text("service")), Model: ident.Model(s.text("model"))}
	for _, z := range s.list("zones") {
		name, count, ok := strings.Cut(z, ":")
		n, err := strconv.Atoi(count)
		if !ok || err != nil {
			s.errs = append(s.errs, "zones: "+strconv.Quote(z)+" is not zone:count")
		}
		in.Replicas = append(in.Replicas, config.ZoneReplicas{Zone: ident.Zone(name), Count: n})
	}
	for _, t := range s.list("exclude") {
		in.Exclude = append(in.Exclude, ident.Target(t))
	}
	return in
}
