// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package registry_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

// TestOnlyUsableWorkersAreTaken spoils a registration in each field; the others of the
// same list hold.
func TestOnlyUsableWorkersAreTaken(t *testing.T) {
	long := strings.Repeat("x", 300)
	spoilt := map[string]func(*registry.Worker){
		"no id":            func(w *registry.Worker) { w.ID = "" },
		"long id":          func(w *registry.Worker) { w.ID = ident.Target(long) },
		"unknown state":    func(w *registry.Worker) { w.State = registry.Gone + 1 },
		"negative start":   func(w *registry.Worker) { w.Born = -1 },
		"start after 9999": func(w *registry.Worker) { w.Born = 1 << 60 },
		"no service":       func(w *registry.Worker) { w.Pool = "" },
		"long service":     func(w *registry.Worker) { w.Pool = ident.Service(long) },
		"long zone":        func(w *registry.Worker) { w.Zone = ident.Zone(long) },
		"long version":     func(w *registry.Worker) { w.Version = ident.Version(long) },
		"no slots":         func(w *registry.Worker) { w.Slots = 0 },
		"negative slots":   func(w *registry.Worker) { w.Slots = -4 },
		"too many slots":   func(w *registry.Worker) { w.Slots = 1 << 40 },
		"no address":       func(w *registry.Worker) { w.Address = "" },
		"no port":          func(w *registry.Worker) { w.Address = "10.0.0.1" },
		"no host":          func(w *registry.Worker) { w.Address = ":80" },
		"port 0":           func(w *registry.Worker) { w.Address = "10.0.0.1:0" },
		"large port":       func(w *registry.Worker) { w.Address = "10.0.0.1:70000" },
		"named port":       func(w *registry.Worker) { w.Address = "10.0.0.1:http" },
		"long address":     func(w *registry.Worker) { w.Address = long + ":80" },
	}
	for name, spoil := range spoilt {
		w := process(bornFirst, 1, registry.Ready)
		spoil(&w)
		require.Error(t, w.Check(), name)
		taken, err := registry.Checked([]registry.Worker{w, process(bornFirst, 1, registry.Ready)})
		require.Error(t, err, name)
		require.Equal(t, []registry.Worker{process(bornFirst, 1, registry.Ready)}, taken, name)
	}
	require.NoError(t, registry.Worker{ID: "w", State: registry.Gone}.Check(), "of one that is gone only the id counts")
}

// FuzzUnpack reads bytes that a peer may send: whatever they are, it returns, and what is
// taken can be used and logged.
func FuzzUnpack(f *testing.F) {
	f.Add(registry.Pack([]registry.Worker{process(bornFirst, 1, registry.Ready), process(0, 2, registry.Gone)}))
	f.Add([]byte{0})
	f.Add([]byte("\x00\x81\xa2\x01bw1\x06\x18\xff"))
	f.Fuzz(func(t *testing.T, record []byte) {
		workers, err := registry.Unpack(record)
		if err != nil {
			return
		}
		taken, _ := registry.Checked(workers)
		for _, w := range taken {
			require.NotEmpty(t, w.State.String())
			require.NotEmpty(t, w.ID)
		}
	})
}
