"""Fixtures that the tests of all subpackages share."""

import asyncio
import contextlib

import pytest
import structlog

from clementineline.coordination import decisions
from clementineline.protocol import links
from clementineline.protocol import messages
from clementineline.transport import frames

FAST = links.LinkTiming(
    heartbeat_s=0.02,
    silence_s=0.2,
    retain_s=5.0,
    redial_min_s=0.01,
    redial_max_s=0.02,
)


class ManualClock:
    """A clock that a test moves."""

    def __init__(self):
        self.time_s = 1000.0

    def now(self):
        return self.time_s


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def log():
    return structlog.get_logger()


@pytest.fixture
def decision_log(log):
    return decisions.DecisionLog(log, 1000, lambda: 1)


@pytest.fixture
def fast_timing():
    return FAST


@pytest.fixture
def build_member():
    def build(name, role='sidecar', **fields):
        fields.setdefault('incarnation', 1)
        fields.setdefault('revision', 1)
        fields.setdefault('availability_zone', 'walvis-a')
        fields.setdefault('address', '127.0.0.1:1')
        return messages.Member(name, role, **fields)

    return build


class Relay:
    """A TCP relay between two processes that a test can break.

    ``silent`` swallows all bytes while the connections stay open, as a
    middlebox does that has lost track of them.
    """

    def __init__(self, target):
        self._target = target
        self._pairs = []
        self._tasks = []
        self._server = None
        self.connections = 0
        self.address = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = frames.Address('127.0.0.1', port)

    async def _serve(self, reader, writer):
        self.connections += 1
        target = await asyncio.open_connection(
            self._target.host, self._target.port
        )
        pair = {'silent': False, 'writers': (writer, target[1])}
        self._pairs.append(pair)
        self._tasks += [
            asyncio.create_task(self._copy(pair, reader, target[1])),
            asyncio.create_task(self._copy(pair, target[0], writer)),
        ]

    async def _copy(self, pair, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if not pair['silent']:
                    writer.write(data)
            writer.close()

    def silence(self):
        """Swallow all bytes of the connections that are open now."""
        for pair in self._pairs:
            pair['silent'] = True

    def cut(self):
        """Drop the connections that are open now."""
        for pair in self._pairs:
            for writer in pair['writers']:
                writer.transport.abort()

    async def stop(self):
        self._server.close()
        self.cut()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@pytest.fixture
async def start_relay():
    relays = []

    async def start(target):
        relay = Relay(target)
        await relay.start()
        relays.append(relay)
        return relay

    yield start
    for relay in relays:
        await relay.stop()


@pytest.fixture
def wait_until():
    async def wait(is_reached, timeout_s=20.0):
        """Wait for a condition; the limit only ends a broken test."""
        async with asyncio.timeout(timeout_s):
            while not is_reached():
                await asyncio.sleep(0.005)

    return wait
