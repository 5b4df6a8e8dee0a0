// Package main is the test rig of the review: it starts the programs of the deploy file on loopback addresses, plays
// clients, workers and the operator, and checks one rule per scenario.
package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesJSON []byte

// names are the platform's names for headers and paths.
var names = loadNames()

type wireNames struct {
	RequestID, Deadline, Signature, NotRun, WorkerID, ExpectedWorker, LastEventID string
	ReadyPath, ConfigPath, InstancePath                                           string
}

func loadNames() wireNames {
	var n wireNames
	if err := json.Unmarshal(namesJSON, &n); err != nil {
		panic(err)
	}
	return n
}
