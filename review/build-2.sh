#!/bin/sh
# Build the stand-ins of the cases 4 and later, the project's own too. They use
# the libraries that the build of the deploy file has put under target/deps.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q platform/testing/src/lacewing_platform_testing \
    review/lib_2
PYTHONPATH=review/lib_2:platform/testing/src:target/deps \
    python3 -c 'import client_2, deployment_2, lacewing_platform_testing'
