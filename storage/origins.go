// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package storage

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/origins"
)

// The origins of streams stand beside the replicated log, in two files that are written in turn: the next one is
// begun once the origins of the other one have expired, or once it is full.
var originFiles = [2]string{"origins-a.log", "origins-b.log"}

// maxOriginBytes bounds each file: the origins of a minute at the size that a store of them is bounded by.
const maxOriginBytes = 4 << 20

// OriginReport is a report of streams, at a time of day.
type OriginReport struct {
	Report origins.Report
	At     time.Time
}

// originFrame is the content of a frame; its fields travel by their names.
type originFrame struct {
	// At is in Unix milliseconds.
	At     int64
	Report []byte
}

// OriginLog is an open pair of files. Its methods must not be called concurrently.
type OriginLog struct {
	files [2]File
	// current is the file that is written, up to good; begunAt is when its first report was written.
	current int
	good    int64
	begunAt time.Time
}

// OpenOrigins opens the origins in a data folder and returns the reports, the oldest first. What stands after
// a torn or damaged frame is dropped. wrap, where set, stands between the log and its files.
func OpenOrigins(dir string, wrap func(File) File) (*OriginLog, []OriginReport, error) {
	l := &OriginLog{}
	var all []OriginReport
	for i, name := range originFiles {
		f, err := os.OpenFile(filepath.Join(dir, name), os.O_RDWR|os.O_CREATE, fileMode)
		if err != nil {
			return nil, nil, errors.Wrap(err, "open origins")
		}
		l.files[i] = wrapped(f, wrap)
		data, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			return nil, nil, errors.Wrap(err, "read origins")
		}
		reports, good := readOrigins(data)
		if len(reports) > 0 && !reports[0].At.Before(l.begunAt) {
			l.current, l.good, l.begunAt = i, good, reports[0].At
		}
		all = append(all, reports...)
	}
	slices.SortStableFunc(all, func(a, b OriginReport) int { return a.At.Compare(b.At) })
	return l, all, syncDir(dir)
}

// readOrigins returns the reports of a file and the length of their frames.
func readOrigins(data []byte) (reports []OriginReport, good int64) {
	for rest := data; len(rest) > 0; {
		content, size, whole := cutFrame(rest)
		var f originFrame
		if !whole || cbor.Unmarshal(content, &f) != nil {
			break
		}
		r, err := origins.Decode(f.Report)
		if err != nil {
			break
		}
		reports = append(reports, OriginReport{Report: r, At: time.UnixMilli(f.At)})
		rest, good = rest[size:], good+int64(size)
	}
	return reports, good
}

// Write appends reports and returns once they are synced. After an error none of them counts.
func (l *OriginLog) Write(reports []origins.Report, now time.Time) error {
	var b bytes.Buffer
	for _, r := range reports {
		if err := appendFrame(&b, originFrame{At: now.UnixMilli(), Report: r.Encode()}); err != nil {
			return err
		}
	}
	if l.good > 0 && (now.Sub(l.begunAt) > origins.Retention || l.good+int64(b.Len()) > maxOriginBytes) {
		l.current, l.good = 1-l.current, 0
	}
	f := l.files[l.current]
	if l.good == 0 {
		l.begunAt = now
		if err := f.Truncate(0); err != nil {
			return errors.Wrap(err, "begin origins")
		}
	}
	if _, err := f.WriteAt(b.Bytes(), l.good); err != nil {
		return errors.Wrap(err, "write origins")
	}
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "sync origins")
	}
	l.good += int64(b.Len())
	return nil
}

// Close closes both files.
func (l *OriginLog) Close() error {
	err := l.files[0].Close()
	if other := l.files[1].Close(); err == nil {
		err = other
	}
	return errors.Wrap(err, "close origins")
}
