"""The platform's settings file of a process, as the product's settings."""

import msgspec

from clementineline import errors
from clementineline.state import settings

__all__ = ['BOOT_VARIABLE', 'load_gateway_settings', 'load_keeper_settings']

BOOT_VARIABLE = 'CLEMENTINELINE_BOOT'
# A lapsed lease is taken after this long, and renewed three times within.
LEASE_DURATION_S = 3.0
LEASE_RENEW_S = 0.6
# Kept beyond the time for which results must be readable.
RETAIN_MARGIN_S = 60.0
# deploy/system.toml tells the platform the same port.
METRICS_PORT = 9464


class _Listen(msgspec.Struct):
    front: str = ''
    ready: str = ''


class _Bounds(msgspec.Struct, rename='camel'):
    grace_s: float = msgspec.field(default=8.0, name='graceS')
    status_s: float = msgspec.field(default=120.0, name='statusS')
    lease_ms: float = 3000.0


class _Store(msgspec.Struct, rename='camel'):
    address: str
    value_bytes: int = 1024 * 1024


class _Node(msgspec.Struct, rename='camel'):
    node_name: str
    ip: str
    zone: str
    platform: _Store
    port_range: tuple[int, int]
    data_dir: str | None = None
    listen: _Listen = msgspec.field(default_factory=_Listen)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def _load(path):
    try:
        with open(path, 'rb') as file:
            return msgspec.json.decode(file.read(), type=_Node)
    except (OSError, msgspec.DecodeError) as error:
        raise errors.SettingsError(f'{path}: {error}') from error


def _build_peer_address(node):
    return f'{node.ip}:{node.port_range[0]}'


def load_gateway_settings(path):
    """Load the settings of a gateway.

    :raises errors.SettingsError: if they are not usable
    """
    node = _load(path)
    return settings.GatewaySettings(
        name=node.node_name,
        zone=node.zone,
        http=node.listen.front,
        ready=node.listen.ready,
        listen=_build_peer_address(node),
        store=node.platform.address,
        grace_s=node.bounds.grace_s,
        metrics=f'{node.ip}:{METRICS_PORT}',
        value_bytes=node.platform.value_bytes,
    )


def load_keeper_settings(path):
    """Load the settings of a keeper.

    :raises errors.SettingsError: if they are not usable
    """
    node = _load(path)
    lease = settings.LeaseSettings(
        duration_s=LEASE_DURATION_S,
        renew_s=LEASE_RENEW_S,
        quiet_s=node.bounds.lease_ms / 1000,
    )
    return settings.KeeperSettings(
        name=node.node_name,
        zone=node.zone,
        listen=_build_peer_address(node),
        store=node.platform.address,
        retain_s=node.bounds.status_s + RETAIN_MARGIN_S,
        lease=lease,
        data_dir=node.data_dir or '',
        metrics=f'{node.ip}:{METRICS_PORT}',
        value_bytes=node.platform.value_bytes,
    )
