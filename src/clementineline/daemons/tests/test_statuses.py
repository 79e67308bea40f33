"""Status lines that are no answer, at each client of the package.

Guards against a response whose status was 000 and which a caller got as an
answer.
"""

import asyncio
import types

import aiohttp
import pytest

from clementineline.client import trainer as trainers
from clementineline.coordination import work as runners
from clementineline import errors
from clementineline.protocol import messages
from clementineline.state import platform
from clementineline.state import settings
from clementineline.transport import engine as engines
from clementineline.transport import frames
from clementineline.transport import http
from clementineline.transport import outgoing
from clementineline.transport import statuses

UNDEFINED = (0, 1, 99, 600, 612, 999)
# Those that announce another response, which does not follow.
INTERIM = (100, 101, 102, 199)


@pytest.fixture
async def server():
    """Start a server that sends ``raw`` to each request."""
    found = types.SimpleNamespace(raw=b'', requests=0)

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        found.requests += 1
        writer.write(found.raw)
        await writer.drain()
        writer.close()

    def set_status(status, body=b'{}'):
        found.raw = (
            b'HTTP/1.1 %03d X\r\nContent-Type: application/json\r\n'
            b'Connection: close\r\nContent-Length: %d\r\n\r\n%s'
        ) % (status, len(body), body)

    found.set_status = set_status
    started = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = started.sockets[0].getsockname()
    found.address = f'{host}:{port}'
    yield found
    started.close()


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as opened:
        yield opened


class TestDefinedStatuses:
    def test_only_final_statuses_of_http_are_defined(self):
        defined = [
            status for status in range(1000) if statuses.is_defined(status)
        ]
        assert defined == list(range(200, 600))


class TestClient:
    """The client of endpoints, for calls, streams, items, orders, probes."""

    async def receive(self, server):
        client = await outgoing.connect(
            frames.parse_address(server.address), 1.0
        )
        heads = []
        client.on_response = heads.append
        head = http.Head(b'GET', b'/', ((b'Host', b'x'),))
        try:
            client.send_request(head, b'')
            async with asyncio.timeout(2.0):
                reply = await client.receive_head()
                assert heads == [reply]
                return reply
        finally:
            client.close()

    @pytest.mark.parametrize('status', [*UNDEFINED, *INTERIM])
    async def test_undefined_status_is_no_response(self, server, status):
        server.set_status(status)
        with pytest.raises(errors.ProtocolError, match='no HTTP response'):
            await self.receive(server)

    @pytest.mark.parametrize(
        'line', [b'20 X', b'2000 X', b'-01 X', b'2x0 X', b' 200 X', b'']
    )
    async def test_malformed_status_line_is_no_response(self, server, line):
        server.raw = b'HTTP/1.1 ' + line + b'\r\nContent-Length: 0\r\n\r\n'
        with pytest.raises(errors.ProtocolError, match='no HTTP response'):
            await self.receive(server)

    async def test_reason_in_the_error_is_bounded(self, server):
        server.raw = b'HTTP/1.1 700 ' + b'x' * 9000 + b'\r\n\r\n'
        with pytest.raises(errors.ProtocolError) as caught:
            await self.receive(server)
        assert '700' in str(caught.value)
        assert len(str(caught.value)) < 300

    async def test_interim_responses_are_skipped_up_to_a_limit(self, server):
        interim = b'HTTP/1.1 103 Early Hints\r\n\r\n'
        final = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
        server.raw = interim * outgoing.INTERIM_RESPONSES_MAX + final
        assert (await self.receive(server)).status_code == 200
        server.raw = interim + server.raw
        with pytest.raises(errors.ProtocolError, match='interim'):
            await self.receive(server)


class TestEngineClient:
    async def generate(self, server, session):
        client = engines.EngineClient(f'http://{server.address}', session)
        stream = client.generate('r1', 'completions', b'{}', '', 0)
        with pytest.raises(engines.EngineError) as caught:
            async for _ in stream:
                pass
        return caught.value

    @pytest.mark.parametrize('status', [*UNDEFINED, *INTERIM, 500, 502, 504])
    async def test_status_that_refuses_nothing_may_have_run(
        self, server, session, status
    ):
        """The generation may have run, and callers were told that not."""
        server.set_status(status)
        assert (await self.generate(server, session)).sent

    @pytest.mark.parametrize('status', [400, 422, 429, 503])
    async def test_refusal_has_not_run(self, server, session, status):
        server.set_status(status)
        assert not (await self.generate(server, session)).sent


class TestPlatformClient:
    @pytest.mark.parametrize('status', [*UNDEFINED, 101, 302, 500])
    async def test_undefined_status_leaves_the_outcome_open(
        self, server, session, status
    ):
        server.set_status(status)
        client = platform.PlatformClient(
            settings.PlatformSettings(
                url=f'http://{server.address}', calls_per_s=1e6
            ),
            session,
        )
        with pytest.raises(errors.AmbiguousWrite):
            await client._call('PUT', '/v1/objects/a/b', json={})
        with pytest.raises(errors.PlatformUnavailable):
            await client._call('GET', '/v1/vms')


class TestServiceCall:
    """A call that a sidecar makes to its service."""

    async def call(self, server, session):
        runner = runners.AttemptRunner(
            None,
            None,
            None,
            session,
            session,
            f'http://{server.address}',
            call_timeout_s=2.0,
        )
        running = types.SimpleNamespace(
            dispatch=types.SimpleNamespace(id='a1'), sent=False
        )
        work = messages.Call('desk', 'GET', 'x', [], b'', True)
        return await runner.run_call(work, running)

    @pytest.mark.parametrize('status', [*UNDEFINED, *INTERIM])
    async def test_undefined_status_is_no_answer(
        self, server, session, status
    ):
        server.set_status(status)
        done = await self.call(server, session)
        assert done.outcome == 'may-have-run'

    async def test_defined_status_is_an_answer(self, server, session):
        server.set_status(404, b'gone')
        done = await self.call(server, session)
        assert (done.outcome, done.status, done.body) == (
            'answered',
            404,
            b'gone',
        )


class TestTrainerClient:
    @pytest.mark.parametrize('status', UNDEFINED)
    async def test_undefined_status_is_a_failure(
        self, server, monkeypatch, status
    ):
        monkeypatch.setattr(trainers, 'RETRY_MIN_S', 0.01)
        server.set_status(status)
        async with trainers.TrainerClient(
            't', [f'http://{server.address}']
        ) as client:
            call = asyncio.create_task(client._post('pull', {}, 1.0))
            while not client.failures:
                await asyncio.sleep(0.01)
            server.set_status(200, b'done')
            assert await call == b'done'
