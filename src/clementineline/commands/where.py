"""The command that tells where a request would go now."""

import asyncio
import json

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
    """
    question = questions.PreviewRequest(
        host, path, model, version_min, length_hint, prompt_tokens
    )
    address = frames.parse_address(process)
    answer = asyncio.run(_ask(address, question))
    if not answer.choices:
        raise operator.CommandFailed(
            f'{host}{path}: {answer.reason}', operator.EXIT_REFUSED
        )
    for choice in answer.choices:
        _print_choice(answer.route, choice)


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
