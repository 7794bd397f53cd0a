#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They need the standard
# library alone; the hosts are what the build of the deploy file leaves.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/kit2.py
