// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package storage_test

import (
	"os"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/formtest"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/storage"
)

// earlierFolder is a data folder as the program wrote it that first stored state: a
// snapshot up to index 2 and the entries 3 and 4 after it, each field filled.
const earlierFolder = "testdata/earlier"

func filledHard() raft.HardState {
	return formtest.Filled(reflect.TypeFor[raft.HardState](), nil).Interface().(raft.HardState)
}

func filledEntry(i raft.Index) raft.Entry {
	e := formtest.Filled(reflect.TypeFor[raft.Entry](), nil).Interface().(raft.Entry)
	e.Index = i
	return e
}

func filledSnapshot() raft.Snapshot {
	s := formtest.Filled(reflect.TypeFor[raft.Snapshot](), nil).Interface().(raft.Snapshot)
	s.Index = 2
	return s
}

func TestDataFolderOfAnEarlierProgramIsRead(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS(earlierFolder)))
	o := storage.Options{Fleet: "f", Identity: "another name"}
	l, boot, err := storage.Open(dir, o)
	require.NoError(t, err)
	require.NoError(t, l.Close())
	require.Equal(t, ident.Host("first name"), l.Identity())
	require.Equal(t, filledHard(), boot.Hard)
	require.Equal(t, filledSnapshot(), boot.Snapshot)
	require.Equal(t, []raft.Entry{filledEntry(3), filledEntry(4)}, boot.Entries)
}
