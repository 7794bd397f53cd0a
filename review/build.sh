#!/bin/sh
# The stand-ins are Python of this repository: they are only compiled ahead.
# The build of the deploy file has to come first (target/deps).
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review tests/soak mangotally/platform mangotally/standins
