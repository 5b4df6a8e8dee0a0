package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	out     *bufio.Writer
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: bufio.NewWriter(f), file: f, started: time.Now()}, nil
}

// say writes one line with the seconds since the start.
func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
