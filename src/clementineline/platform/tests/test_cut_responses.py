"""Endpoints that close their connection in the middle of a response.

Callers and trainers must get nothing that looks like a complete response.
"""

import asyncio

import pytest

HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp\r\n'
    b'Content-Length: 10\r\n\r\n'
)
UNFRAMED_HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp\r\n'
    b'Weight-Versions: 1\r\n\r\n'
)


@pytest.fixture
def gateway(served):
    return served.gateways['gateway-1']


class TestCutHeads:
    async def test_call_never_gets_a_success(self, served, gateway):
        """The head ends after each of its bytes in turn."""
        desk = served.servers['i-desk']
        for length in range(1, len(HEAD)):
            desk.raw_answer = HEAD[:length]
            status, _, _ = await served.call(
                gateway,
                'POST',
                '/live/a',
                ((b'Request-Id', b'r%d' % length), (b'Timeout-Ms', b'800')),
            )
            assert status in (502, 504), HEAD[:length]

    @pytest.mark.parametrize('length', [0, 1, 9])
    async def test_call_gets_no_short_body(self, served, gateway, length):
        served.servers['i-desk'].raw_answer = HEAD + b'x' * length
        status, _, _ = await served.call(
            gateway, 'POST', '/live/a', ((b'Request-Id', b'r1'),)
        )
        assert status in (502, 504)


class TestCutItems:
    """A resumed item gets no event, and no sign that the text is whole."""

    @pytest.mark.parametrize(
        'raw', [UNFRAMED_HEAD, UNFRAMED_HEAD[:-2], UNFRAMED_HEAD[:40]]
    )
    async def test_item_is_not_listed_with_a_part_of_its_text(
        self, served, gateway, raw, wait_until
    ):
        engines = [served.servers[name] for name in ('i-lm0', 'i-lm1')]
        for engine in engines:
            engine.break_after = 2
            engine.raw_resumption = raw
        await served.submit(gateway, 's1', items=2)
        await wait_until(
            lambda: any(
                'last-event-id' in headers
                for engine in engines
                for _, headers, _ in engine.runs
            )
        )
        await asyncio.sleep(0.2)
        status, page = await served.read(gateway, 's1')
        assert status == 200
        for result in page['results']:
            assert result['text'] == 'e1\ne2\ne3'
        for engine in engines:
            engine.raw_resumption = b''
        for result in await served.read_all(gateway, 's1', 2):
            assert result['text'] == 'e1\ne2\ne3'
