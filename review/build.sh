#!/usr/bin/env bash
# Compiles the stand-ins, which need nothing but Python's standard library.
set -euo pipefail
cd "$(dirname "$0")"
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX=$cache python3 -m compileall -q lib ./*/case.py
