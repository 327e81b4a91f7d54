#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain modules for Node.js, so that they only have to be readable as such.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.mjs [1-5]/*.mjs; do
    node --check "$file"
done
