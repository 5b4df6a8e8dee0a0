// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package settings

import (
	"cmp"
	"fmt"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// Problem is one mistake in a settings file.
type Problem struct {
	Section string
	Key     string
	Text    string
}

// ProblemsError holds all mistakes of one file.
type ProblemsError struct {
	File string
	List []Problem
}

// Error lists every mistake on its own line.
func (p *ProblemsError) Error() string {
	lines := make([]string, 0, len(p.List))
	for _, m := range p.List {
		lines = append(lines, fmt.Sprintf("%s: [%s] %s: %s", p.File, m.Section, m.Key, m.Text))
	}
	return strings.Join(lines, "\n")
}

func (p *ProblemsError) add(section, key, format string, args ...any) {
	p.List = append(p.List, Problem{Section: section, Key: key, Text: fmt.Sprintf(format, args...)})
}

// Load reads and checks a file. The error is a *ProblemsError where the file could
// be read at all.
func Load(file string) (Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: true, AllowShadows: true}, file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	p := &ProblemsError{File: filepath.Base(file)}
	s := Settings{File: file}
	decode(f, &s, p)
	check(s, p)
	if len(p.List) > 0 {
		slices.SortStableFunc(p.List, func(a, b Problem) int {
			return cmp.Or(cmp.Compare(a.Section, b.Section), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Text, b.Text))
		})
		return Settings{}, p
	}
	return s, nil
}

// decode fills s section by section; what it does not know is a problem.
func decode(f *ini.File, s *Settings, p *ProblemsError) {
	v := reflect.ValueOf(s).Elem()
	known := map[string]reflect.Value{}
	for i := range v.NumField() {
		if name := v.Type().Field(i).Tag.Get("ini"); name != "-" {
			known[name] = v.Field(i)
			setDefaults(v.Field(i))
		}
	}
	seen := map[string]bool{}
	for _, section := range f.Sections() {
		name := section.Name()
		if name == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		target, ok := known[name]
		switch {
		case !ok:
			p.add(name, "-", "unknown section")
		case seen[name]:
			p.add(name, "-", "section stands twice")
		default:
			decodeSection(section, target, p)
		}
		seen[name] = true
	}
}

func setDefaults(v reflect.Value) {
	for i := range v.NumField() {
		if d := v.Type().Field(i).Tag.Get("default"); d != "" {
			_ = setField(v.Field(i), d) // Defaults are constants, and a test reads them all.
		}
	}
}

func decodeSection(section *ini.Section, v reflect.Value, p *ProblemsError) {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		fields[v.Type().Field(i).Tag.Get("ini")] = v.Field(i)
	}
	for _, key := range section.Keys() {
		field, ok := fields[key.Name()]
		if !ok {
			p.add(section.Name(), key.Name(), "unknown key")
			continue
		}
		if len(key.ValueWithShadows()) > 1 {
			p.add(section.Name(), key.Name(), "key stands twice")
			continue
		}
		if err := setField(field, key.String()); err != nil {
			p.add(section.Name(), key.Name(), "%v", err)
		}
	}
}

func setField(field reflect.Value, text string) error {
	switch target := field.Addr().Interface().(type) {
	case *string:
		*target = text
	case *[]string:
		*target = splitList(text)
	case *time.Duration:
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return errors.Errorf("%q is not a time above 0 such as 30s", text)
		}
		*target = d
	case *int:
		if _, err := fmt.Sscanf(text, "%d", target); err != nil || *target <= 0 {
			return errors.Errorf("%q is not a whole number above 0", text)
		}
	default:
		panic("settings: field of an unknown type")
	}
	return nil
}

func splitList(text string) []string {
	var out []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
