"""The routes in force: which request goes to which service, and how often.

A route table is replaced as a whole, and never by an older version.
"""

import msgspec

__all__ = [
    'Route',
    'RouteTable',
    'ServiceTarget',
    'Target',
    'TrafficLimits',
]


class Target(msgspec.Struct, frozen=True):
    """A service that a route leads to, with its share of the requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """A route.

    :param prefix: start of the paths that it matches, slash to slash
    :param idempotent: whether a request may run more than once
    :param streamed: whether the response is a stream of events
    :param resumable: whether another endpoint may go on with a stream
    :param batch: whether it accepts submissions that run later
    :param timeout_s: longest time that a request is kept waiting
    :param aim_s: time within which an answer is worth most
    :param priority: rank, 0 is the highest
    :param attempts_max: endpoints that one request may be sent to
    :param targets: its services
    :param queue_s: age at which an item of a submission is given up
    :param due_s: age at which all results of a submission are due
    :param single_version: whether one version must make a whole result
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    streamed: bool
    resumable: bool
    batch: bool
    timeout_s: float
    aim_s: float
    priority: int
    attempts_max: int
    targets: tuple[Target, ...]
    queue_s: float = 0.0
    due_s: float = 0.0
    single_version: bool = False


class ServiceTarget(msgspec.Struct, frozen=True):
    """A service of the route table.

    :param connections_max: connections that an endpoint accepts in all
    :param models: models of its engines; empty for a plain service
    :param slots: generations that an engine runs at once
    :param memory_tokens: tokens that an engine's memory holds, 0 if unknown
    :param event_tokens: tokens that one event of a stream carries
    :param health_path: path that answers whether an endpoint is healthy
    """

    name: str
    connections_max: int
    models: tuple[str, ...] = ()
    slots: int = 0
    memory_tokens: int = 0
    event_tokens: int = 1
    health_path: str = ''


class TrafficLimits(msgspec.Struct, frozen=True):
    """What callers may send."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 32 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


class RouteTable(msgspec.Struct, frozen=True):
    """All routes and services of one version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceTarget]
    limits: TrafficLimits

    def match(self, host, path):
        """Find the route of a request.

        :param host: host name, without port
        :param path: path of the request
        :returns: the :class:`Route` with the longest prefix, or None
        """
        best = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best

    def find(self, name):
        """Return the route of a name, or None."""
        for route in self.routes:
            if route.name == name:
                return route
        return None
