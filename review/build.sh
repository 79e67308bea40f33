#!/bin/sh
# Builds the stand-ins of the review: they are Python without dependencies of
# their own beside those that the deploy file builds, so they are only loaded
# here, the project's own stand-in of the store among them.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=src:target/deps:review python3 -c '
from common import deployment, gate, trainer, wire
'
