// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package startup reads hosts' lines on their starts and tells how long the hosts of a fleet took until
// they had what they need to serve: a leader, the route table, a target, and until they were ready and
// passed on their first answer.
//
// # Usage
//
//	r := startup.New()
//	err := r.Read(file) // any number of logs, in any order
//	r.Print(os.Stdout)
//
// Of each host its last start counts. All times are counted from the start of the host's own process.
package startup

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/host"
)

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// line is a line of a host's log.
type line struct {
	Time    float64 `json:"ts"`
	Message string  `json:"msg"`
	Host    string  `json:"host"`
	Detail  string  `json:"detail"`
}

// start is what a host's last line says of its last start.
type start struct {
	time   float64
	serves bool
	// milestones are the times since the start, by name.
	milestones map[string]time.Duration
	// missing is what the host lacks; empty if it lacks nothing.
	missing string
}

// Report gathers the lines of any number of logs.
type Report struct {
	// Unread are the lines on starts that could not be read, and those that are too long.
	Unread int
	starts map[string]start
}

// New returns an empty report.
func New() *Report { return &Report{starts: map[string]start{}} }

// Read adds a log. What stands before a line's opening brace is passed over, and so are lines on other
// things.
func (r *Report) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 1<<16), maxLine)
	for scanner.Scan() {
		r.add(scanner.Bytes())
	}
	return errors.Wrap(scanner.Err(), "read log")
}

func (r *Report) add(text []byte) {
	_, object, ok := strings.Cut(string(text), "{")
	if !ok || !strings.Contains(object, string(host.LogStartup)) {
		return
	}
	var l line
	if json.Unmarshal([]byte("{"+object), &l) != nil {
		r.Unread++
		return
	}
	if l.Message != string(host.LogStartup) || l.Time < r.starts[l.Host].time {
		return
	}
	s, err := parseDetail(l.Detail)
	if err != nil {
		r.Unread++
		return
	}
	s.time = l.Time
	r.starts[l.Host] = s
}

// parseDetail reads the detail of a line, such as "serves=true after=5s leader=1.2s missing: no route table".
func parseDetail(detail string) (start, error) {
	fields, missing, _ := strings.Cut(detail, " missing: ")
	s := start{milestones: map[string]time.Duration{}, missing: missing}
	for _, field := range strings.Fields(fields) {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "serves":
			s.serves = value == "true"
			continue
		case "after":
			continue
		}
		at, err := time.ParseDuration(value)
		if err != nil {
			return start{}, errors.Wrapf(err, "milestone %q", name)
		}
		s.milestones[name] = at
	}
	return s, nil
}
