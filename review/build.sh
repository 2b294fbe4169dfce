#!/bin/sh
# Builds the stand-ins of the scripts, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
for main in review/[0-9]*/main.go; do
	dir=$(dirname "$main")
	go build -tags review -o "target/review/case$(basename "$dir")" "./$dir"
done
