"""Commands for operators, which send HTTP requests to an entry."""

import getpass
import json
import os
import pathlib
import typing
import urllib.error
import urllib.request

import cyclopts

from clementineline.commands import explanation
from clementineline import errors

__all__ = ['CommandFailed', 'add_commands', 'check_file']

ENTRY_VARIABLE = 'CLEMENTINELINE_ENTRY'
DEFAULT_ENTRY = 'http://127.0.0.1:7200'
RESPONSE_TIMEOUT_S = 30.0
EXIT_REFUSED = 1
EXIT_WRONG_INPUT = 2
EXIT_UNREACHABLE = 3
EXIT_UNKNOWN_OUTCOME = 4

Entry = typing.Annotated[
    str | None,
    cyclopts.Parameter(
        name='--entry',
        help=f'base URL of an entry; default: ${ENTRY_VARIABLE}, or else '
        f'{DEFAULT_ENTRY}',
    ),
]
Json = typing.Annotated[
    bool,
    cyclopts.Parameter(name='--json', negative='', help='print JSON'),
]


Logs = typing.Annotated[
    tuple[str, ...],
    cyclopts.Parameter(
        name='--log',
        help='read these log files instead of querying an entry; - is '
        'standard input',
    ),
]


class CommandFailed(errors.ClementinelineError):
    """A command failed.

    :param message: message for standard error
    :param code: exit code
    """

    def __init__(self, message, code):
        super().__init__(message)
        self.code = code


def _explain_from_logs(subject, paths, as_json):
    """Print the log lines about an id."""
    try:
        lines = explanation.read_lines(paths)
    except OSError as error:
        raise CommandFailed(str(error), EXIT_WRONG_INPUT) from error
    selected = explanation.select_lines(lines, subject)
    if not selected:
        raise CommandFailed(
            f'{subject}: not found in {len(lines)} log lines', EXIT_REFUSED
        )
    if as_json:
        _print_json(selected)
        return
    explanation.print_lines(selected)


def _call(entry, method, path, data=None):
    """Send a request to the operator API of an entry.

    :param entry: base URL of the entry; None for the default
    :param method: HTTP method
    :param path: path below ``/v1/operator/``
    :param data: request body, in bytes
    :returns: the decoded JSON response
    :raises CommandFailed: if the entry refused the request or did not respond
    """
    root = entry or os.environ.get(ENTRY_VARIABLE, DEFAULT_ENTRY)
    request = urllib.request.Request(
        f'{root.rstrip("/")}/v1/operator/{path}', data=data, method=method
    )
    request.add_header('Clementineline-Operator', getpass.getuser())
    try:
        with urllib.request.urlopen(
            request, timeout=RESPONSE_TIMEOUT_S
        ) as response:
            return json.load(response)
    except urllib.error.HTTPError as error:
        raise _build_failure(error) from None
    except (OSError, ValueError) as error:
        code = EXIT_UNREACHABLE if method == 'GET' else EXIT_UNKNOWN_OUTCOME
        reason = getattr(error, 'reason', error)
        if isinstance(reason, ConnectionRefusedError):
            code = EXIT_UNREACHABLE
        raise CommandFailed(f'{root}: {reason}', code) from None


def _build_failure(error):
    try:
        message = json.load(error)['error']['message']
    except (ValueError, LookupError, TypeError):
        message = f'status {error.code}'
    verdict = error.headers.get('Clementineline-Verdict', '')
    code = EXIT_REFUSED
    if verdict == 'may-have-run':
        code = EXIT_UNKNOWN_OUTCOME
    elif error.code in (400, 422):
        code = EXIT_WRONG_INPUT
    return CommandFailed(message, code)


def _print_json(value):
    print(json.dumps(value, indent=2))


def _print_plan(plan, as_json):
    if as_json:
        _print_json(plan)
        return
    print(
        f'plan {plan["id"]} ({plan["state"]}), by {plan["operator"]} at '
        f'{plan["created"]}'
    )
    print(f'against configuration {plan["base_version"]}')
    print('changes:')
    for change in plan['changes']:
        print(f'  {change["key"]}')
        print(f'    now:  {json.dumps(change["before"])}')
        print(f'    then: {json.dumps(change["after"])}')
    print('effects:')
    for effect in plan['effects']:
        print(f'  {effect}')
    if plan['state'] == 'proposed':
        print(f'confirm with: clementineline plan confirm {plan["id"]}')
    if plan['state'] == 'confirmed':
        print(f'in force with configuration {plan["in_force_version"]}')


def _print_status(status):
    configuration = status['configuration']
    available = 'yes' if status['platform_available'] else 'no'
    print(f'leader: {status["leader"] or "none known"}')
    print(f'platform answers: {available}')
    print(
        f'configuration: {configuration["version"]}, everywhere at least '
        f'{configuration["lowest_in_force"]}'
    )
    if configuration['lagging']:
        print(f'  lagging: {", ".join(configuration["lagging"])}')
    for model, version in sorted(status['weights'].items()):
        print(f'weights of {model}: {version}')
    print(f'entries: {", ".join(status["entries"])}')
    print(f'waiting: {status["waiting"]}')
    print('endpoints:')
    for endpoint in status['endpoints']:
        weights = ''
        if endpoint['active_version'] >= 0:
            weights = f'weights {endpoint["active_version"]}, '
        print(
            f'  {endpoint["name"]:<20} {endpoint["availability_zone"]:<14} '
            f'{endpoint["serves"]:<14} {endpoint["state"]:<12} '
            f'{endpoint["used"]}/{endpoint["slots"]} slots, '
            f'{weights}'
            f'configuration {endpoint["configuration"]}'
        )
    for step, groups in sorted(status['steps'].items()):
        print(f'step {step}: {groups} whole groups wait for the trainer')
    if status['repairs']:
        print('repaired lately:')
    for repair in status['repairs']:
        details = dict(repair)
        kind, subject = details.pop('decision'), details.pop('id')
        print(f'  {kind} {subject}: {json.dumps(details)}')


def check_file(path):
    """Check a settings or intent file.

    :param path: path of the file
    :returns: ``entry settings``, ``sidecar settings`` or ``intent``
    :raises errors.SettingsError: if the file is invalid; the message names
        the wrong value
    """
    # Imported here, so that the other commands start without these modules.
    from clementineline.coordination import planning
    from clementineline.state import settings

    data = _read_file(path)
    try:
        fields = json.loads(data)
    except ValueError as error:
        raise errors.SettingsError(f'{path}: {error}') from None
    if not isinstance(fields, dict):
        raise errors.SettingsError(f'{path}: $: expected an object')
    if fields.keys() & {'trainers', 'models', 'services', 'endpoints'}:
        try:
            planning.parse_intent(data)
        except errors.IntentError as error:
            raise errors.SettingsError(f'{path}: {error}') from None
        return 'intent'
    if fields.keys() & {'engine', 'service'}:
        settings.load_settings(path, settings.SidecarSettings)
        return 'sidecar settings'
    settings.load_settings(path, settings.EntrySettings)
    return 'entry settings'


def _read_file(path):
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise errors.SettingsError(
            f'{path}: cannot be read: {error.strerror}'
        ) from None


def add_commands(app):
    """Add the commands for operators to the application.

    :param app: the :class:`cyclopts.App`
    """
    intent = cyclopts.App(name='intent', help='Submit intents.')
    plan = cyclopts.App(name='plan', help='Show, confirm or withdraw plans.')
    app.command(intent)
    app.command(plan)

    @intent.command
    def submit(file: pathlib.Path, *, entry: Entry = None, json: Json = False):
        """Submit an intent and print its plan, without changing anything.

        :param file: JSON file with the intent
        """
        response = _call(entry, 'POST', 'intents', _read_file(file))
        _print_plan(response, json)

    @plan.command(name='list')
    def list_plans(*, entry: Entry = None, json: Json = False):
        """List all plans, oldest first."""
        response = _call(entry, 'GET', 'plans')
        if json:
            _print_json(response)
            return
        for item in response['plans']:
            print(
                f'{item["id"]}  {item["state"]:<10} {item["created"]}  '
                f'{item["operator"]}  {len(item["changes"])} changes'
            )

    @plan.command
    def show(plan_id: str, *, entry: Entry = None, json: Json = False):
        """Show a plan: its changes and their effects."""
        _print_plan(_call(entry, 'GET', f'plans/{plan_id}'), json)

    @plan.command
    def confirm(plan_id: str, *, entry: Entry = None, json: Json = False):
        """Confirm a plan and put it in force, unless it is stale."""
        path = f'plans/{plan_id}/confirm'
        _print_plan(_call(entry, 'POST', path, b''), json)

    @plan.command
    def withdraw(plan_id: str, *, entry: Entry = None, json: Json = False):
        """Withdraw an unconfirmed plan."""
        path = f'plans/{plan_id}/withdraw'
        _print_plan(_call(entry, 'POST', path, b''), json)

    @app.command
    def status(*, entry: Entry = None, json: Json = False):
        """Show the leader, configuration, endpoints and repairs."""
        response = _call(entry, 'GET', 'status')
        if json:
            _print_json(response)
            return
        _print_status(response)

    @app.command
    def explain(
        id: str,
        *,
        log: Logs = (),
        entry: Entry = None,
        json: Json = False,
    ):
        """Show the decisions about a request, sample, step or plan."""
        if log:
            _explain_from_logs(id, log, json)
            return
        response = _call(entry, 'GET', f'explain/{id}')
        if json:
            _print_json(response)
            return
        for decision in response['decisions']:
            details = dict(decision)
            process = details.pop('process')
            kind, subject = details.pop('decision'), details.pop('id')
            print(f'{process}: {kind} {subject}')
            for name, value in details.items():
                print(f'    {name}: {value}')
