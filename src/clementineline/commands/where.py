"""The command that tells where a request would go now."""

import asyncio
import json
import pathlib
import sys

import msgspec

from clementineline.commands import operator
from clementineline import errors
from clementineline.protocol import asking
from clementineline.state import questions
from clementineline.transport import frames

__all__ = ['where']

ANSWER_TIMEOUT_S = 2.0


def where(
    process: str,
    host: str,
    path: str,
    *,
    model: str = '',
    version_min: int = 0,
    length_hint: float = 0.0,
    prompt_tokens: int = 0,
    key_file: str = '',
    as_json: bool = False,
):
    """Print where a gateway or keeper would send a request now, and why.

    Nothing is sent or reserved. Where the route chooses among services, the
    choice of each one is printed.

    :param process: HOST:PORT for other processes of the gateway or keeper
    :param host: host name of the request
    :param path: path of the request or item
    :param model: model of an item
    :param version_min: oldest version that may run the item
    :param length_hint: output tokens that are expected of the item
    :param prompt_tokens: prompt tokens of the item
    :param key_file: file with the caller's key, ``-`` for standard input; a
        key on the command line would be visible to other users of the machine
    :param as_json: print the answer as JSON
    """
    question = questions.PreviewRequest(
        host,
        path,
        model,
        version_min,
        length_hint,
        prompt_tokens,
        _read_key(key_file),
    )
    address = frames.parse_address(process)
    answer = asyncio.run(_ask(address, question))
    if as_json:
        print(msgspec.json.encode(answer).decode())
    if not answer.choices:
        raise operator.CommandFailed(
            f'{host}{path}: would be refused with {answer.status}: '
            f'{answer.reason}{_describe_return(answer)}',
            operator.EXIT_REFUSED,
        )
    if as_json:
        return
    if answer.organisation is not None:
        print(f'organisation={answer.organisation or "(none)"}')
    for choice in answer.choices:
        _print_choice(answer.route, choice)


def _read_key(key_file):
    """Return the key in a file, None if no file is given."""
    if not key_file:
        return None
    if key_file == '-':
        return sys.stdin.readline().strip()
    try:
        return pathlib.Path(key_file).read_text().strip()
    except OSError as error:
        raise operator.CommandFailed(
            f'{key_file}: cannot be read: {error.strerror}',
            operator.EXIT_WRONG_INPUT,
        ) from error


def _describe_return(answer):
    if not answer.retry_after_s:
        return ''
    return f', Retry-After {answer.retry_after_s:.1f} s'


async def _ask(address, question):
    client = asking.QuestionClient(address, questions.Answer)
    try:
        answer = await client.ask(question, ANSWER_TIMEOUT_S)
    except (errors.ClementinelineError, OSError) as error:
        raise operator.CommandFailed(
            f'the process did not answer: {error}', operator.EXIT_UNREACHABLE
        ) from error
    finally:
        client.close()
    return answer


def _print_choice(route, choice):
    found = choice.endpoint or 'no endpoint now'
    if choice.waits:
        found = 'waits for a faster engine'
    fields = [f'{name}={value}' for name, value in choice.fields.items()]
    print(
        f'route={route} service={choice.service} weight={choice.weight}: '
        f'{found}, decided by {choice.decided_by} {" ".join(fields)}'.rstrip()
    )
    for candidate in choice.candidates:
        values = []
        for name in candidate.__struct_fields__:
            value = getattr(candidate, name)
            values.append(f'{name}={json.dumps(value)}')
        print('  ' + ' '.join(values))
