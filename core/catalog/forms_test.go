// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package catalog

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/formtest"
	"github.com/yardhall/yardhall/core/pack"
)

// addForms adds records that the golden file lacks; it never replaces one.
var addForms = flag.Bool("add-forms", false, "add the forms of new records to the golden file")

const storedGolden = "testdata/stored.golden"

// writeForm is the log record of a command, or of an edit with a change.
func writeForm(name string, command Command, change config.Change, leftOut ...string) formtest.Form {
	choose := func(t reflect.Type) any {
		if t == reflect.TypeFor[config.Change]() {
			return change
		}
		return command
	}
	w := formtest.Filled(reflect.TypeFor[Write](), choose, leftOut...).Interface().(Write)
	return formtest.Form{
		Name: name, Want: w,
		Encode: func() ([]byte, error) { return w.Encode(), nil },
		Decode: func(record []byte) (any, error) { return DecodeWrite(record) },
	}
}

// added are the fields that came after the first program which stored records.
var added = []string{"Zones", "ColdPerSecond", "Rollouts"}

// filledDocument is a snapshot in which every field holds something, but for those left out.
func filledDocument(leftOut ...string) Document {
	choose := func(reflect.Type) any { return config.PutAccount{} }
	d := formtest.Filled(reflect.TypeFor[Document](), choose, leftOut...).Interface().(Document)
	d.Format = documentFormat
	return d
}

// snapshotForm is a snapshot. It is compared as the catalog writes it again.
func snapshotForm(t *testing.T, name string, d Document) formtest.Form {
	t.Helper()
	return formtest.Form{
		Name: name, Want: d,
		Encode: func() ([]byte, error) {
			b, err := modes.enc.Marshal(d)
			return pack.Bytes(b), err
		},
		Decode: func(record []byte) (any, error) {
			c, err := Decode(record)
			require.NoError(t, err)
			again, err := pack.Unpack(c.Encode())
			require.NoError(t, err)
			var got Document
			err = modes.dec.Unmarshal(again, &got)
			for i := range got.Deltas {
				got.Deltas[i].Change = byValue(got.Deltas[i].Change)
			}
			return got, err
		},
	}
}

// TestRecordsOfEarlierProgramsAreRead decodes log records and a snapshot as the program
// wrote them that first stored such records.
func TestRecordsOfEarlierProgramsAreRead(t *testing.T) {
	text, err := os.ReadFile(storedGolden)
	require.True(t, err == nil || *addForms, "%v", err)
	forms := []formtest.Form{
		snapshotForm(t, "snapshot", filledDocument(added...)), snapshotForm(t, "snapshot-zones", filledDocument("ColdPerSecond", "Rollouts")),
		snapshotForm(t, "snapshot-cold", filledDocument("Rollouts")), snapshotForm(t, "snapshot-rollouts", filledDocument()),
		writeForm("write-zone", formtest.Filled(reflect.TypeFor[ChangeZone](), nil).Interface().(ChangeZone), nil),
	}
	for _, command := range []Command{OrderRollout{}, AdvanceRollout{}, AdoptVersion{}, RevertRollout{}} {
		filled := formtest.Filled(reflect.TypeOf(command), nil).Interface().(Command)
		forms = append(forms, writeForm(fmt.Sprintf("write-%T", command), filled, nil))
	}
	for i, command := range commandTypes() {
		if _, ok := command.(Edit); !ok {
			forms = append(forms, writeForm(fmt.Sprintf("write-%02d", i), command.(Command), nil))
		}
	}
	for i, change := range config.Types() {
		name := fmt.Sprintf("edit-%02d", i)
		forms = append(forms, writeForm(name, Edit{}, change.(config.Change), added...))
		switch change.(type) {
		case config.PutRouteTable, config.PatchRouteTable:
			forms = append(forms, writeForm(name+"-cold", Edit{}, change.(config.Change)))
		}
	}
	all, err := formtest.Check(string(text), *addForms, forms)
	require.NoError(t, err)
	if *addForms {
		require.NoError(t, os.WriteFile(storedGolden, []byte(all), 0o600))
	}
}
