"""Probes of endpoints, with a pool of connections that waits."""

import asyncio
import contextlib
import types

import h11
import pytest

from clementineline.coordination import directory
from clementineline.coordination import probing
from clementineline.state import directory as records


class WaitingPool:
    """A pool whose requests wait for :attr:`answered`."""

    def __init__(self):
        self.answered = asyncio.Event()
        self.requests = []

    async def acquire(self, state, purpose, **options):
        self.requests.append(state.id)

    async def exchange(self, state, client, head):
        await self.answered.wait()
        return h11.Response(status_code=200, headers=[]), b''


@pytest.fixture
def pool():
    return WaitingPool()


@pytest.fixture
def prober(pool, log):
    dialect = types.SimpleNamespace(
        build_health_call=lambda service, record: None,
        read_reply=lambda headers: types.SimpleNamespace(
            running=0, waiting=0, slowness=None
        ),
    )
    service = types.SimpleNamespace(health_path='/health')
    table = types.SimpleNamespace(services={'lm': service})
    return probing.LoadProber(pool, dialect, lambda: table, log)


@pytest.fixture
def states():
    found = []
    for name in ('e1', 'e2'):
        record = records.EndpointRecord(
            name, 'lm', '10.0.0.1:80', 'z', 4, False, 0.0, {}, 0
        )
        found.append(directory.EndpointState(record))
    return found


class TestLoadProber:
    async def test_concurrent_probes_share_one_request(
        self, prober, pool, states
    ):
        """A new leader probes the same engines for each open step."""
        probes = [asyncio.create_task(prober.probe(states)) for _ in range(10)]
        await asyncio.sleep(0.01)
        assert not any(probe.done() for probe in probes)
        pool.answered.set()
        await asyncio.gather(*probes)
        assert sorted(pool.requests) == ['e1', 'e2']

    async def test_cancelled_caller_leaves_the_probe_to_the_others(
        self, prober, pool, states
    ):
        first = asyncio.create_task(prober.probe(states))
        await asyncio.sleep(0)
        second = asyncio.create_task(prober.probe(states))
        await asyncio.sleep(0.01)
        first.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await first
        pool.answered.set()
        await second
        for state in states:
            assert state.load_at > 0

    async def test_silent_endpoint_delays_callers_only_for_the_timeout(
        self, prober, states
    ):
        async with asyncio.timeout(2 * probing.PROBE_TIMEOUT_S):
            await prober.probe(states)
