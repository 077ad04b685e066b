#!/bin/sh
# Plays this case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/quillscale-fleet.cjs ] || { echo 'could not run: build the program first' >&2; exit 2; }
exec node review/5/run.mjs
