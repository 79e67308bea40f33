"""Decoder of the operator's manifest into the route table."""

import typing

import msgspec

from clementineline import errors
from clementineline.state import organisations
from clementineline.state import routes

__all__ = ['decode_manifest']

# The name is sent to endpoints as the value of a header.
_OrganisationName = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?\Z'
    ),
]


class _TrafficShare(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename='camel'):
    name: str
    host: str
    path_prefix: str
    # 'safe', 'unsafe', 'stream' or 'rollout'.
    kind: str
    timeout_ms: float
    target_latency_ms: float
    max_attempts: int = 1
    priority: int = 5
    service: str = ''
    traffic_split: list[_TrafficShare] = []
    resumable: bool = False
    # Age at which an item of a submission is abandoned.
    max_queue_s: float = msgspec.field(default=0.0, name='maxQueueS')
    # Age of a submission at which all its results are due.
    result_due_ms: float = 0.0
    single_version: bool = False
    public: bool = False


class _Model(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct, rename='camel'):
    slots: int = 0
    # Capacity of the KV cache, in tokens.
    kv_capacity: int = 0
    # Tokens per event of a stream.
    stride: int = 1
    models: list[_Model] = []


class _Scaling(msgspec.Struct):
    min: int
    max: int
    bootS: float = 0.0  # noqa: N815 - name in the wire format


class _Service(msgspec.Struct, rename='camel'):
    name: str
    max_conns: int = 0
    health_path: str = ''
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 32 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Tenant(msgspec.Struct, rename='camel'):
    name: _OrganisationName
    api_keys: list[str] | None = None
    priority: int | None = None


class _Manifest(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Without the field, or with null, organisations are not in force. An empty
    # list puts them in force, and no key is valid.
    tenants: list[_Tenant] | None = None


def _decode_route(route):
    if route.traffic_split:
        targets = tuple(
            routes.Target(share.service, share.weight)
            for share in route.traffic_split
        )
    else:
        targets = (routes.Target(route.service, 1.0),)
    return routes.Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        # An item may run again at another endpoint. Whether a stream may do so
        # depends on ``resumable`` alone.
        idempotent=route.kind in ('safe', 'rollout'),
        streamed=route.kind == 'stream',
        resumable=route.resumable,
        batch=route.kind == 'rollout',
        timeout_s=route.timeout_ms / 1000,
        aim_s=route.target_latency_ms / 1000,
        priority=route.priority,
        attempts_max=max(1, route.max_attempts),
        targets=targets,
        queue_s=route.max_queue_s,
        due_s=route.result_due_ms / 1000,
        single_version=route.single_version,
        public=route.public,
    )


def _decode_scaling(scaling):
    if scaling is None:
        return None
    return routes.ScalingBounds(
        max(0, scaling.min), max(0, scaling.max), max(0.0, scaling.bootS)
    )


def _decode_service(service):
    engine = service.engine or _Engine()
    return routes.ServiceTarget(
        service.name,
        service.max_conns,
        tuple(model.name for model in engine.models),
        engine.slots,
        engine.kv_capacity,
        engine.stride,
        service.health_path,
        _decode_scaling(service.scaling),
    )


def _decode_organisations(tenants):
    if tenants is None:
        return None
    entries = []
    for tenant in tenants:
        organisation = organisations.Organisation(tenant.name, tenant.priority)
        entries.append((organisation, tenant.api_keys or ()))
    return organisations.OrganisationTable(entries)


def decode_manifest(value):
    """Decode the manifest.

    :param value: spec of the manifest object that the operator writes
    :returns: the :class:`~routes.RouteTable`
    :raises errors.PlatformError: if the manifest is malformed
    """
    try:
        manifest = msgspec.convert(value, _Manifest)
    except msgspec.ValidationError as error:
        raise errors.PlatformError(f'manifest: {error}') from error
    limits = manifest.limits
    return routes.RouteTable(
        manifest.version,
        tuple(_decode_route(route) for route in manifest.routes),
        {
            service.name: _decode_service(service)
            for service in manifest.services
        },
        routes.TrafficLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
        _decode_organisations(manifest.tenants),
    )
