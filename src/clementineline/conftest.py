"""Fixtures for the tests of all subpackages."""

import asyncio

import pytest
import structlog

from clementineline.coordination import decisions
from clementineline.experiments import relay as relays_module
from clementineline.protocol import links
from clementineline.protocol import messages

FAST_TIMING = links.LinkTiming(
    heartbeat_s=0.02,
    silence_s=0.2,
    retain_s=5.0,
    redial_min_s=0.01,
    redial_max_s=0.02,
)


class ManualClock:
    """Clock that a test sets."""

    counts_suspension = True

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
    return FAST_TIMING


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
    async def wait(condition, timeout_s=20.0):
        """Wait until a condition is true; fail after the timeout."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.005)

    return wait
