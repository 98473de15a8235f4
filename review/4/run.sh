#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 the same is played without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
PYTHONPATH=review/lib_2:platform/testing/src:target/deps \
    exec python3 review/4/case.py
