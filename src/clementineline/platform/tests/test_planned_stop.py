"""A gateway that stops answers each request that it has read.

A request that can't be answered before the end is refused before an endpoint
gets it, and one that runs for too long ends with a status, not with a closed
connection.
"""

import asyncio

import pytest

from clementineline.platform.tests import standin
from clementineline.transport import frames
from clementineline.transport import http
from clementineline.transport import outgoing

# The gateways of these tests stop 3.4 s after the signal.
GRACE_S = 4.2
LATE_S = 3.0


class Caller:
    """Sends requests on one connection that it keeps open."""

    def __init__(self, client):
        self._client = client

    def send(self, request_id, path='/order/a'):
        head = http.Head(
            b'POST',
            path.encode(),
            (
                (b'Host', b'shop.example'),
                (b'Request-Id', request_id.encode()),
                (b'Timeout-Ms', b'5000'),
            ),
        )
        self._client.send_request(head, b'lookup')

    async def receive(self):
        """Return the response's status and headers."""
        reply = await self._client.receive_head()
        await self._client.receive_body(1 << 20)
        return reply.status_code, dict(reply.headers)


@pytest.fixture
async def stopping(served, wait_until):
    """Provide a gateway whose callers wait for up to five seconds."""
    manifest = standin.build_manifest(2)
    for name, kind in (('order', 'unsafe'), ('query', 'safe')):
        manifest['routes'].append(
            {
                'name': f'r-{name}',
                'host': 'shop.example',
                'pathPrefix': f'/{name}/',
                'kind': kind,
                'timeoutMs': 5000,
                'targetLatencyMs': 4000,
                'priority': 2,
                'service': 'desk',
                'maxAttempts': 2,
            }
        )
    served.store.put('config', 'main', manifest)
    gateway = served.gateways['gateway-1']
    await wait_until(lambda: gateway._routes.table.version == 2)
    assert gateway._settings.grace_s == GRACE_S

    class Stopping:
        desk = served.servers['i-desk']

        async def connect(self):
            address = frames.parse_address(gateway._settings.http)
            return Caller(await outgoing.connect(address, 1.0))

        def stop(self):
            return asyncio.create_task(self._stop())

        async def _stop(self):
            await gateway.stop()
            # The end of the process closes its connections.
            for task in list(gateway._server._tasks):
                task.cancel()

    return Stopping()


class TestRequestsWhileStopping:
    async def test_late_request_is_refused_before_it_is_sent(self, stopping):
        stopping.desk.delay_s = 2.0
        caller = await stopping.connect()
        stopped = stopping.stop()
        await asyncio.sleep(LATE_S)
        caller.send('r1')
        status, headers = await caller.receive()
        assert status == 503
        assert float(headers[b'retry-after']) >= 0
        await stopped
        assert not stopping.desk.runs

    @pytest.mark.parametrize('path', ['/order/a', '/query/a'])
    async def test_request_before_the_signal_ends_with_a_status(
        self, stopping, path
    ):
        stopping.desk.delay_s = 4.5
        caller = await stopping.connect()
        caller.send('r1', path)
        await asyncio.sleep(0.1)
        stopped = stopping.stop()
        status, _ = await caller.receive()
        assert status in (502, 504)
        await stopped

    async def test_repeatable_request_is_served_while_there_is_time(
        self, stopping
    ):
        stopping.desk.delay_s = 0.5
        caller = await stopping.connect()
        stopped = stopping.stop()
        await asyncio.sleep(1.0)
        caller.send('r1', '/query/a')
        assert (await caller.receive())[0] == 200
        await stopped

    async def test_request_that_may_outlast_the_stop_is_not_run_twice(
        self, stopping
    ):
        """A refusal is true; a call that may not be repeated is not cut."""
        stopping.desk.delay_s = 4.5
        caller = await stopping.connect()
        stopped = stopping.stop()
        await asyncio.sleep(0.5)
        caller.send('r1', '/order/a')
        status, _ = await caller.receive()
        assert status == 503
        await stopped
        assert not stopping.desk.runs
