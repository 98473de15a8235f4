#!/bin/sh
# Install the router and its libraries under target/deps.
# Libraries are kept while the pins stay as they are; this repository's own
# packages are copied anew each time, or an old copy of them would run.
set -e
deps=target/deps
if [ ! "$deps/.made" -nt constraints.txt ]; then
    rm -rf "$deps"
    PIP_CONSTRAINT=constraints.txt python3 -m pip install -q \
        --target "$deps" ./packages/common ./packages/daemon ./platform
    touch "$deps/.made"
fi
# Compiled here, or every start would compile them: processes may not write
# into the repository.
for own in packages/common/src/lacewing_common \
        packages/daemon/src/lacewing_daemon \
        platform/src/lacewing_platform; do
    rm -rf "$deps/${own##*/}"
    cp -r "$own" "$deps/"
    python3 -m compileall -q "$deps/${own##*/}"
done
