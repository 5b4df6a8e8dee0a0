// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package storage_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/storage"
)

// TestDamagedFolderIsSetAside damages a folder twice: each time what it held is
// moved away and a new name can be given.
func TestDamagedFolderIsSetAside(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"first", "second"} {
		o := options
		o.Identity = ident.Host("a").WithDisk(name)
		l, boot, err := storage.Open(dir, o)
		require.NoError(t, err)
		require.Empty(t, boot.Entries)
		require.Equal(t, o.Identity, l.Identity())
		require.NoError(t, l.Write([]raft.Persist{persist(1, entries(1, 2, 1))}))
		require.NoError(t, l.Write([]raft.Persist{persist(1, entries(3, 4, 1))}))
		require.NoError(t, l.Close())
		file := newest(t, dir, "log")
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		text[len(text)/2] ^= 1
		require.NoError(t, os.WriteFile(file, text, 0o600))
		_, _, err = storage.Open(dir, o)
		require.ErrorIs(t, err, storage.ErrDamaged)
		require.NoError(t, storage.SetAside(dir))
	}
}
