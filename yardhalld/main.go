// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Command yardhalld is the daemon of a yardhall fleet.
package main

import (
	"os"

	"github.com/yardhall/yardhall/commands/yardhalld"
)

func main() { os.Exit(yardhalld.Execute()) }
