// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package storage

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// damagedFolder holds the files of a damaged log, inside the data folder.
const damagedFolder = "damaged"

// SetAside moves the files of a damaged data folder into a folder within it, in
// place of what was set aside before, and leaves the data folder as a new one.
// What the files held is lost to this replica, as if the disk were.
func SetAside(dir string) error {
	aside := filepath.Join(dir, damagedFolder)
	if err := os.RemoveAll(aside); err != nil {
		return errors.Wrap(err, "remove what was set aside before")
	}
	files, err := filepath.Glob(filepath.Join(dir, "state-*"))
	if err != nil {
		return errors.Wrap(err, "list data folder")
	}
	if err := os.MkdirAll(aside, dirMode); err != nil {
		return errors.Wrap(err, "make folder")
	}
	for _, f := range files {
		if err := os.Rename(f, filepath.Join(aside, filepath.Base(f))); err != nil {
			return errors.Wrap(err, "set aside")
		}
	}
	return syncDir(dir)
}
