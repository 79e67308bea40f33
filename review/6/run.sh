#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=src:target/deps:review
# Not run, rather than broken, if the stand-ins can't be loaded.
python3 -c 'from common2 import rig' || exit 2
exec python3 review/6/case.py
