"""Reports of usage and orders of capacity to the platform's API."""

import msgspec

from clementineline.state import dialect
from clementineline.transport import http

__all__ = ['build_capacity_call', 'build_usage_call', 'read_duty_status']

_OUTCOMES_BY_STATUS = {
    200: dialect.DutyOutcome.ACCEPTED,
    409: dialect.DutyOutcome.FENCED,
    412: dialect.DutyOutcome.FENCED,
    429: dialect.DutyOutcome.LIMITED,
}


def _build_call(path, token, body):
    headers = (
        (b'Duty-Holder', token.holder.encode()),
        (b'Fencing-Token', b'%d' % token.fence),
        (b'Content-Type', b'application/json'),
    )
    return http.Head(b'POST', path, headers), msgspec.json.encode(body)


def build_usage_call(token, window, counts):
    """Build the report of a window.

    :param token: the :class:`~dialect.DutyToken`
    :param window: number of the window
    :param counts: dict from organisation to its requests
    :returns: ``(head, body)``, a :class:`~http.Head` and JSON bytes
    """
    # The order of the names does not depend on who adds up the counts, so a
    # repeated report is the same byte for byte.
    counts = dict(sorted(counts.items()))
    return _build_call(b'/usage', token, {'window': window, 'counts': counts})


def build_capacity_call(token, service, zone, desired):
    """Build the order of a number of endpoints.

    :param token: the :class:`~dialect.DutyToken`
    :param desired: number of the service's endpoints in the zone
    :returns: ``(head, body)``, a :class:`~http.Head` and JSON bytes
    """
    body = {'service': service, 'zone': zone, 'desired': desired}
    return _build_call(b'/scale', token, body)


def read_duty_status(status):
    """Return the :class:`~dialect.DutyOutcome` for an HTTP status."""
    return _OUTCOMES_BY_STATUS.get(status, dialect.DutyOutcome.REFUSED)
