"""Submissions: batches of items that run later, and their results."""

import typing

import msgspec

__all__ = [
    'ABANDONED',
    'COMPLETED',
    'Item',
    'Result',
    'ResultChunk',
    'ResultPage',
    'RewardCall',
    'Submission',
]

COMPLETED = 'completed'
ABANDONED = 'abandoned'


class RewardCall(msgspec.Struct, frozen=True):
    """A call that scores an item after its text is complete.

    It may be repeated, and goes through the route of its host and path.

    :param id: id of the call, which is sent to the endpoint
    :param host: host name, without port
    :param path: path and query of the request to the endpoint
    :param body: body of the request to the endpoint
    """

    id: str
    host: str
    path: str
    body: bytes


class Item(msgspec.Struct, frozen=True):
    """One item of a submission: a request for one generation.

    :param path: path of the request to the endpoint
    :param headers: headers of the request to the endpoint
    :param body: body of the request to the endpoint
    :param tokens: prompt tokens plus the limit on output tokens
    :param group: name of its group; the items of a group share a prompt, and
        a trainer uses a group only if it is complete
    :param length_hint: estimated number of output tokens, 0 if unknown
    :param prompt_tokens: number of prompt tokens, 0 if unknown
    :param reward_call: the :class:`RewardCall` whose score its result needs,
        or None
    """

    id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int
    group: str
    length_hint: float = 0.0
    prompt_tokens: int = 0
    reward_call: RewardCall | None = None


class Submission(msgspec.Struct, frozen=True):
    """A batch of items that was accepted as a whole.

    :param route: name of its route
    :param service: service chosen from the route's targets
    :param host: host of the trainer's request
    :param model: model that generates the texts; empty if its weights
        versions do not matter
    :param version_min: oldest weights version that may generate the texts
    :param groups_wanted: number of complete groups that the trainer waits for
    :param step: the trainer's step
    :param accepted_at: Unix time of its acceptance, in seconds
    :param routes_version: version of the route table under which it was
        accepted; 0 if unknown
    :param organisation: name of the organisation that submitted it, '' if it
        came without a valid key, None if organisations were not in force
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
    routes_version: int = 0
    organisation: str | None = None


class Result(msgspec.Struct, frozen=True):
    """The result of an item.

    :param text: data of all events, joined by line feeds
    :param versions: weights versions that generated the text, in order of
        first use
    :param score: signature of the endpoint that answered the item's reward
        call; empty if the item has none
    """

    item_id: str
    state: typing.Literal['completed', 'abandoned']
    text: str = ''
    versions: tuple[int, ...] = ()
    score: str = ''


class ResultChunk(msgspec.Struct, frozen=True):
    """Results that were recorded together.

    :param first: position of the first result
    """

    first: int
    results: tuple[Result, ...]


class ResultPage(msgspec.Struct, frozen=True):
    """Results of a submission, as they are returned to a reader.

    :param total: number of items of the submission
    :param next: position from which to continue
    """

    total: int
    next: int
    results: tuple[Result, ...]
