// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package formtest

import (
	"encoding/hex"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Golden holds records by name, as a file of lines "name hex".
type Golden map[string][]byte

// Parse reads the lines of a golden file.
func Parse(text string) (Golden, error) {
	g := Golden{}
	for line := range strings.Lines(text) {
		name, digits, ok := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		record, err := hex.DecodeString(digits)
		if !ok || err != nil {
			return nil, errors.Errorf("golden line %q", line)
		}
		g[name] = record
	}
	return g, nil
}

// With returns the records with one more. A record that is there already stays as it
// is: golden bytes are those of the program that first wrote them.
func (g Golden) With(name string, record []byte) Golden {
	next := Golden{name: record}
	for n, r := range g {
		next[n] = r
	}
	return next
}

// String returns the lines of the golden file, in the order of the names.
func (g Golden) String() string {
	lines := make([]string, 0, len(g))
	for name, record := range g {
		lines = append(lines, name+" "+hex.EncodeToString(record)+"\n")
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// Form is a value that is sent or stored, and how.
type Form struct {
	Name   string
	Want   any
	Encode func() ([]byte, error)
	Decode func(record []byte) (any, error)
}

// Check decodes the golden record of each form and compares it with the value wanted: a
// field that was renamed comes out empty and so unequal. It returns an error as well where a
// record has no form any more. Where add is set, forms without a record are encoded and
// added; the text returned is then the file to write.
func Check(text string, add bool, forms []Form) (string, error) {
	golden, err := Parse(text)
	if err != nil {
		return "", err
	}
	for _, f := range forms {
		if add {
			record, err := f.Encode()
			if err != nil {
				return "", errors.Wrapf(err, "encode %s", f.Name)
			}
			golden = golden.With(f.Name, record)
		}
		if err := f.check(golden); err != nil {
			return "", err
		}
	}
	if len(golden) != len(forms) {
		return "", errors.Errorf("%d records for %d forms", len(golden), len(forms))
	}
	return golden.String(), nil
}

// check compares one form with its golden record.
func (f Form) check(golden Golden) error {
	record, ok := golden[f.Name]
	if !ok {
		return errors.Errorf("%s has no golden bytes; run with -add-forms", f.Name)
	}
	got, err := f.Decode(record)
	if err != nil {
		return errors.Wrapf(err, "decode %s", f.Name)
	}
	if !reflect.DeepEqual(f.Want, got) {
		return errors.Errorf("%s: want %+v, the golden bytes hold %+v", f.Name, f.Want, got)
	}
	return nil
}
