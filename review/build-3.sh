#!/usr/bin/env bash
# Builds the cases review/11 to review/15 with the stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
cases=()
for file in review/1[1-5]/case.ts; do
	[ -e "$file" ] && cases+=("$(basename "$(dirname "$file")")=$file")
done
node_modules/.bin/esbuild "${cases[@]}" --bundle --platform=node --target=node20 --format=esm \
	--conditions=source --external:bufferutil --external:utf-8-validate \
	--banner:js="import {createRequire as createRequireOfCase} from 'node:module'; const require = createRequireOfCase(import.meta.url);" \
	--outdir=target/review-3/cases --out-extension:.js=.mjs --log-level=warning
