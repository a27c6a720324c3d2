#!/usr/bin/env bash
# Checks the stand-ins of the scripts. They are plain modules that need nothing but Node.js, so there is
# nothing to compile; the project's program is built by the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */play.mjs; do
	node --check "$file"
done
