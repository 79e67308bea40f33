"""Run the ``clementineline`` command with ``python -m``."""

from clementineline.commands import main

__all__ = []

if __name__ == '__main__':
    main.run()
