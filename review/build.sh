#!/usr/bin/env bash
# The stand-ins of the cases are plain modules without dependencies (review/lib), so there is nothing to compile: this only checks that Node.js reads them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */run.mjs; do node --check "$file"; done
