#!/bin/sh
# The stand-ins need no build: they use Python's standard library alone.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q standin_*.py
