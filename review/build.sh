#!/usr/bin/env bash
# The stand-ins are plain JavaScript and need no build; checks that they parse.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do node --check "$file"; done
