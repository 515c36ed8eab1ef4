#!/usr/bin/env bash
# Builds the project's own stand-ins, which the scripts use, to build/.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent --no-audit --no-fund
npx --no-install tsc -p .
