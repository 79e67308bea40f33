"""Endpoints' entries in the store, engine reports and load orders."""

import ipaddress
import re

import msgspec

from clementineline import errors
from clementineline.state import dialect
from clementineline.state import directory
from clementineline.transport import frames
from clementineline.transport import http

__all__ = [
    'build_health_call',
    'build_order_call',
    'build_report_call',
    'decode_endpoint',
    'decode_named_version',
    'decode_report',
    'read_order_status',
]

_OUTCOMES_BY_STATUS = {
    200: dialect.OrderOutcome.ALREADY_LOADED,
    202: dialect.OrderOutcome.ACCEPTED,
    409: dialect.OrderOutcome.BUSY,
    412: dialect.OrderOutcome.FENCED,
    421: dialect.OrderOutcome.ANOTHER_ENDPOINT,
}


# Far above the slots of any endpoint.
SLOTS_MAX = 65536
# An id is sent to the endpoint in a header.
_ID = re.compile(r'[!-~]{1,256}')


class _Model(msgspec.Struct):
    name: str
    version: int


class _EndpointEntry(msgspec.Struct, rename='camel'):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    # Time for which the endpoint is still slow after its start.
    cold_left_ms: float = 0.0
    models: list[_Model] = []
    # Unix time of the start, in milliseconds.
    born: int = 0


class _Report(msgspec.Struct, rename='camel'):
    models: list[_Model]
    # Whether a load order is in progress.
    busy: bool
    # Number of load orders that the engine has accepted; reports themselves
    # are not numbered.
    seq: int
    num_waiting: int = 0
    num_running: int = 0
    kv_used: int = 0
    kv_total: int = 0


class _NamedVersion(msgspec.Struct):
    model: str
    version: int


def decode_endpoint(name, value):
    """Decode an endpoint's entry in the store.

    :param name: name of the entry, which is the endpoint's id
    :param value: the entry, which any writer of the store may have changed
    :returns: an :class:`~directory.EndpointRecord`; None if the entry is
        malformed or the endpoint cannot take requests
    """
    try:
        entry = msgspec.convert(value, _EndpointEntry)
        address = frames.parse_address(entry.address)
        # The platform has no name service.
        ipaddress.ip_address(address.host)
    except (msgspec.ValidationError, errors.SettingsError, ValueError):
        return None
    if entry.state not in ('ready', 'draining'):
        return None
    if not 0 < entry.slots <= SLOTS_MAX or not _ID.fullmatch(name):
        return None
    return directory.EndpointRecord(
        id=name,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        leaving=entry.state == 'draining',
        cold_s=entry.cold_left_ms / 1000,
        versions={model.name: model.version for model in entry.models},
        born_ms=entry.born,
    )


def decode_named_version(value):
    """Decode the version that a trainer has named for a model.

    :returns: ``(model, version)``; None if the value is malformed
    """
    try:
        named = msgspec.convert(value, _NamedVersion)
    except msgspec.ValidationError:
        return None
    return named.model, named.version


def _build_endpoint_headers(endpoint):
    return (
        (b'Host', endpoint.address.encode()),
        (b'Expect-Instance', endpoint.id.encode()),
    )


def build_health_call(service, endpoint):
    """Build the request for an endpoint's health.

    The response's headers report the endpoint's load.

    :param service: the endpoint's :class:`~routes.ServiceTarget`
    :param endpoint: the :class:`~directory.EndpointRecord`
    :returns: a :class:`~http.Head`
    """
    path = service.health_path.encode('latin-1')
    return http.Head(b'GET', path, _build_endpoint_headers(endpoint))


def build_report_call(endpoint):
    """Build the request for an engine's report on its own state."""
    return http.Head(b'GET', b'/api/report', _build_endpoint_headers(endpoint))


def decode_report(body):
    """Decode an engine's report on its own state.

    :param body: JSON bytes
    :returns: an :class:`~directory.EngineReport`
    :raises errors.ProtocolError: if the report is malformed
    """
    try:
        report = msgspec.json.decode(body, type=_Report)
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        raise errors.ProtocolError(f'report: {error}') from error
    return directory.EngineReport(
        versions={model.name: model.version for model in report.models},
        changing=report.busy,
        orders_accepted=report.seq,
        running=report.num_running,
        waiting=report.num_waiting,
        memory_used=report.kv_used,
        memory_total=report.kv_total,
    )


def build_order_call(order, endpoint):
    """Build the request that sends a load order to an engine.

    :param order: the :class:`~dialect.EngineOrder`
    :param endpoint: the engine's :class:`~directory.EndpointRecord`
    :returns: ``(head, body)``, a :class:`~http.Head` and JSON bytes
    """
    body = {
        'operation': 'version',
        'model': order.model,
        'version': order.version,
        'mode': 'keep' if order.keep_running else 'wait',
        'holder': order.holder,
        'fencingToken': order.fence,
        # Number of orders that the engine must have accepted before this one.
        'expected': order.orders_accepted,
    }
    head = http.Head(
        b'POST',
        b'/api/order',
        (
            *_build_endpoint_headers(endpoint),
            (b'Content-Type', b'application/json'),
        ),
    )
    return head, msgspec.json.encode(body)


def read_order_status(status):
    """Return the :class:`~dialect.OrderOutcome` for an HTTP status."""
    return _OUTCOMES_BY_STATUS.get(status, dialect.OrderOutcome.REFUSED)
