"""Checked settings of the daemons, read from JSON files.

Each key's unit is in its name: ``_s`` seconds, ``_bytes`` bytes. An unknown
key, a wrong type or an impossible value is refused with its path.
"""

import pathlib
import typing

import msgspec

from clementineline import errors
from clementineline.transport import frames

__all__ = [
    'EntrySettings',
    'GatewaySettings',
    'KeeperSettings',
    'LeaseSettings',
    'PolicySettings',
    'SidecarSettings',
    'load_settings',
]

Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
NotNegative = typing.Annotated[float, msgspec.Meta(ge=0)]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = typing.Annotated[int, msgspec.Meta(ge=1)]
# The object API of the platforms so far takes a megabyte.
VALUE_BYTES = 1024 * 1024
CountOrNone = typing.Annotated[int, msgspec.Meta(ge=0)]
Name = typing.Annotated[
    str, msgspec.Meta(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$')
]


class _Settings(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True
):
    """Base of all settings."""


class PolicySettings(_Settings):
    """Switches and limits of the routing policy.

    :param late_binding: wait in the entry for a free slot
    :param predict_length: order waiting work by predicted length
    :param detect_slow: give less work to endpoints with a low pace
    :param prefix_affinity: prefer the endpoint that holds a prefix
    :param hedge: send a late idempotent call to a second endpoint
    :param preempt: let live work displace trainer work
    :param resume_stragglers: move long samples off slow endpoints
    :param retry_budget_share: retries allowed, as a share of requests
    :param hedge_budget_share: hedges allowed, as a share of calls
    :param affinity_load_factor: most load of an endpoint with affinity,
        as a multiple of the mean
    :param balancing: ``scored``, or the baselines ``round_robin`` and
        ``least_outstanding``
    """

    late_binding: bool = True
    predict_length: bool = True
    detect_slow: bool = True
    prefix_affinity: bool = True
    hedge: bool = True
    preempt: bool = True
    resume_stragglers: bool = True
    retry_budget_share: Share = 0.1
    hedge_budget_share: Share = 0.05
    affinity_load_factor: typing.Annotated[float, msgspec.Meta(ge=1)] = 1.25
    balancing: typing.Literal['scored', 'round_robin', 'least_outstanding'] = (
        'scored'
    )


class LinkSettings(_Settings):
    """Times of the sessions between processes, in seconds."""

    heartbeat_s: Positive = 0.8
    silence_s: Positive = 2.4
    retain_s: Positive = 20.0
    resume: bool = True


class PlatformSettings(_Settings):
    """How a process meets the platform's object API.

    :param url: root of the object API
    :param timeout_s: longest time for one call, in seconds
    :param calls_per_s: most calls a second that this process makes
    :param poll_s: longest time that a watch waits, in seconds
    """

    url: str
    timeout_s: Positive = 2.0
    calls_per_s: Positive = 20.0
    poll_s: Positive = 10.0


class LeaseSettings(_Settings):
    """Times of the leader's lease, in seconds.

    :param quiet_s: how long a new holder sends no orders after another one
    """

    duration_s: Positive = 4.0
    renew_s: Positive = 1.0
    quiet_s: NotNegative = 0.0


class EntrySettings(_Settings):
    """Settings of an entry.

    :param name: unique name of the process
    :param availability_zone: where it runs
    :param listen: ``HOST:PORT`` for sessions of other processes
    :param http: ``HOST:PORT`` for callers, trainers and operators
    :param seeds: ``HOST:PORT`` of entries to join
    :param waiting_max: most requests that wait for a slot
    :param body_max_bytes: largest request body
    :param drain_s: longest graceful shutdown
    :param wait_max_s: longest wait of a live request without deadline
    :param key_retain_s: how long an earlier roster of key homes counts; at
        least the sidecars' ``record_retain_s``
    """

    name: Name
    availability_zone: Name
    listen: str
    http: str
    platform: PlatformSettings
    seeds: list[str] = []
    waiting_max: Count = 100_000
    body_max_bytes: Count = 4 * 1024 * 1024
    drain_s: NotNegative = 30.0
    wait_max_s: Positive = 30.0
    key_retain_s: Positive = 600.0
    decisions_kept: Count = 4096
    links: LinkSettings = LinkSettings()
    lease: LeaseSettings = LeaseSettings()
    policy: PolicySettings = PolicySettings()


class EngineSettings(_Settings):
    """The model engine beside a sidecar.

    :param url: root of the engine's HTTP API
    :param model: model that it serves
    :param slots: generations that it runs at once
    :param live_reserve_slots: slots that only live work may take
    :param checks_fencing: whether the engine refuses old fencing numbers
    """

    url: str
    model: Name
    slots: Count = 8
    live_reserve_slots: CountOrNone = 1
    checks_fencing: bool = False


class ServiceSettings(_Settings):
    """The plain service beside a sidecar.

    :param url: root of the service
    :param service: name of the service
    :param slots: calls that it runs at once
    """

    url: str
    service: Name
    slots: Count = 16


class SidecarSettings(_Settings):
    """Settings of a sidecar.

    :param name: unique name of the process
    :param availability_zone: where it runs
    :param listen: ``HOST:PORT`` for sessions of entries
    :param http: ``HOST:PORT`` for metrics and health
    :param seeds: ``HOST:PORT`` of entries to announce itself to
    :param engine: the model engine beside it, or
    :param service: the plain service beside it
    :param record_retain_s: how long outcomes and keys are remembered
    :param record_max_bytes: most bytes that records may take
    :param drain_s: longest graceful shutdown
    :param call_timeout_s: longest time of one call to the endpoint
    """

    name: Name
    availability_zone: Name
    listen: str
    http: str
    platform: PlatformSettings
    seeds: list[str] = []
    engine: EngineSettings | None = None
    service: ServiceSettings | None = None
    record_retain_s: Positive = 600.0
    record_max_bytes: Count = 16 * 1024 * 1024
    drain_s: NotNegative = 60.0
    call_timeout_s: Positive = 60.0
    decisions_kept: Count = 1024
    links: LinkSettings = LinkSettings()


class GatewaySettings(_Settings):
    """Settings of a gateway.

    :param name: unique name of the process
    :param zone: availability zone
    :param http: ``HOST:PORT`` for callers and trainers
    :param ready: ``HOST:PORT`` for the balancer's probes
    :param listen: ``HOST:PORT`` for the other processes
    :param store: ``HOST:PORT`` of the platform's store
    :param grace_s: time between the stop signal and the kill
    :param metrics: ``HOST:PORT`` for metrics, empty for none
    :param value_bytes: largest value that the platform's store takes
    """

    name: Name
    zone: Name
    http: str
    ready: str
    listen: str
    store: str
    grace_s: Positive = 8.0
    metrics: str = ''
    value_bytes: Count = VALUE_BYTES


class KeeperSettings(_Settings):
    """Settings of a keeper.

    :param name: unique name of the VM
    :param zone: availability zone
    :param listen: ``HOST:PORT`` for gateways
    :param store: ``HOST:PORT`` of the platform's store
    :param retain_s: how long a submission is kept after it was accepted
    :param lease: times of the leader's lease
    :param data_dir: folder for texts of unfinished items, empty for none
    :param metrics: ``HOST:PORT`` for metrics, empty for none
    :param value_bytes: largest value that the platform's store takes
    """

    name: Name
    zone: Name
    listen: str
    store: str
    retain_s: Positive = 180.0
    lease: LeaseSettings = LeaseSettings()
    data_dir: str = ''
    metrics: str = ''
    value_bytes: Count = VALUE_BYTES


def _check_addresses(value, where):
    for field in ('listen', 'http'):
        try:
            frames.parse_address(getattr(value, field))
        except errors.SettingsError as error:
            raise errors.SettingsError(
                f'{where}: $.{field}: {error}'
            ) from None
    for index, seed in enumerate(value.seeds):
        try:
            frames.parse_address(seed)
        except errors.SettingsError as error:
            raise errors.SettingsError(
                f'{where}: $.seeds[{index}]: {error}'
            ) from None


def _check_url(url, path, where):
    if not url.startswith(('http://', 'https://')):
        raise errors.SettingsError(
            f'{where}: {path}: got {url!r}, expected an http:// or '
            'https:// address'
        )


def _check_relations(value, where):
    _check_addresses(value, where)
    _check_url(value.platform.url, '$.platform.url', where)
    links = value.links
    if links.silence_s < 2 * links.heartbeat_s:
        raise errors.SettingsError(
            f'{where}: $.links.silence_s: got {links.silence_s}, expected '
            f'at least twice $.links.heartbeat_s ({links.heartbeat_s})'
        )
    if isinstance(value, EntrySettings):
        lease = value.lease
        if lease.duration_s < 2 * lease.renew_s:
            raise errors.SettingsError(
                f'{where}: $.lease.duration_s: got {lease.duration_s}, '
                f'expected at least twice $.lease.renew_s ({lease.renew_s})'
            )
        return
    _check_endpoint(value, where)


def _check_endpoint(value, where):
    if (value.engine is None) == (value.service is None):
        raise errors.SettingsError(
            f'{where}: $: expected exactly one of "engine" and "service"'
        )
    if value.service is not None:
        _check_url(value.service.url, '$.service.url', where)
        return
    engine = value.engine
    _check_url(engine.url, '$.engine.url', where)
    if engine.live_reserve_slots >= engine.slots:
        raise errors.SettingsError(
            f'{where}: $.engine.live_reserve_slots: got '
            f'{engine.live_reserve_slots}, expected less than '
            f'$.engine.slots ({engine.slots})'
        )


def parse_settings(data, settings_type, where):
    """Decode and check settings.

    :param data: JSON bytes
    :param settings_type: :class:`EntrySettings` or :class:`SidecarSettings`
    :param where: name of the source, for messages
    :returns: the settings
    :raises errors.SettingsError: with the path of the refused value
    """
    try:
        value = msgspec.json.decode(data, type=settings_type)
    except msgspec.DecodeError as error:
        raise errors.SettingsError(f'{where}: {error}') from None
    _check_relations(value, where)
    return value


def load_settings(path, settings_type):
    """Read, decode and check a settings file.

    :param path: path of a JSON file
    :param settings_type: :class:`EntrySettings` or :class:`SidecarSettings`
    :returns: the settings
    :raises errors.SettingsError: with the path of the refused value
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise errors.SettingsError(
            f'{path}: cannot be read: {error.strerror}'
        ) from None
    return parse_settings(data, settings_type, str(path))
