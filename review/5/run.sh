#!/usr/bin/env bash
# Exits with 1 if a request goes on at another replica while the one before works on it 400 ms later, 0 if not, 2 if the
# case couldn't run.
cd "$(dirname "$0")" || exit 2
exec timeout 115 node run.mjs
