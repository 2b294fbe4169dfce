#!/bin/sh
# Builds the stand-ins of the scripts, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review/case1 ./review/1
go build -tags review -o target/review/case2 ./review/2
go build -tags review -o target/review/memory ./review/more/memory
