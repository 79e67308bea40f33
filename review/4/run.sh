#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=src:target/deps:review
python3 -c 'from common import deployment, gate, trainer, wire' || exit 2
exec python3 review/4/case.py
