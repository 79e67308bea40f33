"""Lets the tests import the models beside them."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))
