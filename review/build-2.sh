#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are plain modules of Node.js without dependencies. There is nothing to compile,
# so this only checks that they can be loaded and that the program of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs {6,7,8,9,10}/play.mjs; do
	node --check "$file"
done
test -f ../target/marjoramcove.cjs
