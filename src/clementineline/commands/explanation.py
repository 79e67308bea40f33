"""Selection of the log lines that explain the outcome of a request.

The logs of several processes are read together. Text before the JSON object
of a line, such as a time and a name that a log collector added, is ignored.
"""

import json
import pathlib
import sys

__all__ = ['print_lines', 'read_lines', 'select_lines']

STANDARD_INPUT = '-'
# Fields whose value identifies the subject of a line, most specific first.
SUBJECT_FIELDS = (
    'request',
    'submission',
    'item',
    'endpoint',
    'model',
    'vm',
    'holder',
    'member',
)
# Events of a whole process, which may affect all its work at that time.
CONTEXT_EVENTS = frozenset(
    (
        'lease acquired',
        'lease lapsed',
        'lease lost',
        'leading',
        'not leading',
        'platform lost',
        'platform regained',
        'store reached through a member',
        'route table adopted',
    )
)
HIDDEN_FIELDS = ('timestamp', 'process', 'event', 'level')


def read_lines(paths):
    """Read JSON lines from files.

    :param paths: paths of log files; ``-`` for standard input
    :returns: list of dicts, sorted by time
    """
    found = []
    for path in paths:
        if path == STANDARD_INPUT:
            found.extend(_parse(sys.stdin))
            continue
        with pathlib.Path(path).open(errors='replace') as file:
            found.extend(_parse(file))
    found.sort(key=lambda line: line.get('timestamp', ''))
    return found


def _parse(lines):
    for text in lines:
        start = text.find('{')
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # The line is not from this system or is truncated.
            continue
        if isinstance(line, dict) and 'event' in line:
            yield line


def select_lines(lines, subject):
    """Select the lines about an id, and the context of these lines.

    The context is the lines about submissions that the selected lines name
    (acceptance, opening, recorded results and end, but not other items), the
    attempts of an item's reward call, and the ``CONTEXT_EVENTS`` of the same
    processes in the same period.

    :param lines: dicts, sorted by time
    :param subject: id of a request, item, submission, endpoint or model
    :returns: list of dicts, sorted by time
    """
    direct = [line for line in lines if _is_about(line, subject)]
    if not direct:
        return []
    submissions = set()
    for line in direct:
        if line.get('submission'):
            submissions.add(line['submission'])
    calls = set()
    for line in direct:
        if line.get('item') and line.get('request'):
            calls.add(line['request'])
    processes = {line.get('process') for line in direct}
    first = direct[0].get('timestamp', '')
    last = direct[-1].get('timestamp', '')
    selected = []
    for line in lines:
        if _is_about(line, subject):
            selected.append(line)
            continue
        if line.get('submission') in submissions and 'request' not in line:
            selected.append(line)
            continue
        if line.get('request') in submissions or line.get('request') in calls:
            selected.append(line)
            continue
        if line['event'] not in CONTEXT_EVENTS:
            continue
        if line.get('process') not in processes:
            continue
        if first <= line.get('timestamp', '') <= last:
            selected.append(line)
    return selected


def _is_about(line, subject):
    return any(line.get(field) == subject for field in SUBJECT_FIELDS)


def print_lines(lines):
    """Print lines in a human-readable format."""
    for line in lines:
        details = []
        for name, value in line.items():
            if name in HIDDEN_FIELDS or value in (None, ''):
                continue
            details.append(f'{name}={value}')
        print(
            f'{line.get("timestamp", "")} {line.get("process", "?")}: '
            f'{line["event"]}  {" ".join(details)}'
        )
