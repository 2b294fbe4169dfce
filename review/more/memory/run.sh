#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the test could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/hornbeamsilld ] && [ -x target/review/memory ] || exit 2
exec target/review/memory
