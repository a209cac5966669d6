#!/bin/sh
# Runs the case on loopback; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
