#!/bin/sh
# Builds what the scripts of review/4 to review/8 start besides the program of the deploy file: nothing has to be compiled, since the stand-ins in
# review/lib-2 are plain modules of Node.js without dependencies. They are only checked.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib-2/*.mjs review/[4-8]/*.mjs; do node --check "$file" || exit 1; done
