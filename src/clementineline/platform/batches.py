"""Batch submissions: what trainers send and read."""

import urllib.parse

import msgspec

from clementineline import errors
from clementineline.state import dialect
from clementineline.state import submissions

__all__ = ['decode_submission', 'encode_page', 'read_batch_call']

LOTS = '/api/lots/'
ITEMS = '/api/items/'
# The wire's own limit on how long a read may be kept waiting.
WAIT_MAX_S = 1.0


class _Item(msgspec.Struct):
    id: str
    path: str
    body: bytes
    headers: dict[str, str] = {}
    tokens: int = 0
    group: str = ''


class _Submission(msgspec.Struct, rename='camel'):
    items: list[_Item]
    step: int = 0
    model: str = ''
    min_version: int = 0
    # How many whole groups the trainer waits for.
    desired: int = 0


class _Result(msgspec.Struct):
    id: str
    state: str
    text: str
    versions: tuple[int, ...]


class _Page(msgspec.Struct):
    total: int
    next: int
    results: list[_Result]


def _find_number(headers, name):
    """Return the first number of an item's header, 0.0 if it has none."""
    for key, value in headers.items():
        if key.lower() != name:
            continue
        try:
            return float(value.partition(',')[0])
        except ValueError:
            return 0.0
    return 0.0


def decode_submission(facts, route, service, body, now):
    """Decode a batch submission.

    :param facts: the request's :class:`~dialect.CallFacts`
    :param route: its :class:`~routes.Route`
    :param service: name of the service that the route leads to
    :param now: time of day, in seconds
    :returns: a :class:`~submissions.Submission`
    :raises errors.RequestError: if it is malformed
    """
    try:
        given = msgspec.json.decode(body, type=_Submission)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.RequestError(400, f'batch submission: {error}')
    items = []
    for item in given.items:
        items.append(
            submissions.Item(
                id=item.id,
                path=item.path,
                headers=tuple(item.headers.items()),
                body=item.body,
                tokens=item.tokens,
                group=item.group,
                length_hint=_find_number(item.headers, 'length-hint'),
                # Prompt tokens come before the most output tokens.
                prompt_tokens=int(_find_number(item.headers, 'token-usage')),
            )
        )
    return submissions.Submission(
        id=facts.request_id,
        route=route.name,
        service=service,
        host=facts.host,
        model=given.model,
        version_min=given.min_version,
        groups_wanted=given.desired,
        step=given.step,
        accepted_at=now,
        items=tuple(items),
    )


def encode_page(page):
    """Encode a :class:`~submissions.ResultPage`."""
    results = [
        _Result(result.item_id, result.state, result.text, result.versions)
        for result in page.results
    ]
    return msgspec.json.encode(_Page(page.total, page.next, results))


def _read_integer(text):
    return int(text) if text.isdigit() else 0


def read_batch_call(head):
    """Read a call about an accepted submission; None if it is none."""
    path = head.path.decode('latin-1')
    query = dict(urllib.parse.parse_qsl(head.query.decode('latin-1')))
    if path.startswith(ITEMS) and head.method == b'GET':
        return dialect.BatchCall(
            dialect.BatchVerb.READ_ITEM,
            path[len(ITEMS) :],
            item_id=query.get('id', ''),
        )
    if not path.startswith(LOTS):
        return None
    if head.method == b'DELETE':
        return dialect.BatchCall(dialect.BatchVerb.END, path[len(LOTS) :])
    if head.method != b'GET':
        return None
    wait_ms = 0
    for key, value in head.headers:
        if key.lower() == b'wait-ms':
            wait_ms = _read_integer(value.decode('latin-1'))
    return dialect.BatchCall(
        dialect.BatchVerb.READ_RESULTS,
        path[len(LOTS) :],
        after=_read_integer(query.get('after', '0')),
        wait_s=min(wait_ms / 1000, WAIT_MAX_S),
    )
