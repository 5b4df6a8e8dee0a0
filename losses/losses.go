// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package losses reads the request lines of hosts' logs and tells where service was
// lost: requests that were refused, failed or came late, by second, route, account,
// host, worker and cause.
//
// # Usage
//
//	r := losses.New()
//	err := r.Read(file) // any number of logs, in any order
//	r.Print(os.Stdout)
//	err = r.Plot("losses.png")
//
// Lines that cannot be read are counted and passed over.
package losses

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Fate is what became of a request for its caller.
type Fate uint8

// Fates of a request.
const (
	Served Fate = iota
	Late
	Refused
	Failed
	fates
)

// String returns the fate in lower case.
func (f Fate) String() string { return [...]string{"served", "late", "refused", "failed"}[f] }

// line is a request line of a host's log; times are in milliseconds.
type line struct {
	Time      float64 `json:"ts"`
	Message   string  `json:"msg"`
	Host      string  `json:"host"`
	Outcome   string  `json:"outcome"`
	Code      string  `json:"code"`
	Route     string  `json:"route"`
	Account   string  `json:"account"`
	Worker    string  `json:"worker"`
	Result    string  `json:"result"`
	Try       int     `json:"try"`
	Took      float64 `json:"took_ms"`
	TryTook   float64 `json:"try_ms"`
	First     float64 `json:"first_ms"`
	Pause     float64 `json:"pause_ms"`
	Waited    float64 `json:"waited_ms"`
	Objective float64 `json:"objective_ms"`
	MaxPause  float64 `json:"max_pause_ms"`
}

// fate judges a line as its caller does.
func (l line) fate() Fate {
	switch {
	case l.Code != codeOK && l.Outcome == notRun:
		return Refused
	case l.Code != codeOK || strings.HasPrefix(l.Result, answeredFailure):
		return Failed
	case l.cause() != "":
		return Late
	}
	return Served
}

// What the log says of a request.
const (
	codeOK          = "ok"
	notRun          = "not-run"
	answeredFailure = "answered 5"
)

// cause names what a late request waited for; empty where it is not late.
func (l line) cause() string {
	begun := l.First
	if begun == 0 {
		begun = l.Took
	}
	switch {
	case l.Objective > 0 && begun > l.Objective && l.Waited > begun/2:
		return "the host's start"
	case l.Objective > 0 && begun > l.Objective && l.Try > 1 && l.TryTook < l.Took/2:
		return "earlier tries"
	case l.Objective > 0 && begun > l.Objective:
		return "the answer's beginning"
	case l.MaxPause > 0 && l.Pause > l.MaxPause:
		return "a pause between events"
	}
	return ""
}

// reason is why a request was lost, in a few words.
func (l line) reason(f Fate) string {
	switch f {
	case Late:
		return "late: " + l.cause()
	case Refused:
		return "refused: " + l.Code
	case Failed:
		result, _, _ := strings.Cut(l.Result, ":")
		return strings.TrimSpace("failed: " + l.Code + " " + result)
	case Served, fates:
	}
	return ""
}

// Report gathers the request lines of any number of logs.
type Report struct {
	// Requests are the lines read, Unread those that are no JSON or too long, Skipped
	// the lines that hosts say they left out.
	Requests int
	Unread   int
	Skipped  int
	seconds  map[int64]*[fates]int
	groups   map[string]map[string]*[fates]int
	reasons  map[string]int
}

// New returns an empty report.
func New() *Report {
	r := &Report{seconds: map[int64]*[fates]int{}, groups: map[string]map[string]*[fates]int{}, reasons: map[string]int{}}
	for _, by := range groupings {
		r.groups[by.name] = map[string]*[fates]int{}
	}
	return r
}

// groupings are what losses are counted by.
var groupings = []struct {
	name string
	of   func(line) string
}{
	{"route", func(l line) string { return l.Route }},
	{"account", func(l line) string { return l.Account }},
	{"host", func(l line) string { return l.Host }},
	{"worker", func(l line) string { return l.Worker }},
}

// Read adds a log. What stands before a line's opening brace is passed over.
func (r *Report) Read(in io.Reader) error {
	reader := bufio.NewReaderSize(in, maxLine)
	for {
		text, err := reader.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			r.Unread++
			err = skipLine(reader)
		case len(text) > 0:
			r.add(string(text))
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read log")
		}
	}
}

// skipLine reads over the rest of a line that is too long.
func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err //nolint:wrapcheck // The caller looks for io.EOF.
		}
	}
}

// skipped is a host's word on lines that it left out.
type skipped struct {
	Lines int `json:"lines"`
}

const (
	requestMessage = "request"
	skippedMessage = "request lines skipped"
)

// add takes one line.
func (r *Report) add(text string) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		if strings.TrimSpace(text) != "" {
			r.Unread++
		}
		return
	}
	var l line
	if json.Unmarshal([]byte(text[at:]), &l) != nil {
		r.Unread++
		return
	}
	switch l.Message {
	case skippedMessage:
		var s skipped
		if json.Unmarshal([]byte(text[at:]), &s) == nil {
			r.Skipped += s.Lines
		}
	case requestMessage:
		r.count(l)
	}
}

// count counts a request.
func (r *Report) count(l line) {
	f := l.fate()
	r.Requests++
	bump(r.seconds, int64(l.Time), f)
	for _, by := range groupings {
		if name := by.of(l); name != "" {
			bump(r.groups[by.name], name, f)
		}
	}
	if f != Served {
		r.reasons[l.reason(f)]++
	}
}

// bump adds one to the count of a fate.
func bump[K comparable](in map[K]*[fates]int, key K, f Fate) {
	if in[key] == nil {
		in[key] = &[fates]int{}
	}
	in[key][f]++
}
