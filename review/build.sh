#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules for Node.js: there is nothing to build, only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */run.mjs; do
    node --check "$file"
done
