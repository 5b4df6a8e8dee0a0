// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Command yardhall is the operators' tool of a yardhall fleet.
package main

import (
	"os"

	"github.com/yardhall/yardhall/commands/yardhall"
)

func main() { os.Exit(yardhall.Execute()) }
