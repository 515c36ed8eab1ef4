#!/bin/sh
# The stand-ins of review/6 to review/10 are plain JavaScript in review/support-2 and in the cases' folders, and need no
# build; this checks that Node.js can read them, and that the deploy file's build is there.
set -e
cd "$(dirname "$0")/.."
for file in review/support-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
test -e target/entry.cjs || { echo 'target/entry.cjs is missing: run the build of deploy/system.toml' >&2; exit 2; }
