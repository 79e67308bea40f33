"""Measure how cost grows with the size of the fleet, and fit lines.

Each measurement runs in one process on loopback with real sessions and
frames and the classes of the service; only the endpoints are missing.
"""

import asyncio
import dataclasses
import gc
import json
import resource
import time

import msgspec
import structlog

from clementineline import clocks
from clementineline.coordination import decisions
from clementineline.coordination import endpoints
from clementineline.coordination import fleet
from clementineline.coordination import keys
from clementineline.coordination import membership
from clementineline.coordination import routing
from clementineline.coordination import steps
from clementineline.coordination import waiting
from clementineline.protocol import codec
from clementineline.protocol import links
from clementineline.protocol import messages
from clementineline.protocol import session as sessions
from clementineline.standins import ports
from clementineline.state import configuration
from clementineline.state import settings
from clementineline.transport import frames

__all__ = [
    'Slope',
    'fit_slope',
    'build_null_logger',
    'measure_configuration_propagation',
    'measure_memory',
    'measure_relay',
    'measure_routing',
    'measure_sessions',
    'measure_subset',
    'start_sidecars',
]

SETTLING_TIME_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A line fitted to measured points.

    :param name: measured quantity and its unit
    :param per: unit of size
    :param base: value of the line at size 0
    :param slope: increase per unit of size
    :param fit: coefficient of determination (R2)
    :param points: measured ``(size, value)`` pairs
    """

    name: str
    per: str
    base: float
    slope: float
    fit: float
    points: list


def fit_slope(name, per, points):
    """Fit a line by least squares.

    :param points: measured ``(size, value)`` pairs
    :returns: a :class:`Slope`
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / squares_x
    base = mean_y - slope * mean_x
    squares_y = sum((y - mean_y) ** 2 for _, y in points)
    residual = sum((y - base - slope * x) ** 2 for x, y in points)
    fit = 1.0 - residual / squares_y if squares_y else 1.0
    return Slope(name, per, base, slope, fit, points)


class _SessionOnlySidecar(sessions.SessionEvents):
    """Accepts sessions as a sidecar does, but has no endpoint."""

    def __init__(self, name, address, zone, log, timing):
        self.configuration = configuration.Configuration()
        self.adopted_at = 0.0
        self.configuration.listeners.append(self._record_adoption)
        self.member = messages.Member(
            name,
            'sidecar',
            1,
            1,
            zone,
            str(address),
            kind='engine',
            serves='model',
        )
        self._address = address
        self.listener = links.SessionListener(
            lambda: self.member, self, timing, log
        )

    def _record_adoption(self, changed):
        self.adopted_at = time.monotonic()

    def get_configuration_version(self):
        return self.configuration.version

    def build_report(self):
        return messages.Report(
            8, {'live': 3, 'trainer': 4}, 1, 5, -1, False, 7, 'ready'
        )

    def on_message(self, session, body):
        if isinstance(body, messages.ConfigurationDelta):
            self.configuration.adopt(body)

    async def start(self):
        await self.listener.start(self._address)


def build_fleet_sessions(name, log, timing):
    """Build the sessions of an entry without its HTTP server.

    :returns: ``(fleet sessions, member)``
    """
    clock = clocks.Clock()
    current = configuration.Configuration()
    decision_log = decisions.DecisionLog(log, 64, lambda: current.version)
    router = routing.Router(
        settings.PolicySettings(), clock, decision_log, lambda _: 1.0
    )
    members = membership.MemberTable()
    port = ports.find_free_ports(1)[0]
    member = messages.Member(
        name, 'entry', 1, 1, 'walvis-a', f'127.0.0.1:{port}'
    )
    fleet_sessions = fleet.FleetSessions(
        lambda: member,
        timing,
        members,
        current,
        router,
        keys.PendingAnswers(),
        clock,
        decision_log,
        log,
    )
    members.merge(member)
    return fleet_sessions, member


def build_null_logger():
    """Return a logger that discards all events."""
    return structlog.wrap_logger(
        None, processors=[], wrapper_class=_NullLogger
    )


class _NullLogger:
    def __init__(self, *_, **__):
        pass

    def _discard(self, *_, **__):
        return None

    info = debug = warning = error = _discard


async def start_sidecars(count, log, timing):
    """Start sidecars without endpoints in this process."""
    numbers = ports.find_free_ports(count)
    sidecars = []
    for number, port in enumerate(numbers):
        address = frames.Address('127.0.0.1', port)
        zone = f'zone-{number % 3}'
        sidecar = _SessionOnlySidecar(
            f's-{number:03d}', address, zone, log, timing
        )
        await sidecar.start()
        sidecars.append(sidecar)
    return sidecars


async def _connect(fleet_sessions, sidecars):
    for sidecar in sidecars:
        fleet_sessions.members.merge(sidecar.member)
    async with asyncio.timeout(60):
        while True:
            connected = 0
            for endpoint in fleet_sessions.endpoints.values():
                connected += endpoint.connected
            if connected == len(sidecars):
                return
            await asyncio.sleep(0.05)


def _count_bytes(fleet_sessions):
    byte_count = 0
    for endpoint in fleet_sessions.endpoints.values():
        stream = endpoint.session.stream
        byte_count += stream.bytes_in + stream.bytes_out
    return byte_count


async def measure_sessions(sizes, duration_s=6.0):
    """Measure CPU time and traffic of idle sessions.

    Both ends of the sessions run in this process, so half of the CPU time is
    attributed to the entry.

    :returns: list of :class:`Slope`
    """
    log = build_null_logger()
    timing = links.LinkTiming()
    core_percent, bytes_per_s = [], []
    for size in sizes:
        sidecars = await start_sidecars(size, log, timing)
        fleet_sessions, _ = build_fleet_sessions('entry', log, timing)
        await _connect(fleet_sessions, sidecars)
        await asyncio.sleep(SETTLING_TIME_S)
        before = time.process_time(), _count_bytes(fleet_sessions)
        await asyncio.sleep(duration_s)
        used = time.process_time() - before[0]
        byte_count = _count_bytes(fleet_sessions) - before[1]
        core_percent.append((size, used / duration_s / 2 * 100))
        bytes_per_s.append((size, byte_count / duration_s))
        await fleet_sessions.stop()
        for sidecar in sidecars:
            await sidecar.listener.stop()
    return [
        fit_slope('entry control, % of a core', 'session', core_percent),
        fit_slope('entry control, bytes/s in and out', 'session', bytes_per_s),
    ]


async def measure_configuration_propagation(sizes):
    """Measure the time and traffic of a change that goes to all sidecars.

    There is no platform: the change starts at an entry.
    """
    log = build_null_logger()
    timing = links.LinkTiming()
    times, byte_counts = [], []
    for size in sizes:
        sidecars = await start_sidecars(size, log, timing)
        fleet_sessions, _ = build_fleet_sessions('entry', log, timing)
        await _connect(fleet_sessions, sidecars)
        before = _count_bytes(fleet_sessions)
        value = {'version': 1, 'announced_by': 't'}
        encoded = msgspec.Raw(msgspec.msgpack.encode(value))
        delta = messages.ConfigurationDelta(
            0, 1, [messages.Change('weights/model', 1, encoded)]
        )
        started = time.monotonic()
        fleet_sessions.configuration.adopt(delta)
        async with asyncio.timeout(30):
            while not all(item.adopted_at for item in sidecars):
                await asyncio.sleep(0.001)
        last = max(item.adopted_at for item in sidecars)
        times.append((size, (last - started) * 1e3))
        byte_counts.append((size, _count_bytes(fleet_sessions) - before))
        await fleet_sessions.stop()
        for sidecar in sidecars:
            await sidecar.listener.stop()
    return [
        fit_slope('configuration to all sidecars, ms', 'sidecar', times),
        fit_slope('configuration change, bytes', 'sidecar', byte_counts),
    ]


class _IdleSession:
    """A connected session that discards what is sent."""

    connected = True

    def send(self, body):
        """Discard the message."""


def _build_router(candidates):
    log = build_null_logger()
    clock = clocks.Clock()
    decision_log = decisions.DecisionLog(log, 4096, lambda: 1)
    router = routing.Router(
        settings.PolicySettings(), clock, decision_log, lambda _: 1.0
    )
    report = messages.Report(
        1_000_000, {'live': 3}, 1, 5, -1, False, 7, 'ready'
    )
    for number in range(candidates):
        member = messages.Member(
            f's-{number}', 'sidecar', 1, 1, 'z', 'a', kind='engine', serves='m'
        )
        endpoint = endpoints.Endpoint(member, clock)
        endpoint.session = _IdleSession()
        endpoint.handle_report(report)
        endpoint.pace.pace_s = 0.002 + number * 1e-6
        router.add_endpoint(endpoint)
    return router


def _time_routing(router, waiting_count, rounds):
    """Return the CPU time to route one request, in microseconds.

    :param waiting_count: requests in the queue that can't be placed, because
        they require a version that no endpoint has
    :param rounds: number of requests to route
    """
    loop = asyncio.get_running_loop()
    pool = router.get_pool('engine', 'm')
    for number in range(waiting_count):
        pool.queue.add(
            waiting.WaitingRequest(
                f'w{number}',
                'trainer',
                1.0,
                (1, number),
                '',
                1,
                loop.create_future(),
                min_version=99,
            )
        )
    requests = [
        waiting.WaitingRequest(
            f'r{number}',
            'live',
            1.0,
            (0, number),
            f'{number % 50}',
            1,
            loop.create_future(),
        )
        for number in range(rounds)
    ]
    started = time.process_time()
    for request in requests:
        pool.queue.add(request)
        router.place_waiting(pool)
    used = time.process_time() - started
    for request in requests:
        check_placed(request)
    return used / rounds * 1e6


def check_placed(request):
    """Check that a measured request was placed.

    :raises RuntimeError: if it was not, so that the measurement is invalid
    """
    if not request.future.done():
        raise RuntimeError(f'{request.id}: was not placed')


async def measure_routing(candidates, waiting_counts, rounds=500):
    """Measure the cost of routing one request.

    :param candidates: numbers of endpoints that can run the request
    :param waiting_counts: numbers of requests in the queue
    :returns: list of :class:`Slope`, by candidates and by waiting requests
    """
    by_candidates = []
    for count in candidates:
        by_candidates.append(
            (count, _time_routing(_build_router(count), 10, rounds))
        )
    by_waiting = []
    for count in waiting_counts:
        by_waiting.append(
            (count, _time_routing(_build_router(40), count, rounds))
        )
    return [
        fit_slope('routing one request, us', 'candidate', by_candidates),
        fit_slope(
            'routing one request of 40 candidates, us',
            'waiting request',
            by_waiting,
        ),
    ]


def measure_relay(tokens_per_chunk, chunks=50_000):
    """Measure the CPU time to encode and decode a relayed chunk.

    :returns: list of one :class:`Slope`, by tokens per chunk
    """
    points = []
    for tokens in tokens_per_chunk:
        text = 'token ' * tokens
        frame = messages.Data(
            9, 9, 9, messages.Chunk('g-0123456789abcdef.1', text, tokens, 5)
        )
        started = time.process_time()
        for _ in range(chunks):
            codec.decode_frame(codec.encode_frame(frame))
        used = time.process_time() - started
        points.append((tokens, used / chunks * 1e6))
    return [fit_slope('encode and decode a chunk, us', 'token', points)]


def _read_rss_bytes():
    gc.collect()
    with open('/proc/self/statm') as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize()


async def measure_memory(sizes):
    """Measure the memory of a waiting request and of a sample of a step."""
    loop = asyncio.get_running_loop()
    waits, samples = [], []
    for size in sizes:
        before = _read_rss_bytes()
        queue = waiting.WaitingQueue()
        for number in range(size):
            queue.add(
                waiting.WaitingRequest(
                    f'request-{number}',
                    'live',
                    1.0,
                    (0, number),
                    '',
                    1,
                    loop.create_future(),
                )
            )
        waits.append((size, _read_rss_bytes() - before))
        before = _read_rss_bytes()
        held = []
        for number in range(size):
            sample = steps.Sample(number)
            sample.text = 'x' * 1000 + str(number)
            sample.spans = [(1, 250)]
            held.append(sample)
        samples.append((size, _read_rss_bytes() - before))
        del queue, held
    return [
        fit_slope('memory, bytes', 'waiting request', waits),
        fit_slope('memory, bytes', 'sample of 1,000 characters', samples),
    ]


def measure_subset(entries, sidecars):
    """Measure how an entry chooses the subset of sidecars to connect to.

    :returns: dict with the CPU time of the first choice and of another one
        after the removal of a sidecar, in seconds, the number of sessions of
        the entry and of models that they reach
    """
    members = []
    for number in range(entries):
        members.append(
            messages.Member(
                f'e-{number}', 'entry', 1, 1, f'zone-{number % 24}', 'a'
            )
        )
    for number in range(sidecars):
        members.append(
            messages.Member(
                f's-{number}',
                'sidecar',
                1,
                1,
                f'zone-{number % 24}',
                'a',
                kind='engine',
                serves=f'model-{number % 7}',
            )
        )
    chooser = membership.SidecarChooser('e-0')
    started = time.process_time()
    chosen = chooser.choose(members)
    first_choice_s = time.process_time() - started
    members.pop()
    started = time.process_time()
    chooser.choose(members)
    second_choice_s = time.process_time() - started
    model_count = len({member.serves for member in chosen})
    return {
        'entries': entries,
        'sidecars': sidecars,
        'choice_s': round(first_choice_s, 4),
        'choice_again_s': round(second_choice_s, 4),
        'sessions_of_an_entry': len(chosen),
        'models_reached': model_count,
    }


def format_json(slopes):
    """Return slopes as JSON."""
    return json.dumps([dataclasses.asdict(item) for item in slopes], indent=1)
