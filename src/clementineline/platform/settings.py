"""Loads process settings from the platform's settings file."""

import msgspec

from clementineline import errors
from clementineline.state import settings

__all__ = ['BOOT_VARIABLE', 'load_gateway_settings', 'load_keeper_settings']

BOOT_VARIABLE = 'CLEMENTINELINE_BOOT'
# A contender may acquire the lease this long after its last renewal.
LEASE_DURATION_S = 3.0
# Three renewals are due before the holder has to stop using the lease.
LEASE_RENEWAL_INTERVAL_S = 0.6
# Submissions are kept this long beyond the time for which the platform
# requires their results to be readable.
RETENTION_MARGIN_S = 60.0
# A body is copied up to three times on its way to the caller.
RESPONSE_MEMORY_SHARE = 0.1
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


class _StoreSettings(msgspec.Struct, rename='camel'):
    address: str
    value_bytes: int = 1024 * 1024


class _Limits(msgspec.Struct, rename='camel'):
    memory_mb: float = 0.0


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
    placement: settings.Placement = 'auto'


def _load(path):
    try:
        with open(path, 'rb') as file:
            return msgspec.json.decode(file.read(), type=_BootSettings)
    except (OSError, msgspec.DecodeError) as error:
        raise errors.SettingsError(f'{path}: {error}') from error


def _build_peer_address(boot):
    return f'{boot.ip}:{boot.port_range[0]}'


def _build_watch_settings(boot):
    return settings.WatchSettings(
        routes_apply_s=boot.bounds.config_apply_ms / 1000,
        endpoint_leave_s=boot.bounds.drain_ms / 1000,
        disturbed_s=boot.bounds.stable_window_ms / 1000,
    )


def _derive_response_bytes(boot):
    """Return the part of the VM's memory that responses may hold."""
    bytes_max = int(boot.limits.memory_mb * 1e6 * RESPONSE_MEMORY_SHARE)
    if not bytes_max:
        return settings.RESPONSE_BYTES
    return min(bytes_max, settings.RESPONSE_BYTES)


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
        response_bytes=_derive_response_bytes(boot),
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
        response_bytes=_derive_response_bytes(boot),
        placement=boot.placement,
    )
