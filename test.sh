#!/usr/bin/env bash
# Runs every test with the race detector. KNOWN-RED.txt may list the
# tests that fail for a known fault, "test, cause, issue" a line; they are run,
# printed, and do not fail this script. Tests of crowds measure memory, and run
# alone.
set -euo pipefail
cd "$(dirname "$0")"
red=""
if [ -f KNOWN-RED.txt ]; then
  red=$(cut -d, -f1 KNOWN-RED.txt | sed '/^[[:space:]]*$/d' | paste -sd'|' -)
fi
known="^(${red:-none})\$"
go test -race -count=1 -timeout 30m -skip "$known|^TestCrowd" ./...
echo "== crowds"
go test -race -count=1 -timeout 30m -p 1 -run '^TestCrowd' -skip "$known" ./test/routes ./test/process
if [ -n "$red" ]; then
  echo "== known red"
  cat KNOWN-RED.txt
  go test -race -count=1 -timeout 30m -p 1 -run "$known" ./... || true
fi
