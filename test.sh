#!/usr/bin/env bash
# Runs every test with the race detector. KNOWN-RED.txt may list the
# tests that fail for a known fault, "test, cause, issue" a line; they are run,
# printed, and do not fail this script.
set -euo pipefail
cd "$(dirname "$0")"
red=""
if [ -f KNOWN-RED.txt ]; then
  red=$(cut -d, -f1 KNOWN-RED.txt | sed '/^[[:space:]]*$/d' | paste -sd'|' -)
fi
if [ -z "$red" ]; then
  go test -race -count=1 -timeout 30m ./...
  exit
fi
go test -race -count=1 -timeout 30m -skip "^($red)\$" ./...
echo "== known red"
cat KNOWN-RED.txt
go test -race -count=1 -timeout 30m -run "^($red)\$" ./... || true
