"""Makes the modules of the models importable in the tests."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))
