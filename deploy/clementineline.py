"""Runs a role from a source checkout, without an installed package."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'src'))

from clementineline.platform import main  # noqa: E402

if __name__ == '__main__':
    sys.exit(main.run(sys.argv[1:]))
