"""Batch submissions of trainers, and the calls about them."""

import urllib.parse

import msgspec

from clementineline import errors
from clementineline.platform import calls
from clementineline.state import dialect
from clementineline.state import submissions
from clementineline.transport import numbers

__all__ = [
    'decode_submission',
    'encode_page',
    'estimate_decoded_bytes',
    'read_batch_call',
]

SUBMISSIONS_PATH = '/api/lots/'
ITEMS_PATH = '/api/items/'
# The platform does not let a read of results wait longer than this.
READ_WAIT_MAX_S = 1.0
# Memory for each member of a JSON object while a submission is decoded, beyond
# the size of its body: 83 to 185 bytes were measured, the most with a hundred
# short headers an item.
MEMBER_BYTES = 200


class _Scorer(msgspec.Struct):
    """The reward call of an item; despite its name, not a service."""

    id: str
    host: str
    path: str
    body: bytes = b''


class _Item(msgspec.Struct):
    id: str
    path: str
    body: bytes
    headers: dict[str, str] = {}
    # Prompt tokens plus the limit on output tokens.
    tokens: int = 0
    group: str = ''
    scorer: _Scorer | None = None


class _Submission(msgspec.Struct, rename='camel'):
    items: list[_Item]
    step: int = 0
    model: str = ''
    min_version: int = 0
    # Number of complete groups that the trainer waits for.
    desired: int = 0


class _Result(msgspec.Struct, omit_defaults=True):
    id: str
    state: str
    text: str
    versions: tuple[int, ...]
    # The signature in the response to the reward call, not a number.
    score: str = ''


class _Page(msgspec.Struct):
    total: int
    next: int
    results: list[_Result]


def _read_first_number(headers, name):
    """Return the first number of a header, 0.0 if absent or malformed."""
    for key, value in headers.items():
        if key.lower() != name:
            continue
        return numbers.read_number(value.partition(',')[0]) or 0.0
    return 0.0


def _decode_reward_call(scorer):
    if scorer is None:
        return None
    return submissions.RewardCall(
        id=scorer.id,
        host=scorer.host.partition(':')[0].lower(),
        path=scorer.path,
        body=scorer.body,
    )


def estimate_decoded_bytes(body):
    """Return an upper bound of the memory that a decoded body needs.

    Colons within texts count as well, so it may be too high.

    :param body: body of a submission, JSON bytes
    """
    return len(body) + MEMBER_BYTES * body.count(b':')


def _list_headers(headers, organisation):
    """Return the headers of an item that are recorded.

    :param organisation: as for :func:`decode_submission`
    """
    kept = []
    for key, value in headers.items():
        name = key.strip().lower().encode(errors='replace')
        if organisation is None or name not in calls.IDENTITY_HEADERS:
            kept.append((key, value))
    return tuple(kept)


def decode_submission(
    facts, route, service, body, now, routes_version, organisation=None
):
    """Decode a batch submission.

    :param facts: the request's :class:`~dialect.CallFacts`
    :param route: the :class:`~routes.Route` that the request matches
    :param service: name of the service that runs the items
    :param body: body of the request, JSON bytes
    :param now: Unix time, in seconds
    :param routes_version: version of the route table that holds the route
    :param organisation: name of the organisation that submits it, '' for
        none; None if organisations are not in force
    :returns: a :class:`~submissions.Submission`
    :raises errors.RequestError: if the body is malformed
    """
    try:
        decoded = msgspec.json.decode(body, type=_Submission)
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        raise errors.RequestError(400, f'batch submission: {error}')
    items = []
    for item in decoded.items:
        items.append(
            submissions.Item(
                id=item.id,
                path=item.path,
                headers=_list_headers(item.headers, organisation),
                body=item.body,
                tokens=item.tokens,
                group=item.group,
                length_hint=_read_first_number(item.headers, 'length-hint'),
                # The header holds the number of prompt tokens, then the
                # limit on output tokens.
                prompt_tokens=int(
                    _read_first_number(item.headers, 'token-usage')
                ),
                reward_call=_decode_reward_call(item.scorer),
            )
        )
    return submissions.Submission(
        id=facts.request_id,
        route=route.name,
        service=service,
        host=facts.host,
        model=decoded.model,
        version_min=decoded.min_version,
        groups_wanted=decoded.desired,
        step=decoded.step,
        accepted_at=now,
        items=tuple(items),
        routes_version=routes_version,
        organisation=organisation,
    )


def encode_page(page):
    """Encode a :class:`~submissions.ResultPage` as JSON bytes."""
    results = [
        _Result(
            result.item_id,
            result.state,
            result.text,
            result.versions,
            result.score,
        )
        for result in page.results
    ]
    return msgspec.json.encode(_Page(page.total, page.next, results))


def read_batch_call(head):
    """Read a call about an accepted submission.

    :param head: the request's :class:`~http.Head`
    :returns: a :class:`~dialect.BatchCall`; None for any other request
    """
    path = head.path.decode('latin-1')
    query = dict(urllib.parse.parse_qsl(head.query.decode('latin-1')))
    caller_key = calls.read_key(head.headers)
    if path.startswith(ITEMS_PATH) and head.method == b'GET':
        return dialect.BatchCall(
            dialect.BatchVerb.READ_ITEM,
            path[len(ITEMS_PATH) :],
            item_id=query.get('id', ''),
            key=caller_key,
        )
    if not path.startswith(SUBMISSIONS_PATH):
        return None
    if head.method == b'DELETE':
        return dialect.BatchCall(
            dialect.BatchVerb.END,
            path[len(SUBMISSIONS_PATH) :],
            key=caller_key,
        )
    if head.method != b'GET':
        return None
    wait_ms = 0
    for key, value in head.headers:
        if key.lower() == b'wait-ms':
            wait_ms = numbers.read_integer(value) or 0
    return dialect.BatchCall(
        dialect.BatchVerb.READ_RESULTS,
        path[len(SUBMISSIONS_PATH) :],
        after=numbers.read_integer(query.get('after')) or 0,
        wait_s=min(wait_ms / 1000, READ_WAIT_MAX_S),
        key=caller_key,
    )
