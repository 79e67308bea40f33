"""Fixtures that the tests of all subpackages share."""

import asyncio

import pytest
import structlog

from clementineline.coordination import decisions
from clementineline.experiments import relay as relays_module
from clementineline.protocol import links
from clementineline.protocol import messages

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


@pytest.fixture
async def start_relay():
    relays = []

    async def start(target):
        relay = relays_module.Relay(target)
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
