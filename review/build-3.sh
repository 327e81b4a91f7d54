#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 are plain JavaScript modules in review/common-3, so that there is nothing to build; checks
# that they and the program of the deploy file are there.
set -euo pipefail
cd "$(dirname "$0")/.."
for module in review/common-3/*.mjs; do
    node --check "$module"
done
test -f target/gateway.cjs
