#!/usr/bin/env bash
# The stand-ins are plain modules of Node.js and need no build; checks that they can be read.
cd "$(dirname "$0")" || exit 2
for file in common-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ ! -f "$file" ] || node --check "$file" || exit 1
done
