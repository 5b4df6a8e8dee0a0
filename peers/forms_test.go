// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers

import (
	"bytes"
	"encoding/gob"
	"flag"
	"os"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/formtest"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/zones"
)

// addForms adds records of types that the golden file lacks; it never replaces one.
var addForms = flag.Bool("add-forms", false, "add the forms of new types to the golden file")

const wireGolden = "testdata/wire.golden"

// carrier carries a value as messages carry what they hold: behind an interface.
type carrier struct{ Value any }

// chosenFor returns the first wire type that fits an interface.
func chosenFor(t reflect.Type) any {
	for _, w := range host.WireTypes() {
		if reflect.TypeOf(w.Value).Implements(t) {
			return w.Value
		}
	}
	return nil
}

func filled(v any, leftOut ...string) any {
	return formtest.Filled(reflect.TypeOf(v), chosenFor, leftOut...).Interface()
}

func gobForm(name string, want any) formtest.Form {
	return formtest.Form{
		Name: name, Want: want,
		Encode: func() ([]byte, error) {
			var b bytes.Buffer
			err := gob.NewEncoder(&b).Encode(want)
			return b.Bytes(), err
		},
		Decode: func(record []byte) (any, error) {
			got := reflect.New(reflect.TypeOf(want))
			err := gob.NewDecoder(bytes.NewReader(record)).DecodeValue(got)
			return got.Elem().Interface(), err
		},
	}
}

// TestMessagesOfEarlierProgramsAreRead decodes what the program wrote that first sent a
// message.
func TestMessagesOfEarlierProgramsAreRead(t *testing.T) {
	registerOnce.Do(registerTypes)
	text, err := os.ReadFile(wireGolden)
	require.True(t, err == nil || *addForms, "%v", err)
	types := host.WireTypes()
	forms := make([]formtest.Form, 0, len(types))
	for _, w := range types {
		// The first programs that sent route tables knew no cold workers.
		name, value := "type-"+w.Name, filled(w.Value, "ColdPerSecond")
		if whole, ok := w.Value.(host.WholeConfig); ok {
			forms = append(forms, gobForm(name+"-cold", carrier{Value: filled(whole)}))
		}
		if poll, ok := value.(host.Poll); ok {
			// The first programs that sent polls reported neither replaced workers nor crashes nor
			// drained zones.
			forms = append(forms, gobForm(name+"-zones", carrier{Value: poll}))
			poll.KnowsZones, poll.Zones, poll.ZonesInForce = false, 0, 0
			forms = append(forms, gobForm(name+"-crashes", carrier{Value: poll}))
			poll.Crashes, poll.CrashList, poll.CrashEntries = nil, 0, nil
			forms = append(forms, gobForm(name+"-replaced", carrier{Value: poll}))
			poll.Replaced = nil
			value = poll
		}
		if beat, ok := value.(host.PeerHeartbeat); ok {
			forms = append(forms, gobForm(name+"-crashes", carrier{Value: beat}))
			beat.Beat.Crashes, beat.Beat.CrashList, beat.Beat.CrashEntries = nil, 0, nil
			value = beat
		}
		if reply, ok := value.(host.PollReply); ok {
			forms = append(forms, gobForm(name+"-zones", carrier{Value: reply}))
			reply.Zones = zones.Drained{}
			forms = append(forms, gobForm(name+"-crashes", carrier{Value: reply}))
			reply.CrashList, reply.CrashEntries = 0, nil
			value = reply
		}
		if log, ok := value.(host.Raft); ok {
			forms = append(forms, gobForm(name+"-zones", carrier{Value: log}))
			log.KnowsZones = false
			value = log
		}
		if await, ok := value.(host.AwaitInForce); ok {
			forms = append(forms, gobForm(name+"-zones", carrier{Value: await}))
			await.Zones = 0
			value = await
		}
		if answered, ok := value.(host.WriteAnswered); ok {
			forms = append(forms, gobForm(name+"-zones", carrier{Value: answered}))
			answered.Result.Zones = 0
			value = answered
		}
		forms = append(forms, gobForm(name, carrier{Value: value}))
	}
	forms = append(forms, gobForm("hello", filled(Hello{})), gobForm("batch", filled(Batch{}, "KnowsZones")), gobForm("ack", filled(Ack{})))
	all, err := formtest.Check(string(text), *addForms, forms)
	require.NoError(t, err)
	if *addForms {
		require.NoError(t, os.WriteFile(wireGolden, []byte(all), 0o600))
	}
}
