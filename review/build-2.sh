#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are plain Node.js without dependencies, so that
# all that is left to do is to check that each file can be read.
cd "$(dirname "$0")" || exit 2
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
    if [ -e "$file" ]; then
        node --check "$file" || exit 2
    fi
done
