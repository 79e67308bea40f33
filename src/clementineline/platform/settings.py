"""Loads process settings from the platform's settings file."""

import resource

import msgspec

from clementineline import errors
from clementineline.state import settings
from clementineline.transport import frames
from clementineline.transport import reading

__all__ = ['BOOT_VARIABLE', 'load_gateway_settings', 'load_keeper_settings']

BOOT_VARIABLE = 'CLEMENTINELINE_BOOT'
# A contender may acquire the lease this long after its last renewal.
LEASE_DURATION_S = 3.0
# Three renewals are due before the holder has to stop using the lease.
LEASE_RENEWAL_INTERVAL_S = 0.6
# Submissions are kept this long beyond the time for which the platform
# requires their results to be readable.
RETENTION_MARGIN_S = 60.0
# Memory of a process that holds nothing for others: 35 to 40 MB at the start,
# 70 MB with the entries of hundreds of machines.
PROCESS_MB = 70.0
# Part of the rest that bytes of others may use. What is left is for buffers of
# the allocator and for copies of one piece at a time.
HELD_SHARE = 0.75
HELD_MIN_MB = 16.0
# Descriptors of the process that are meant for files.
FILES_MAX = 200
# Most descriptors that are used where the settings name no limit.
FDS_UNKNOWN_MAX = 4096
# Shares of the remaining descriptors. Each call of a caller may need one
# connection to an endpoint, which the rest is for. Keepers have no callers.
CALLERS_SHARE = 0.5
GATEWAY_PEERS_SHARE = 0.1875
KEEPER_PEERS_SHARE = 0.625
PROBES_SHARE = 1 / 32
# Connections of callers that send nothing may use this share of what the
# process may hold.
CONNECTIONS_HELD_SHARE = 0.25
SOCKETS_MIN = 64
# Names the rules for endpoints and callers that compete for too little room.
PRESSURE_CONTRACT = 'pressure'
# Must be the port of ``metrics`` in deploy/system.toml.
METRICS_PORT = 9464


class _Listen(msgspec.Struct):
    # ``HOST:PORT`` for callers and trainers.
    front: str = ''
    # ``HOST:PORT`` for the load balancer's readiness probes.
    ready: str = ''


class _Bounds(msgspec.Struct, rename='camel'):
    # Time between the stop signal and the kill.
    grace_s: float = msgspec.field(default=8.0, name='graceS')
    # Time for which results of a submission must be readable.
    status_s: float = msgspec.field(default=120.0, name='statusS')
    # Time that a new leader waits before its first load order, so that orders
    # of the previous leader cannot interfere. It is not the duration of the
    # lease in the store.
    lease_ms: float = 3000.0
    # Time after the acknowledged write of a manifest within which it must be
    # in force.
    config_apply_ms: float = 2000.0
    # Time after the acknowledged entry of a leaving endpoint from which it
    # must get no requests; not the time in which a process drains.
    drain_ms: float = 2000.0
    # Time without disturbance after which a VM counts as undisturbed.
    stable_window_ms: float = 3000.0
    # Length of a window of usage.
    report_window_s: float = msgspec.field(default=5.0, name='reportWindowS')
    # Time after the end of a window within which it must be reported.
    usage_late_s: float = msgspec.field(default=10.0, name='usageLateS')
    # Whether requests that need a key are refused while the last evidence that
    # the manifest is current is older than the time below.
    fail_closed: bool = False
    revoke_ms: float = 5000.0


class _StoreSettings(msgspec.Struct, rename='camel'):
    address: str
    value_bytes: int = 1024 * 1024


class _CloudSettings(msgspec.Struct, rename='camel'):
    # ``HOST:PORT`` of the API for reports of usage and orders of capacity.
    address: str
    # Duties that the API accepts: 'usage', 'scale'.
    duties: list[str] = []
    # Calls a second that the API accepts from all processes together.
    duties_per_s: float = msgspec.field(default=50.0, name='dutiesPerS')


class _Limits(msgspec.Struct, rename='camel'):
    # Memory of the VM; 0 if unknown.
    memory_mb: float = 0.0
    # Descriptors that the process may open, files included; 0 for the
    # system's limit.
    max_fds: int = 0


class _BootSettings(msgspec.Struct, rename='camel'):
    # Name of the VM, which is also the name of the process.
    node_name: str
    ip: str
    zone: str
    platform: _StoreSettings
    # Ports that the process may use; the first is for other processes.
    port_range: tuple[int, int]
    data_dir: str | None = None
    listen: _Listen = msgspec.field(default_factory=_Listen)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    cloud: _CloudSettings | None = None
    # Parts of the platform's rules that are in force.
    contracts: list[str] = []
    placement: settings.Placement = 'auto'


def _load(path):
    try:
        with open(path, 'rb') as file:
            return msgspec.json.decode(file.read(), type=_BootSettings)
    except (OSError, msgspec.DecodeError) as error:
        raise errors.SettingsError(f'{path}: {error}') from error


def _build_peer_address(boot):
    return f'{boot.ip}:{boot.port_range[0]}'


def _choose_keep_alive(boot):
    """Return how long idle connections to endpoints are kept.

    Where endpoints are under pressure, each new connection costs them some of
    the room that requests compete for.
    """
    return 'announced' if PRESSURE_CONTRACT in boot.contracts else 'fixed'


def _build_watch_settings(boot):
    return settings.WatchSettings(
        routes_apply_s=boot.bounds.config_apply_ms / 1000,
        endpoint_leave_s=boot.bounds.drain_ms / 1000,
        disturbed_s=boot.bounds.stable_window_ms / 1000,
    )


def _build_duty_settings(boot):
    """Return the :class:`~settings.DutySettings`, None if there are none."""
    cloud = boot.cloud
    if cloud is None or not cloud.duties:
        return None
    frames.parse_address(cloud.address)
    return settings.DutySettings(
        address=cloud.address,
        usage='usage' in cloud.duties,
        scaling='scale' in cloud.duties,
        calls_per_s=cloud.duties_per_s,
        window_s=boot.bounds.report_window_s,
        late_s=boot.bounds.usage_late_s,
    )


def _derive_bounds(boot, peers_share):
    """Return the :class:`~settings.ProcessBounds` for the VM's limits.

    :param peers_share: share of the descriptors for other processes
    """
    fds_max = boot.limits.max_fds
    if not fds_max:
        fds_max, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if fds_max == resource.RLIM_INFINITY or fds_max > FDS_UNKNOWN_MAX:
            fds_max = FDS_UNKNOWN_MAX
    sockets = max(fds_max - FILES_MAX, SOCKETS_MIN)
    held_bytes = settings.HELD_BYTES
    if boot.limits.memory_mb:
        held_mb = (boot.limits.memory_mb - PROCESS_MB) * HELD_SHARE
        held_bytes = int(max(held_mb, HELD_MIN_MB) * 1e6)
    affordable = held_bytes * CONNECTIONS_HELD_SHARE / reading.CONNECTION_BYTES
    return settings.ProcessBounds(
        held_bytes=held_bytes,
        caller_connections=int(min(sockets * CALLERS_SHARE, affordable)),
        peer_connections=int(sockets * peers_share),
        probe_connections=int(sockets * PROBES_SHARE),
    )


def load_gateway_settings(path):
    """Load the settings of a gateway.

    :param path: path of the platform's settings file
    :returns: the :class:`~settings.GatewaySettings`
    :raises errors.SettingsError: if the file cannot be read or decoded
    """
    boot = _load(path)
    return settings.GatewaySettings(
        name=boot.node_name,
        zone=boot.zone,
        http=boot.listen.front,
        ready=boot.listen.ready,
        listen=_build_peer_address(boot),
        store=boot.platform.address,
        grace_s=boot.bounds.grace_s,
        metrics=f'{boot.ip}:{METRICS_PORT}',
        value_bytes=boot.platform.value_bytes,
        watch=_build_watch_settings(boot),
        bounds=_derive_bounds(boot, GATEWAY_PEERS_SHARE),
        duties=_build_duty_settings(boot),
        keep_alive=_choose_keep_alive(boot),
        access=settings.AccessSettings(
            fail_closed=boot.bounds.fail_closed,
            revoke_s=boot.bounds.revoke_ms / 1000,
        ),
        placement=boot.placement,
    )


def load_keeper_settings(path):
    """Load the settings of a keeper.

    :param path: path of the platform's settings file
    :returns: the :class:`~settings.KeeperSettings`
    :raises errors.SettingsError: if the file cannot be read or decoded
    """
    boot = _load(path)
    lease = settings.LeaseSettings(
        duration_s=LEASE_DURATION_S,
        renew_s=LEASE_RENEWAL_INTERVAL_S,
        quiet_s=boot.bounds.lease_ms / 1000,
    )
    return settings.KeeperSettings(
        name=boot.node_name,
        zone=boot.zone,
        listen=_build_peer_address(boot),
        store=boot.platform.address,
        retain_s=boot.bounds.status_s + RETENTION_MARGIN_S,
        lease=lease,
        data_dir=boot.data_dir or '',
        metrics=f'{boot.ip}:{METRICS_PORT}',
        value_bytes=boot.platform.value_bytes,
        watch=_build_watch_settings(boot),
        bounds=_derive_bounds(boot, KEEPER_PEERS_SHARE),
        duties=_build_duty_settings(boot),
        keep_alive=_choose_keep_alive(boot),
        placement=boot.placement,
    )
