#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start. Needs Go alone, and no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o bin/drive .
