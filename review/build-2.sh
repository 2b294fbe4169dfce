#!/bin/sh
# Builds what the scripts of review/4 to review/6 start, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
for n in 4 5 6; do
	go build -tags review -o "target/review/case$n" "./review/$n"
done
