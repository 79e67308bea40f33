#!/bin/sh
# Builds the stand-ins of the second review. They are Python and need nothing
# beside the libraries that the deploy file builds, so they are only loaded
# here, the project's own stand-ins among them.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=src:target/deps:review python3 -c '
from common2 import rig
from clementineline.platform.tests import standin
rig.read_commands()["gateway"], rig.read_commands()["keeper"]
'
