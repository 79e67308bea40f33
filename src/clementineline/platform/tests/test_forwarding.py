import asyncio
import types

import pytest

from clementineline.coordination import connections
from clementineline.coordination import directory
from clementineline.coordination import forwarding
from clementineline.coordination import ratelimits
from clementineline.platform import dialect
from clementineline.platform.tests import standin
from clementineline.protocol import verdicts
from clementineline.state import directory as records
from clementineline.state import routes
from clementineline.transport import buffers
from clementineline.transport import http


def build_state(name, zone='walvis-a', slots=4, address='10.0.0.1:80'):
    return directory.EndpointState(
        records.EndpointRecord(
            name, 'desk', address, zone, slots, False, 0.0, {}, 0
        )
    )


def build_route(**changes):
    fields = {
        'name': 'r',
        'host': 'shop.example',
        'prefix': '/live/',
        'idempotent': True,
        'streamed': False,
        'resumable': False,
        'batch': False,
        'timeout_s': 0.8,
        'aim_s': 0.19,
        'priority': 2,
        'attempts_max': 2,
        'targets': (routes.Target('desk', 1.0),),
        **changes,
    }
    return routes.Route(**fields)


class TestChooseEndpoint:
    def test_least_loaded_untried_endpoint_is_chosen(self):
        states = [build_state(name) for name in 'abc']
        states[0].in_flight = 2
        states[1].in_flight = 1
        chosen = forwarding.choose_endpoint(states, ['c'], 'walvis-a', 0.0)
        assert chosen.id == 'b'

    def test_endpoint_in_backoff_is_chosen_only_without_others(self):
        state = build_state('a')
        state.backoff_until = 9.0
        other = build_state('b')
        other.in_flight = 40
        choose = forwarding.choose_endpoint
        assert choose([state, other], [], 'walvis-a', 0.0) is other
        assert choose([state], [], 'walvis-a', 0.0) is state

    def test_old_load_reports_are_ignored(self):
        state = build_state('a')
        state.other_requests = 8
        state.load_at = 10.0
        assert state.estimate_load(10.5) == 2.0
        assert state.estimate_load(12.0) == 0.0


class TestChooseService:
    @pytest.mark.parametrize(
        ('draw', 'service'), [(0.0, 'a'), (0.89, 'a'), (0.91, 'b')]
    )
    def test_service_is_chosen_by_weight(self, draw, service):
        targets = (routes.Target('a', 90), routes.Target('b', 10))
        assert forwarding.choose_service(targets, draw) == service


@pytest.fixture
async def forwarding_setup(log, clock):
    """Provide a forwarder and stand-in endpoints of one service."""

    class Forwarding:
        def __init__(self):
            self.servers = []
            self.endpoint_directory = directory.Directory(
                lambda n, v: v, clock, log
            )
            self.forwarder = forwarding.CallForwarder(
                self.endpoint_directory,
                connections.ConnectionPool(
                    ratelimits.RateLimits(
                        'gateway-1',
                        False,
                        types.SimpleNamespace(addresses={}, keepers=set()),
                        self.endpoint_directory,
                        dialect.WireDialect.read_reply,
                        log,
                    ),
                    buffers.BufferBudget(1 << 20),
                ),
                dialect.WireDialect(),
                'walvis-a',
                log,
            )

        async def start(self, name):
            server = standin.ServerStandIn(log, name)
            await server.start()
            self.servers.append(server)
            self.endpoint_directory.add(
                build_state(name, address=server.address)
            )
            return server

        async def forward(self, route, limit_s=0.8, request_id='r1'):
            head = http.Head(
                b'POST',
                b'/live/x',
                (
                    (b'Host', b'shop.example'),
                    (b'Request-Id', request_id.encode()),
                ),
            )
            loop = asyncio.get_running_loop()
            return await self.forwarder.forward(
                route, head, b'q', request_id, loop.time() + limit_s
            )

        @property
        def runs(self):
            return [len(server.runs) for server in self.servers]

    built = Forwarding()
    yield built
    for server in built.servers:
        await server.stop()


class TestAttempts:
    async def test_refused_call_runs_at_another_endpoint(
        self, forwarding_setup
    ):
        first, second = (
            await forwarding_setup.start('a'),
            await forwarding_setup.start('b'),
        )
        first.shed = True
        for number in range(6):
            verdict = await forwarding_setup.forward(
                build_route(idempotent=False), request_id=f'r{number}'
            )
            assert verdict.status == 200
        assert forwarding_setup.runs == [0, 6]
        assert len({run[0] for run in second.runs}) == 6

    async def test_lost_response_is_final_unless_the_call_is_idempotent(
        self, forwarding_setup
    ):
        server = await forwarding_setup.start('a')
        await forwarding_setup.start('b')
        for server in forwarding_setup.servers:
            server.delay_s = 5.0
        verdict = await forwarding_setup.forward(
            build_route(idempotent=False), limit_s=0.3
        )
        assert isinstance(verdict, verdicts.MayHaveRun)
        assert sum(forwarding_setup.runs) == 1

    async def test_slow_idempotent_call_is_hedged(self, forwarding_setup):
        slow, _ = (
            await forwarding_setup.start('a'),
            await forwarding_setup.start('b'),
        )
        slow.delay_s = 5.0
        for number in range(4):
            verdict = await forwarding_setup.forward(
                build_route(), request_id=f'r{number}'
            )
            assert verdict.status == 200

    async def test_attempts_are_limited_by_the_route(self, forwarding_setup):
        for name in 'abcd':
            server = await forwarding_setup.start(name)
            server.fail_next = 9
        verdict = await forwarding_setup.forward(build_route())
        assert verdict.status == 500
        assert sum(forwarding_setup.runs) == 2

    async def test_response_to_another_request_is_not_forwarded(
        self, forwarding_setup, wait_until
    ):
        server = await forwarding_setup.start('a')
        server.trailing_bytes = (
            b'HTTP/1.1 200 OK\r\nRequest-Id: other\r\n'
            b'Server-Stamp: x\r\nContent-Length: 4\r\n\r\nevil'
        )
        for number in range(3):
            verdict = await forwarding_setup.forward(
                build_route(attempts_max=1), request_id=f'r{number}'
            )
            assert not isinstance(verdict, verdicts.Answered) or (
                verdict.body == b'answer to q'
            )

    async def test_call_without_known_endpoints_is_not_run(
        self, forwarding_setup
    ):
        verdict = await forwarding_setup.forward(build_route())
        assert isinstance(verdict, verdicts.NotRun)
        assert verdict.retry_after_s > 0

    async def test_cancelled_call_closes_the_endpoint_connection(
        self, forwarding_setup, wait_until
    ):
        server = await forwarding_setup.start('a')
        server.delay_s = 60
        call = asyncio.create_task(
            forwarding_setup.forward(build_route(), limit_s=30)
        )
        await wait_until(lambda: server.runs)
        call.cancel()
        await wait_until(lambda: server.server.connections == 0)
