#!/bin/sh
# Builds what the scripts of review/9 to review/13 start besides the program of the deploy file: the project's stand-ins of workers, machines and the
# in-memory store. The modules in review/lib-3 need no build and are only checked.
cd "$(dirname "$0")/.." || exit 2
node_modules/.bin/tsc --build || exit 1
for file in review/lib-3/*.mjs review/9/*.mjs review/1[0-3]/*.mjs; do
  [ ! -e "$file" ] || node --check "$file" || exit 1
done
