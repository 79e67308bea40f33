"""Checked settings of the daemons, read from JSON files.

The suffix of a key is its unit: ``_s`` for seconds, ``_bytes`` for bytes. An
unknown key, a wrong type or an impossible value is an error that names the
path of the key.
"""

import pathlib
import typing

import msgspec

from clementineline import errors
from clementineline.transport import frames

__all__ = [
    'DutySettings',
    'EntrySettings',
    'GatewaySettings',
    'KeeperSettings',
    'LeaseSettings',
    'Placement',
    'PolicySettings',
    'SidecarSettings',
    'load_settings',
]

PositiveFloat = typing.Annotated[float, msgspec.Meta(gt=0)]
NonNegativeFloat = typing.Annotated[float, msgspec.Meta(ge=0)]
Fraction = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
PositiveInt = typing.Annotated[int, msgspec.Meta(ge=1)]
# Limit where the memory of the VM is unknown.
HELD_BYTES = 128 * 1024 * 1024
# Largest value that the object APIs of the supported platforms accept.
VALUE_MAX_BYTES = 1024 * 1024
NonNegativeInt = typing.Annotated[int, msgspec.Meta(ge=0)]
Placement = typing.Literal['auto', 'least_loaded']
Name = typing.Annotated[
    str, msgspec.Meta(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$')
]


class _Settings(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True
):
    """Base of all settings."""


class PolicySettings(_Settings):
    """Switches and limits of the routing policy.

    :param late_binding: let requests wait in the entry until a slot is free
    :param predict_length: order waiting work by predicted length
    :param detect_slow: give less work to slow endpoints
    :param prefix_affinity: prefer the endpoint that has served a prefix
    :param hedge: send a second copy of a slow idempotent call
    :param preempt: let live requests preempt work of trainers
    :param resume_stragglers: move stalled generations off slow endpoints
    :param retry_budget_share: limit on retries, as a share of requests
    :param hedge_budget_share: limit on hedges, as a share of calls
    :param affinity_load_factor: maximum load of an endpoint that is chosen by
        affinity, as a multiple of the mean load
    :param balancing: ``scored``, or one of the baselines ``round_robin`` and
        ``least_outstanding``
    """

    late_binding: bool = True
    predict_length: bool = True
    detect_slow: bool = True
    prefix_affinity: bool = True
    hedge: bool = True
    preempt: bool = True
    resume_stragglers: bool = True
    retry_budget_share: Fraction = 0.1
    hedge_budget_share: Fraction = 0.05
    affinity_load_factor: typing.Annotated[float, msgspec.Meta(ge=1)] = 1.25
    balancing: typing.Literal['scored', 'round_robin', 'least_outstanding'] = (
        'scored'
    )


class LinkSettings(_Settings):
    """Times of the sessions between processes, in seconds.

    :param heartbeat_s: mean interval between heartbeats
    :param silence_s: time without data after which a connection is dropped
    :param retain_s: how long a session is kept after its connection is lost
    :param resume: whether a session continues on a new connection
    """

    heartbeat_s: PositiveFloat = 0.8
    silence_s: PositiveFloat = 2.4
    retain_s: PositiveFloat = 20.0
    resume: bool = True


class PlatformSettings(_Settings):
    """How a process uses the platform's object API.

    :param url: root of the object API
    :param timeout_s: time limit of one call, in seconds
    :param calls_per_s: limit on the calls of this process per second
    :param poll_s: longest time that a watch waits, in seconds
    """

    url: str
    timeout_s: PositiveFloat = 2.0
    calls_per_s: PositiveFloat = 20.0
    poll_s: PositiveFloat = 10.0


class LeaseSettings(_Settings):
    """Times of the leader's lease, in seconds.

    :param duration_s: how long a lease is valid after its renewal
    :param renew_s: interval between renewals
    :param quiet_s: how long a new holder waits before it sends load orders if
        the lease was held by another process
    """

    duration_s: PositiveFloat = 4.0
    renew_s: PositiveFloat = 1.0
    quiet_s: NonNegativeFloat = 0.0


class EntrySettings(_Settings):
    """Settings of an entry.

    :param name: unique name of the process
    :param availability_zone: availability zone of the process
    :param listen: ``HOST:PORT`` for sessions of other processes
    :param http: ``HOST:PORT`` for callers, trainers and operators
    :param seeds: ``HOST:PORT`` of entries to join
    :param waiting_max: limit on the requests that wait for a slot
    :param body_max_bytes: largest request body
    :param drain_s: time limit of a graceful shutdown
    :param wait_max_s: longest wait of a live request without a deadline
    :param key_retain_s: how long an earlier roster of key homes stays valid;
        at least the sidecars' ``record_retain_s``
    :param decisions_kept: number of decisions kept in memory for
        explanations
    """

    name: Name
    availability_zone: Name
    listen: str
    http: str
    platform: PlatformSettings
    seeds: list[str] = []
    waiting_max: PositiveInt = 100_000
    body_max_bytes: PositiveInt = 4 * 1024 * 1024
    drain_s: NonNegativeFloat = 30.0
    wait_max_s: PositiveFloat = 30.0
    key_retain_s: PositiveFloat = 600.0
    decisions_kept: PositiveInt = 4096
    links: LinkSettings = LinkSettings()
    lease: LeaseSettings = LeaseSettings()
    policy: PolicySettings = PolicySettings()


class EngineSettings(_Settings):
    """The model engine that a sidecar serves.

    :param url: root of the engine's HTTP API
    :param model: model that it serves
    :param slots: number of generations that it runs concurrently
    :param live_reserve_slots: number of slots that only live requests may use
    :param checks_fencing: whether the engine refuses outdated fencing tokens
    """

    url: str
    model: Name
    slots: PositiveInt = 8
    live_reserve_slots: NonNegativeInt = 1
    checks_fencing: bool = False


class ServiceSettings(_Settings):
    """The plain service that a sidecar serves.

    :param url: root of the service
    :param service: name of the service
    :param slots: number of calls that it runs concurrently
    """

    url: str
    service: Name
    slots: PositiveInt = 16


class SidecarSettings(_Settings):
    """Settings of a sidecar.

    :param name: unique name of the process
    :param availability_zone: availability zone of the process
    :param listen: ``HOST:PORT`` for sessions of entries
    :param http: ``HOST:PORT`` for metrics and health
    :param seeds: ``HOST:PORT`` of entries to announce itself to
    :param engine: its model engine; exactly one of ``engine`` and
        ``service`` is given
    :param service: its plain service
    :param record_retain_s: how long outcomes and key records are kept
    :param record_max_bytes: limit on the bytes of the outcomes, and on those
        of the key records
    :param drain_s: time limit of a graceful shutdown
    :param call_timeout_s: time limit of one call to the plain service
    :param decisions_kept: number of decisions kept in memory for
        explanations
    """

    name: Name
    availability_zone: Name
    listen: str
    http: str
    platform: PlatformSettings
    seeds: list[str] = []
    engine: EngineSettings | None = None
    service: ServiceSettings | None = None
    record_retain_s: PositiveFloat = 600.0
    record_max_bytes: PositiveInt = 16 * 1024 * 1024
    drain_s: NonNegativeFloat = 60.0
    call_timeout_s: PositiveFloat = 60.0
    decisions_kept: PositiveInt = 1024
    links: LinkSettings = LinkSettings()


class WatchSettings(_Settings):
    """Times within which a change in the store must be in force.

    :param routes_apply_s: time after the write of a route table
    :param endpoint_leave_s: time after the write that an endpoint leaves, from
        which it must get no new work
    :param disturbed_s: time after a disturbance of the store or the VM for
        which changes may take longer
    """

    routes_apply_s: PositiveFloat = 2.0
    endpoint_leave_s: PositiveFloat = 2.0
    disturbed_s: PositiveFloat = 3.0


class DutySettings(_Settings):
    """Duties towards the platform that one process fulfils at a time.

    :param address: ``HOST:PORT`` of the platform's API for them
    :param usage: whether the requests of each organisation are reported
    :param scaling: whether the number of endpoints is ordered
    :param calls_per_s: calls a second that the API accepts from all processes
    :param window_s: length of the windows that are reported
    :param late_s: time after the end of a window within which it must be
        reported
    """

    address: str
    usage: bool = False
    scaling: bool = False
    calls_per_s: PositiveFloat = 50.0
    window_s: PositiveFloat = 5.0
    late_s: PositiveFloat = 10.0


class AccessSettings(_Settings):
    """What a process does while it cannot confirm its route table.

    :param fail_closed: whether requests that need a key are refused then
    :param revoke_s: age of the last evidence that the table is current from
        which it counts as not confirmed
    """

    fail_closed: bool = False
    revoke_s: PositiveFloat = 5.0


class ProcessBounds(_Settings):
    """Bounds on what clients can make a process hold.

    The defaults are for 4,096 descriptors and an unknown amount of memory.

    :param held_bytes: bytes of requests, responses, frames and unread data
        together
    :param caller_connections: connections of callers
    :param peer_connections: connections of other processes
    :param probe_connections: connections to the port of readiness, and as
        many to that of metrics
    """

    held_bytes: PositiveInt = HELD_BYTES
    caller_connections: PositiveInt = 1365
    peer_connections: PositiveInt = 730
    probe_connections: PositiveInt = 121


class GatewaySettings(_Settings):
    """Settings of a gateway.

    :param name: unique name of the process
    :param zone: availability zone of the process
    :param http: ``HOST:PORT`` for callers and trainers
    :param ready: ``HOST:PORT`` for the load balancer's probes
    :param listen: ``HOST:PORT`` for other processes
    :param store: ``HOST:PORT`` of the platform's store
    :param grace_s: time from the stop signal until the process is killed
    :param metrics: ``HOST:PORT`` for metrics, empty for none
    :param value_bytes: largest value that the platform's store accepts, in
        bytes
    :param watch: times within which a change in the store must be in force
    :param duties: duties towards the platform, None for none
    :param keep_alive: ``announced`` if idle connections are kept for as long
        as endpoints announce, ``fixed`` for a time that suits all
    :param access: what it does while it cannot confirm its route table
    :param bounds: the :class:`ProcessBounds`
    :param placement: ``auto`` to place requests by expected completion where
        that is worthwhile, ``least_loaded`` to place them by load always
    """

    name: Name
    zone: Name
    http: str
    ready: str
    listen: str
    store: str
    grace_s: PositiveFloat = 8.0
    metrics: str = ''
    value_bytes: PositiveInt = VALUE_MAX_BYTES
    watch: WatchSettings = WatchSettings()
    duties: DutySettings | None = None
    keep_alive: typing.Literal['fixed', 'announced'] = 'fixed'
    access: AccessSettings = AccessSettings()
    bounds: ProcessBounds = ProcessBounds()
    placement: Placement = 'auto'


class KeeperSettings(_Settings):
    """Settings of a keeper.

    :param name: unique name of the VM
    :param zone: availability zone of the process
    :param listen: ``HOST:PORT`` for other processes
    :param store: ``HOST:PORT`` of the platform's store
    :param retain_s: how long a submission is kept after its acceptance
    :param lease: times of the leader's lease
    :param data_dir: folder for the texts of unfinished items, empty for none
    :param metrics: ``HOST:PORT`` for metrics, empty for none
    :param value_bytes: largest value that the platform's store accepts, in
        bytes
    :param watch: times within which a change in the store must be in force
    :param duties: duties towards the platform, None for none
    :param bounds: the :class:`ProcessBounds`
    :param keep_alive: ``announced`` if idle connections are kept for as long
        as endpoints announce, ``fixed`` for a time that suits all
    :param placement: ``auto`` to place requests by expected completion where
        that is worthwhile, ``least_loaded`` to place them by load always
    """

    name: Name
    zone: Name
    listen: str
    store: str
    retain_s: PositiveFloat = 180.0
    lease: LeaseSettings = LeaseSettings()
    data_dir: str = ''
    metrics: str = ''
    value_bytes: PositiveInt = VALUE_MAX_BYTES
    watch: WatchSettings = WatchSettings()
    duties: DutySettings | None = None
    bounds: ProcessBounds = ProcessBounds()
    keep_alive: typing.Literal['fixed', 'announced'] = 'fixed'
    placement: Placement = 'auto'


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
    :param where: name of the source, for error messages
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
