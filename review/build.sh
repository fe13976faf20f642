#!/bin/sh
# The stand-ins are plain Node.js modules without dependencies: there is nothing
# to compile. This checks that the scripts can start.
set -e
cd "$(dirname "$0")/.."
test -f target/carobseam-relay.mjs
for file in review/stand_ins/*.mjs review/[1-5]/*.mjs; do
  node --check "$file"
done
