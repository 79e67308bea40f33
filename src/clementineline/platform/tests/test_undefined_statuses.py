"""Endpoints in trouble that answer with a status which HTTP does not define.

Guards against such bytes that reach a caller, or that count for something, as
an answer of the endpoint: a client got an answer whose status was 000.
"""

import pytest

from clementineline.coordination import ratelimits
from clementineline import errors
from clementineline.platform.tests import standin

STATUSES = (0, 1, 99, 100, 101, 199, 600, 612, 999)


def build_raw(status):
    """Return a signed response with a status; ``%s`` stands for the id."""
    return (
        b'HTTP/1.1 %03d X\r\nRequest-Id: %%s\r\nServer-Stamp: s\r\n'
        b'Not-Executed: 1\r\nServer-Load: 9,9,9\r\n'
        b'Content-Length: 4\r\n\r\nevil'
    ) % status


@pytest.fixture
async def troubled(served, wait_until):
    """Add routes that may not be repeated to a deployment."""
    manifest = standin.build_manifest(2)
    live = manifest['routes'][0]
    for name, changes in (
        ('order', {'kind': 'unsafe'}),
        ('stream', {'kind': 'stream', 'resumable': False}),
        ('resumable', {'kind': 'stream', 'resumable': True}),
    ):
        route = {**live, 'name': f'r-{name}', 'pathPrefix': f'/{name}/'}
        manifest['routes'].append({**route, **changes})
    served.store.put('config', 'main', manifest)
    for process in (*served.gateways.values(), *served.keepers.values()):
        await wait_until(
            lambda process=process: process._routes.table.version == 2
        )
    return served


@pytest.mark.parametrize('status', STATUSES)
class TestUndefinedStatuses:
    async def call(self, deployment, path):
        """Call a route whose only endpoint is in trouble.

        :returns: ``(status, names of headers, body)``
        """
        status, headers, body = await deployment.call(
            deployment.gateways['gateway-1'],
            'POST',
            path,
            ((b'Request-Id', b'r1'),),
            b'q',
        )
        return status, {name.lower() for name, _ in headers}, body

    @pytest.mark.parametrize(
        'path', ['/live/a', '/order/a', '/stream/a', '/resumable/a']
    )
    async def test_caller_gets_no_answer_of_the_endpoint(
        self, troubled, status, path
    ):
        server = troubled.servers['i-desk']
        server.raw_answer = build_raw(status)
        found, names, body = await self.call(troubled, path)
        assert found == 502
        assert b'server-stamp' not in names
        assert b'evil' not in body
        assert len(server.runs) == 1

    async def test_repeatable_call_is_answered_by_another_endpoint(
        self, troubled, wait_until, status
    ):
        troubled.servers['i-desk'].raw_answer = build_raw(status)
        await troubled.start_server('i-desk2', 'desk')
        known = troubled.gateways['gateway-1']._directory
        await wait_until(lambda: len(known.list_usable('desk')) == 2)
        for _ in range(4):
            found, _, body = await self.call(troubled, '/live/a')
            assert (found, body) == (200, b'answer to q')

    async def test_items_and_reward_calls_use_other_endpoints(
        self, troubled, status
    ):
        bad = [troubled.servers['i-desk'], troubled.servers['i-lm0']]
        for server in bad:
            server.raw_answer = build_raw(status)
        await troubled.start_server('i-desk2', 'desk')
        gateway = troubled.gateways['gateway-1']
        await troubled.submit(gateway, 's1', items=4, scored=True)
        results = await troubled.read_all(gateway, 's1', 4)
        for result in results:
            assert result['state'] == 'completed'
            assert result['text'] == 'e1\ne2\ne3'

    async def test_connection_is_not_used_again(
        self, troubled, monkeypatch, status
    ):
        server = troubled.servers['i-desk']
        server.raw_answer = build_raw(status)
        gateway = troubled.gateways['gateway-1']
        used = []
        acquire = type(gateway._pool).acquire

        async def record(*given, **named):
            used.append(await acquire(*given, **named))
            return used[-1]

        monkeypatch.setattr(type(gateway._pool), 'acquire', record)
        await self.call(troubled, '/order/a')
        assert len(used) == 1
        assert used[0] not in gateway._pool._idle.get('i-desk', [])
        # The load of the response is no load of the endpoint.
        state = gateway._directory.endpoints['i-desk']
        assert state.other_requests == 0
        server.raw_answer = b''
        found, _, body = await self.call(troubled, '/order/a')
        assert (found, body) == (200, b'answer to q')

    async def test_report_is_no_report(self, troubled, monkeypatch, status):
        server = troubled.servers['i-lm0']

        def report(incoming):
            raw = build_raw(status).replace(b'Request-Id: %s\r\n', b'')
            standin.send_raw(incoming, raw)

        monkeypatch.setattr(server, '_report', report)
        keeper = troubled.keepers['keeper-1']
        state = keeper._directory.endpoints['i-lm0']
        client = await keeper._pool.acquire(state, ratelimits.Purpose.REPORT)
        head = keeper._dialect.build_report_call(state.record)
        with pytest.raises(errors.ProtocolError, match='no HTTP response'):
            await keeper._pool.exchange(state, client, head)
