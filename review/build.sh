#!/usr/bin/env bash
# Builds the test rig, which holds all stand-ins of the cases. Needs nothing but the Go toolchain.
set -euo pipefail
cd "$(dirname "$0")/rig"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-rig .
