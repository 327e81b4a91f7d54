#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into dist/review-2/. The gateways are built by the
# deploy file. Needs nothing but the installed packages.
set -euo pipefail
cd "$(dirname "$0")/.."
node review/common-2/build.mjs
