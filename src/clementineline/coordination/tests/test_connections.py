"""How long idle connections to endpoints are kept, and for which requests."""

import asyncio
import types

import pytest

from clementineline.coordination import connections
from clementineline.coordination import endpointchoice
from clementineline.coordination.tests import test_placement
from clementineline.transport import http
from clementineline.transport import outgoing


class FakeClient:
    """A connection whose last response ended some time ago."""

    def __init__(self, idle_s=0.0, keep_alive=b'timeout=15'):
        self.reusable = True
        self.closed = False
        self.idle_limit_s = None
        self.was_idle_long = False
        self.used_at = asyncio.get_running_loop().time() - idle_s
        self.response = types.SimpleNamespace(
            headers=[(b'Keep-Alive', keep_alive)]
        )

    def close(self):
        self.closed = True


@pytest.fixture
def state():
    return test_placement.build_engine('a')


@pytest.fixture
def pool(monkeypatch):
    """Return a pool with announced timeouts that opens fake connections."""

    async def connect(address, timeout_s):
        return FakeClient()

    monkeypatch.setattr(outgoing, 'connect', connect)
    built = connections.ConnectionPool(None, None, None)
    built.announced = True
    return built


class TestIdleTimeout:
    @pytest.mark.parametrize(
        ('announced', 'keep_alive', 'idle_s', 'kept'),
        [
            # Guards against a new connection for each rare call.
            (True, b'timeout=15, max=100', 13.0, True),
            # Guards against a request on a connection that is being closed.
            (True, b'timeout=15', 14.5, False),
            (True, b'timeout=2', 3.5, True),
            (True, b'timeout=2', 4.5, False),
            (True, b'timeout=soon', 4.5, False),
            (True, b'timeout=9000', 61.0, False),
            # Guards against a change of the default.
            (False, b'timeout=15', 4.5, False),
            (False, b'timeout=15', 3.5, True),
        ],
    )
    async def test_announced_timeout_counts_less_a_margin(
        self, pool, state, announced, keep_alive, idle_s, kept
    ):
        pool.announced = announced
        client = FakeClient(idle_s, keep_alive)
        pool.release(state, client)
        found = await pool._connect(state, repeatable=True)
        assert (found is client) == kept
        assert client.closed != kept

    async def test_only_repeatable_requests_use_long_idle_connections(
        self, pool, state
    ):
        # Guards against calls that end with 502 since the endpoint dropped
        # the connection and they may not run twice.
        client = FakeClient(8.0)
        pool.release(state, client)
        assert await pool._connect(state, repeatable=False) is not client
        assert await pool._connect(state, repeatable=True) is client

    @pytest.mark.parametrize(('may_keep', 'left'), [(True, 1), (False, 0)])
    async def test_one_long_idle_connection_is_kept(
        self, pool, state, may_keep, left
    ):
        # Guards against gateways that take all connections of an endpoint.
        pool.may_keep = lambda endpoint_id: may_keep
        for idle_s in (9.0, 8.0, 7.0):
            pool.release(state, FakeClient(idle_s))
        pool.close_idle({'a': state})
        kept = pool._idle.get('a', [])
        assert len(kept) == left
        if kept:
            assert kept[0].used_at == pytest.approx(
                asyncio.get_running_loop().time() - 7.0, abs=0.5
            )

    async def test_leader_keeps_all_long_idle_connections(self, pool, state):
        # Guards against a new connection for each item of the next step.
        pool.idle_kept_max = None
        for idle_s in (9.0, 8.0, 7.0):
            pool.release(state, FakeClient(idle_s))
        pool.close_idle({'a': state})
        assert len(pool._idle['a']) == 3
        fresh = await pool._connect(state, repeatable=True, fresh=True)
        assert not fresh.was_idle_long
        assert (await pool._connect(state, repeatable=True)).was_idle_long

    async def test_equal_load_goes_to_an_idle_connection(self, pool):
        # Guards against new connections beside idle ones; a lower load still
        # counts more.
        states = [test_placement.build_engine(name) for name in 'abc']
        pool.release(states[1], FakeClient())
        for _ in range(20):
            chosen = endpointchoice.choose_endpoint(
                states, [], 'walvis-a', 0.0, has_idle=pool.has_idle
            )
            assert chosen is states[1]
        states[1].in_flight = 1
        chosen = endpointchoice.choose_endpoint(
            states, [], 'walvis-a', 0.0, has_idle=pool.has_idle
        )
        assert chosen is not states[1]


class TestReadIdleTimeout:
    @pytest.mark.parametrize(
        ('value', 'expected'),
        [(b'max=5, Timeout = 7', 7), (b'max=5', None), (b'timeout=-1', None)],
    )
    def test_other_parameters_are_ignored(self, value, expected):
        # Guards against headers that name several parameters.
        assert http.read_idle_timeout([(b'keep-alive', value)]) == expected
