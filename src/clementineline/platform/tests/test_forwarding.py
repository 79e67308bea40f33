import asyncio
import types

import pytest

from clementineline.coordination import connections
from clementineline.coordination import crashes
from clementineline.coordination import directory
from clementineline.coordination import endpointchoice
from clementineline.coordination import forwarding
from clementineline.coordination import itemruns
from clementineline.coordination import ratelimits
from clementineline import errors
from clementineline.platform import dialect
from clementineline.platform import endpoints
from clementineline.platform.tests import standin
from clementineline.protocol import verdicts
from clementineline.state import directory as records
from clementineline.state import routes
from clementineline.state import submissions
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
        chosen = endpointchoice.choose_endpoint(states, ['c'], 'walvis-a', 0.0)
        assert chosen.id == 'b'

    def test_endpoint_in_backoff_is_chosen_only_without_others(self):
        state = build_state('a')
        state.backoff_until = 9.0
        other = build_state('b')
        other.in_flight = 40
        choose = endpointchoice.choose_endpoint
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
        assert endpointchoice.choose_service(targets, draw) == service


@pytest.fixture
async def forwarding_setup(log, clock):
    """Provide a forwarder and stand-in endpoints of one service."""

    class Forwarding:
        def __init__(self):
            self.servers = []
            self.endpoint_directory = directory.Directory(
                lambda n, v: v, clock, log
            )
            members = types.SimpleNamespace(addresses={}, keepers=set())
            self.pool = connections.ConnectionPool(
                ratelimits.RateLimits(
                    'gateway-1',
                    False,
                    members,
                    self.endpoint_directory,
                    dialect.WireDialect.read_reply,
                    log,
                ),
                buffers.BufferBudget(1 << 20),
                dialect.WireDialect.read_reply,
            )
            self.forwarder = forwarding.CallForwarder(
                self.endpoint_directory,
                self.pool,
                dialect.WireDialect(),
                'walvis-a',
                crashes.CrashRecord(
                    'gateway-1', members, asyncio.create_task, log
                ),
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

        async def forward(
            self, route, limit_s=0.8, request_id='r1', organisation=None
        ):
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
                route,
                head,
                b'q',
                request_id,
                loop.time() + limit_s,
                organisation=organisation,
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

    async def test_call_that_was_sent_is_not_refused_as_not_run(
        self, forwarding_setup, monkeypatch
    ):
        # An endpoint that ended while it ran a call on a connection idle for
        # long accepted no other one, and the caller got 503.
        monkeypatch.setattr(connections, 'IDLE_TIMEOUT_S', 0.0)
        monkeypatch.setattr(
            connections.ConnectionPool, '_is_fresh', lambda *_: True
        )
        received = []

        async def serve(reader, writer):
            received.append(await reader.readuntil(b'\r\n\r\n'))
            server.close()
            writer.transport.abort()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        state = build_state('a', address=f'{host}:{port}')
        forwarding_setup.endpoint_directory.add(state)
        assert not await forwarding_setup.pool.has_ended(state)
        verdict = await forwarding_setup.forward(build_route())
        assert len(received) == 1
        assert isinstance(verdict, verdicts.MayHaveRun)

    async def test_callers_without_room_return_one_after_the_other(
        self, forwarding_setup
    ):
        # Guards against refused callers that all return after 0.1 s, and
        # against other delays where organisations are not in force.
        server = await forwarding_setup.start('a')
        server.delay_s = 0.3
        await forwarding_setup.forward(build_route(), organisation='o')
        server.shed = True
        delays = []
        for _ in range(4):
            verdict = await forwarding_setup.forward(
                build_route(), limit_s=6.0, organisation='o'
            )
            assert verdict.no_room
            delays.append(verdict.retry_after_s)
        for first, second in zip(delays, delays[2:]):
            assert second > first + 0.2
        assert max(delays) <= 2.0
        verdict = await forwarding_setup.forward(build_route(), limit_s=6.0)
        assert verdict.retry_after_s == 0.1

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


async def run_item(setup):
    """Run an item at the endpoint ``a``.

    :returns: as :func:`itemruns.run_item`
    """
    item = submissions.Item('i1', '/batch/1', (), b'', 1, 'g')
    submission = submissions.Submission(
        's1', 'r', 'lm', 'shop.example', '', 0, 1, 0, 0.0, (item,)
    )
    return await itemruns.run_item(
        submission,
        itemruns.ItemRun(item),
        setup.endpoint_directory.endpoints['a'],
        setup.pool,
        dialect.WireDialect(),
    )


class TestFailuresThatLookLikeRefusals:
    """An endpoint fails requests that it ran with a status of refusals.

    Guards against a caller who sends an order again because the status
    promised that it had not run (review/6).
    """

    async def start(self, setup, status):
        for name in 'ab':
            server = await setup.start(name)
            server.fail_next = 9
            server.fail_status = status

    @pytest.mark.parametrize('status', [408, 429, 503])
    async def test_call_that_may_not_be_repeated(
        self, forwarding_setup, status
    ):
        await self.start(forwarding_setup, status)
        verdict = await forwarding_setup.forward(build_route(idempotent=False))
        assert isinstance(verdict, verdicts.MayHaveRun)
        assert str(status) in verdict.reason
        assert sum(forwarding_setup.runs) == 1

    async def test_endpoint_that_answers_has_outlived_the_request(
        self, forwarding_setup
    ):
        """The verdict is not that of an answer, and the mark stayed."""
        await self.start(forwarding_setup, 503)
        record = forwarding_setup.forwarder._crash_record
        record.note(
            http.Head(b'POST', b'/live/x', ((b'Host', b'shop.example'),)),
            b'q',
            'r0',
            build_state('c'),
            0.0,
        )
        assert len(record) == 1
        await forwarding_setup.forward(build_route(idempotent=False))
        assert not len(record)

    @pytest.mark.parametrize('status', [408, 429, 503])
    async def test_call_that_may_be_repeated(self, forwarding_setup, status):
        await self.start(forwarding_setup, status)
        verdict = await forwarding_setup.forward(build_route())
        assert verdict.status == status

    @pytest.mark.parametrize('status', [408, 429, 503])
    async def test_item_is_no_refused_one(self, forwarding_setup, status):
        """A refusal costs the endpoint nothing, a failure does."""
        await self.start(forwarding_setup, status)
        end, _ = await run_item(forwarding_setup)
        assert end is itemruns.RunEnd.BROKEN

    @pytest.mark.parametrize('status', [408, 429, 503])
    async def test_caller_gets_no_status_and_signature_of_the_endpoint(
        self, served, wait_until, status
    ):
        manifest = standin.build_manifest(2)
        manifest['routes'].append(
            {
                **manifest['routes'][0],
                'name': 'r-order',
                'pathPrefix': '/order/',
                'kind': 'unsafe',
            }
        )
        served.store.put('config', 'main', manifest)
        gateway = served.gateways['gateway-1']
        await wait_until(lambda: gateway._routes.table.version == 2)
        server = served.servers['i-desk']
        server.fail_next = 1
        server.fail_status = status
        found, headers, _ = await served.call(
            gateway, 'POST', '/order/1', ((b'Request-Id', b'r1'),), b'q'
        )
        assert found == 502
        assert b'server-stamp' not in {name.lower() for name, _ in headers}
        assert [run[0] for run in server.runs] == ['r1']


EXTRA_RESPONSES = {
    'refused': b'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n',
    'another endpoint': b'HTTP/1.1 421 Misdirected\r\n',
    'limited': b'HTTP/1.1 429 Limited\r\nNot-Executed: 1\r\n',
    'answered': b'HTTP/1.1 200 OK\r\nServer-Stamp: x\r\n',
    'accepted': b'HTTP/1.1 202 Accepted\r\n',
}
EXTRA_END = b'Request-Id: earlier\r\nContent-Length: 0\r\n\r\n'


@pytest.mark.parametrize('name', EXTRA_RESPONSES)
class TestExtraResponses:
    """A response that comes a second time, late, bears another id.

    It was taken for the response to the next request on its connection, which
    then ran at a second endpoint too, or was answered "not run" (review/1).
    """

    async def start(self, setup, name):
        for endpoint in 'ab':
            server = await setup.start(endpoint)
            server.extra_response = EXTRA_RESPONSES[name] + EXTRA_END
            server.extra_responses = 1
            server.delay_s = 0.05

    async def test_call_that_may_not_be_repeated_runs_once(
        self, forwarding_setup, name, wait_until
    ):
        await self.start(forwarding_setup, name)
        verdict = await forwarding_setup.forward(build_route(idempotent=False))
        assert isinstance(verdict, verdicts.MayHaveRun)
        assert sum(forwarding_setup.runs) == 1
        assert not any(forwarding_setup.pool._idle.values())

    async def test_call_that_may_be_repeated_is_answered_by_another_endpoint(
        self, forwarding_setup, name
    ):
        await self.start(forwarding_setup, name)
        forwarding_setup.servers[0].extra_responses = 0
        for number in range(3):
            verdict = await forwarding_setup.forward(
                build_route(), request_id=f'r{number}'
            )
            assert verdict.body == b'answer to q'

    async def test_item_does_not_count_as_refused_or_failed(
        self, forwarding_setup, name
    ):
        await self.start(forwarding_setup, name)
        end, reason = await run_item(forwarding_setup)
        assert (end, reason) == (
            itemruns.RunEnd.BROKEN,
            "response to 'earlier'",
        )
        assert not any(forwarding_setup.pool._idle.values())

    async def test_report_and_order_get_no_response_of_a_request(
        self, forwarding_setup, name
    ):
        await self.start(forwarding_setup, name)
        pool = forwarding_setup.pool
        state = forwarding_setup.endpoint_directory.endpoints['a']
        client = await pool.acquire(state, ratelimits.Purpose.REPORT)
        head = endpoints.build_report_call(state.record)
        with pytest.raises(errors.ProtocolError, match='earlier'):
            await pool.exchange(state, client, head)
        assert not any(pool._idle.values())
