"""Statuses of responses, at the clients of the package."""

import asyncio
import types

import aiohttp
import pytest

from clementineline.transport import engine as engines


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


class TestEngineClient:
    async def generate(self, server, session):
        client = engines.EngineClient(f'http://{server.address}', session)
        stream = client.generate('r1', 'completions', b'{}', '', 0)
        with pytest.raises(engines.EngineError) as caught:
            async for _ in stream:
                pass
        return caught.value

    @pytest.mark.parametrize('status', [500, 502, 504])
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
