#!/bin/sh
# Checks and compiles the stand-ins that the cases start; they are Python and need no network.
# Their only library, msgspec, is one of those that the build of the deploy file puts in target/.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q review tests/support/stand_ins.py &&
    PYTHONPATH=review python3 -c "import harness, links"
