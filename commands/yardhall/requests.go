// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// logLine is one line of a host's log, with what puts it in order.
type logLine struct {
	Time    float64 `json:"ts"`
	Request string  `json:"request"`
	text    string
}

// maxLine bounds a line of a log.
const maxLine = 1 << 20

// explainRequest prints all lines on a request that the logs of a folder hold,
// by time.
func explainRequest(out io.Writer, folder, request string) error {
	if request == "" {
		return errors.New("which request? its id is missing")
	}
	files, err := filepath.Glob(filepath.Join(folder, "*"))
	if err != nil {
		return errors.Wrap(err, "list logs")
	}
	var lines []logLine
	for _, file := range files {
		found, err := linesOn(file, request)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return errors.Errorf("no log in %q names the request %q", folder, request)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int {
		switch {
		case a.Time < b.Time:
			return -1
		case a.Time > b.Time:
			return 1
		}
		return 0
	})
	for _, line := range lines {
		_, _ = fmt.Fprintln(out, line.text)
	}
	return nil
}

// linesOn returns the lines of one file that are about the request. What stands
// before a line's opening brace is passed over.
func linesOn(file, request string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }()
	var out []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		at := strings.IndexByte(text, '{')
		if at < 0 || !strings.Contains(text, request) {
			continue
		}
		var line logLine
		if json.Unmarshal([]byte(text[at:]), &line) == nil && line.Request == request {
			line.text = text
			out = append(out, line)
		}
	}
	return out, errors.Wrap(scanner.Err(), "read log")
}
