"""Submissions of work that runs later, and their results."""

import typing

import msgspec

__all__ = [
    'ABANDONED',
    'COMPLETED',
    'Item',
    'Result',
    'ResultChunk',
    'ResultPage',
    'Submission',
]

COMPLETED = 'completed'
ABANDONED = 'abandoned'


class Item(msgspec.Struct, frozen=True):
    """One generation of a submission.

    :param path: path at the endpoint
    :param headers: headers that the endpoint is sent
    :param tokens: prompt tokens and the most output tokens
    :param group: items of a group share their prompt; a trainer uses a
        group only when it is whole
    :param length_hint: estimated output tokens, 0 if unknown
    :param prompt_tokens: tokens of the prompt, 0 if unknown
    """

    id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int
    group: str
    length_hint: float = 0.0
    prompt_tokens: int = 0


class Submission(msgspec.Struct, frozen=True):
    """Work that was accepted as a whole.

    :param route: name of its route
    :param service: service that its route led to
    :param host: host that it was sent to
    :param model: model whose versions count, empty for none
    :param version_min: oldest version that may make its tokens
    :param groups_wanted: whole groups that the trainer waits for
    :param accepted_at: time of day, in seconds
    """

    id: str
    route: str
    service: str
    host: str
    model: str
    version_min: int
    groups_wanted: int
    step: int
    accepted_at: float
    items: tuple[Item, ...]


class Result(msgspec.Struct, frozen=True):
    """How an item ended.

    :param text: data of all events, joined by line feeds
    :param versions: versions that made the text, in order
    """

    item_id: str
    state: typing.Literal['completed', 'abandoned']
    text: str = ''
    versions: tuple[int, ...] = ()


class ResultChunk(msgspec.Struct, frozen=True):
    """Results that got their positions together.

    :param first: position of the first one
    """

    first: int
    results: tuple[Result, ...]


class ResultPage(msgspec.Struct, frozen=True):
    """What a reader gets.

    :param total: number of items of the submission
    :param next: position to read from next
    """

    total: int
    next: int
    results: tuple[Result, ...]
