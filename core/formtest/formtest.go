// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package formtest helps tests to hold the forms that yardhall sends and stores: gob
// sends the names of fields, CBOR and JSON mostly do, so a rename in the code would
// otherwise change the wire or make a disk unreadable without notice.
//
// # Usage
//
//	value := formtest.Filled(reflect.TypeFor[raft.Entry](), choose).Interface()
//	text, err = formtest.Check(text, add, []formtest.Form{{Name: "entry", Want: value, ...}})
//	names, err := formtest.Keys(jsonDocument)
//
// It owns no state and reads no file; the tests that use it keep the golden files.
package formtest

import (
	"encoding/json"
	"reflect"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// maxDepth ends types that contain themselves, in levels of nesting.
const maxDepth = 12

// epoch is the first of the times that are filled in.
const epoch = 1_700_000_000

// Choose returns the value to put where a field is of an interface type; nil leaves
// the field empty.
type Choose func(reflect.Type) any

// Filled returns a value of a type in which every exported field holds something of its
// own, other than zero. The same type yields the same value each time. Fields with one of the
// names left out stay empty, as if the type had none: so a type that has grown yields what it
// yielded before.
func Filled(t reflect.Type, choose Choose, leftOut ...string) reflect.Value {
	f := filler{choose: choose, leftOut: leftOut}
	v := reflect.New(t).Elem()
	f.fill(v, 0)
	return v
}

// filler counts the values that it has given out.
type filler struct {
	choose  Choose
	leftOut []string
	last    int
}

func (f *filler) next() int {
	f.last++
	return f.last
}

func (f *filler) fill(v reflect.Value, depth int) {
	if depth > maxDepth || !v.CanSet() {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		f.fillStruct(v, depth)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		f.fill(v.Index(0), depth+1)
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i), depth+1)
		}
	case reflect.Map:
		f.fillMap(v, depth)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem(), depth+1)
	case reflect.Interface:
		f.fillInterface(v, depth)
	default:
		f.fillPlain(v)
	}
}

func (f *filler) fillStruct(v reflect.Value, depth int) {
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Unix(epoch+int64(f.next()), 0).UTC()))
		return
	}
	for i := range v.NumField() {
		if !slices.Contains(f.leftOut, v.Type().Field(i).Name) {
			f.fill(v.Field(i), depth+1)
		}
	}
}

func (f *filler) fillMap(v reflect.Value, depth int) {
	key := reflect.New(v.Type().Key()).Elem()
	value := reflect.New(v.Type().Elem()).Elem()
	f.fill(key, depth+1)
	f.fill(value, depth+1)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
}

func (f *filler) fillInterface(v reflect.Value, depth int) {
	chosen := f.choose(v.Type())
	if chosen == nil {
		return
	}
	inner := reflect.New(reflect.TypeOf(chosen)).Elem()
	f.fill(inner, depth+1)
	v.Set(inner)
}

func (f *filler) fillPlain(v reflect.Value) {
	n := f.next()
	switch {
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.CanInt():
		v.SetInt(int64(n))
	case v.CanUint():
		v.SetUint(uint64(n)) //nolint:gosec // Counts up from 1.
	case v.CanFloat():
		v.SetFloat(float64(n))
	case v.Kind() == reflect.String:
		v.SetString("s" + strconv.Itoa(n))
	}
}

// Keys returns the paths of all keys of a JSON document, sorted; an element of an array
// is written as [].
func Keys(document []byte) ([]string, error) {
	var v any
	if err := json.Unmarshal(document, &v); err != nil {
		return nil, errors.Wrap(err, "read JSON")
	}
	keys := keysUnder("", v)
	slices.Sort(keys)
	return slices.Compact(keys), nil
}

func keysUnder(path string, v any) []string {
	var out []string
	switch v := v.(type) {
	case map[string]any:
		for name, inner := range v {
			out = append(out, path+"."+name)
			out = append(out, keysUnder(path+"."+name, inner)...)
		}
	case []any:
		for _, inner := range v {
			out = append(out, keysUnder(path+"[]", inner)...)
		}
	}
	return out
}
