"""The ``clementineline`` command.

Exit codes: 0 success; 1 refused by the service; 2 wrong arguments or settings;
3 the service cannot be reached; 4 the outcome is unknown.
"""

import pathlib
import sys
import typing

import cyclopts

from clementineline.commands import operator
from clementineline.commands import processes
from clementineline.commands import where
from clementineline import errors
from clementineline.state import settings

__all__ = ['app', 'run']

app = cyclopts.App(
    name='clementineline',
    help=(
        'A rollout service for reinforcement learning.\n\n'
        'Start the daemons with "entry" and "sidecar". As an operator, '
        'submit an intent, read its plan, then confirm or withdraw it.\n\n'
        'Exit codes: 0 success, 1 refused, 2 wrong arguments or settings, '
        '3 the service cannot be reached, 4 the outcome is unknown.'
    ),
)
operator.add_commands(app)


@app.command
def entry(
    *,
    settings_file: typing.Annotated[
        pathlib.Path, cyclopts.Parameter(name='--settings')
    ],
):
    """Run an entry until SIGTERM.

    :param settings_file: JSON settings of the entry
    """
    loaded = settings.load_settings(settings_file, settings.EntrySettings)
    processes.run_entry(loaded)


@app.command
def sidecar(
    *,
    settings_file: typing.Annotated[
        pathlib.Path, cyclopts.Parameter(name='--settings')
    ],
):
    """Run a sidecar until SIGTERM.

    :param settings_file: JSON settings of the sidecar
    """
    loaded = settings.load_settings(settings_file, settings.SidecarSettings)
    processes.run_sidecar(loaded)


@app.command
def check(file: pathlib.Path):
    """Check a settings or intent file and report errors in it.

    :param file: JSON settings of an entry or sidecar, or an intent
    """
    kind = operator.check_file(file)
    print(f'{file}: valid {kind}')


app.command(where.where)


def run():
    """Run the command line and exit with the command's code."""
    try:
        app(sys.argv[1:])
    except errors.SettingsError as error:
        print(f'clementineline: {error}', file=sys.stderr)
        sys.exit(2)
    except operator.CommandFailed as error:
        print(f'clementineline: {error}', file=sys.stderr)
        sys.exit(error.code)
