"""Headers of callers' requests, requests to endpoints, and responses."""

from clementineline.state import dialect
from clementineline.transport import http
from clementineline.transport import numbers

__all__ = [
    'IDENTITY_HEADERS',
    'build_call',
    'build_item_call',
    'build_retry_headers',
    'build_reward_call',
    'read_call',
    'read_key',
    'read_reply',
]

# Field of a streamed event that gives the weights version after a change.
VERSION_FIELD = b'weight-versions'
# Headers that an item of a submission cannot set: the values that it gives for
# them are not sent to the endpoint.
_RESERVED_HEADERS = frozenset(
    (
        b'expect-instance',
        b'timeout-ms',
        b'expect-version',
        b'request-priority',
        b'content-length',
        b'host',
        b'request-id',
        b'last-event-id',
    )
)
# Headers of callers and items that are not sent to an endpoint while
# organisations are in force. A key is secret, and endpoints believe the name.
IDENTITY_HEADERS = frozenset((b'api-key', b'tenant'))


def _read_rate(text):
    """Return a rate per second; None if it is missing or malformed."""
    rate = numbers.read_number(text)
    return None if rate is None or rate < 0 else rate


def read_key(headers):
    """Read the key of a caller's request.

    :param headers: ``(name, value)`` pairs, bytes
    :returns: the key; None if there is none, '' if there are several
    """
    values = set()
    for key, value in headers:
        if key.lower() == b'api-key':
            values.add(value)
    if not values:
        return None
    if len(values) > 1:
        return ''
    return values.pop().decode('utf-8', 'surrogateescape')


def read_call(head):
    """Read the identity, destination and time limit of a caller's request.

    :param head: the request's :class:`~http.Head`
    :returns: a :class:`~dialect.CallFacts`
    """
    request_id = http.find_header(head.headers, b'request-id') or b''
    host = http.find_header(head.headers, b'host') or b''
    timeout_ms = numbers.read_number(
        http.find_header(head.headers, b'timeout-ms')
    )
    return dialect.CallFacts(
        request_id.decode('latin-1'),
        host.decode('latin-1').partition(':')[0].lower(),
        head.path.decode('latin-1'),
        timeout_ms / 1000 if timeout_ms is not None else None,
        numbers.read_integer(http.find_header(head.headers, b'last-event-id'))
        or 0,
        read_key(head.headers),
    )


def build_call(head, endpoint, timeout_s, resume_after=0, organisation=None):
    """Build the request that forwards a caller's request to an endpoint.

    :param head: the :class:`~http.Head` of the caller's request
    :param endpoint: the :class:`~directory.EndpointRecord` to send it to
    :param timeout_s: time left until the caller's time limit, in seconds;
        None for no limit
    :param resume_after: number of the last event that the caller has, 0 for
        none
    :param organisation: name of the organisation that the request runs for,
        '' for none; None if organisations are not in force, which leaves the
        caller's headers as they are
    :returns: a :class:`~http.Head`
    """
    headers = []
    for key, value in http.strip_connection_headers(head.headers):
        if key.lower() in (b'expect-instance', b'timeout-ms', b'expect'):
            continue
        if organisation is not None and key.lower() in IDENTITY_HEADERS:
            continue
        if resume_after and key.lower() == b'last-event-id':
            continue
        headers.append((key, value))
    if organisation:
        headers.append((b'Tenant', organisation.encode()))
    if resume_after:
        headers.append((b'Last-Event-Id', b'%d' % resume_after))
    if timeout_s is not None:
        headers.append((b'Timeout-Ms', b'%d' % max(1, int(timeout_s * 1000))))
    headers.append((b'Expect-Instance', endpoint.id.encode()))
    return http.Head(head.method, head.target, tuple(headers))


def build_item_call(
    submission, item, endpoint, resume_after, organisation=None
):
    """Build the request that runs an item of a submission on an endpoint.

    :param submission: the item's :class:`~submissions.Submission`
    :param item: the :class:`~submissions.Item`
    :param endpoint: the :class:`~directory.EndpointRecord` to send it to
    :param resume_after: number of the last event received from an earlier
        run, 0 for none
    :param organisation: as for :func:`build_call`
    :returns: a :class:`~http.Head`
    """
    headers = [
        (b'Host', submission.host.encode('latin-1')),
        (b'Request-Id', item.id.encode('latin-1')),
        (b'Expect-Instance', endpoint.id.encode()),
    ]
    given = []
    for key, value in item.headers:
        name = key.encode('latin-1')
        if name.lower() in _RESERVED_HEADERS:
            continue
        if organisation is not None and name.lower() in IDENTITY_HEADERS:
            continue
        given.append((name, value.encode('latin-1')))
    if organisation is not None:
        # A proxy would remove the headers that the item's Connection names.
        given = http.strip_connection_headers(given)
    headers.extend(given)
    if organisation:
        headers.append((b'Tenant', organisation.encode()))
    if resume_after:
        headers.append((b'Last-Event-Id', b'%d' % resume_after))
    return http.Head(b'POST', item.path.encode('latin-1'), tuple(headers))


def build_reward_call(reward_call):
    """Build the request of an item's reward call.

    :param reward_call: the :class:`~submissions.RewardCall`
    :returns: a :class:`~http.Head`, without the headers that name an endpoint
    """
    headers = (
        (b'Host', reward_call.host.encode('latin-1')),
        (b'Request-Id', reward_call.id.encode('latin-1')),
    )
    return http.Head(b'POST', reward_call.path.encode('latin-1'), headers)


def _says_that_it_leaves(headers):
    """Return whether the header is there once, with the one value it has."""
    values = []
    for key, value in headers:
        if key.lower() == b'server-leaving':
            values.append(value)
    return values == [b'1']


def read_reply(headers):
    """Read the headers of an endpoint's response.

    :param headers: ``(name, value)`` pairs, bytes
    :returns: a :class:`~dialect.ReplyFacts`
    """
    request_id = http.find_header(headers, b'request-id') or b''
    stamp = http.find_header(headers, b'server-stamp')
    running = waiting = None
    slowness = 1.0
    # The header holds the running requests, the waiting requests, a number
    # that is not used here and, from some endpoints, the slowness in percent.
    load = (http.find_header(headers, b'server-load') or b'').split(b',')
    figures = [numbers.read_integer(figure) for figure in load]
    if len(figures) >= 3 and None not in figures:
        running, waiting = figures[0], figures[1]
        if len(figures) > 3:
            slowness = figures[3] / 100
    return dialect.ReplyFacts(
        request_id.decode('latin-1'),
        http.find_header(headers, b'not-executed') is not None,
        stamp.decode('latin-1') if stamp is not None else None,
        running,
        waiting,
        slowness,
        numbers.read_integer(http.find_header(headers, b'weight-versions')),
        _read_rate(http.find_header(headers, b'server-limit')),
        _says_that_it_leaves(headers),
    )


def build_retry_headers(retry_after_s):
    """Build the headers that tell a caller when to retry."""
    return ((b'Retry-After', b'%.3f' % retry_after_s),)
