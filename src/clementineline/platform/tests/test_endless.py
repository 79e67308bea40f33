"""Endpoints in trouble that send bytes without end until the caller closes.

The bytes are no answer. They must cost neither memory nor the time of other
requests, and the connection must be closed.
"""

import asyncio

import pytest

STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n'
    b'Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n'
)
# Bytes before the bar are sent once, those after it again and again.
HEADS = {
    'no line end': b'|x',
    'header lines': b'HTTP/1.1 200 OK\r\n|X-Padding: 1\r\n',
    'informational responses': b'|HTTP/1.1 100 Continue\r\n\r\n',
}
BODIES = {
    'event without end': b'|400\r\n' + b'x' * 1024 + b'\r\n',
    'blank lines': b'|400\r\n' + b'\n' * 1024 + b'\r\n',
    'chunk size without end': b'|0',
    'data lines of one event': (b'c\r\nid: 1\ndata: \r\n|7\r\ndata:x\n\r\n'),
}
# A request waits no longer for an endpoint that sends no event.
CLOSE_BOUND_S = 3.0


async def measure_longest_stall(stopped):
    """Return the longest time for which the event loop did not run."""
    loop = asyncio.get_running_loop()
    longest = 0.0
    while not stopped.is_set():
        before = loop.time()
        await asyncio.sleep(0.01)
        longest = max(longest, loop.time() - before - 0.01)
    return longest


@pytest.mark.parametrize('name', [*HEADS, *BODIES])
class TestItems:
    """One of two engines sends bytes without end to each of its items."""

    async def test_items_complete_on_the_other_engine(
        self, served, wait_until, name
    ):
        bad = served.servers['i-lm0']
        if name in HEADS:
            bad.endless = HEADS[name]
        else:
            # The item that an engine gets first is not known, so the head
            # carries the id that the request brought.
            bad.endless = STREAM_HEAD + BODIES[name]
        stopped = asyncio.Event()
        stalls = asyncio.create_task(measure_longest_stall(stopped))
        gateway = served.gateways['gateway-1']
        await served.submit(gateway, 's1', items=4)
        results = await served.read_all(gateway, 's1', 4)
        stopped.set()
        assert all(result['text'] == 'e1\ne2\ne3' for result in results)
        assert bad.runs
        async with asyncio.timeout(CLOSE_BOUND_S):
            await wait_until(lambda: bad.endless_closed == len(bad.runs))
        # Far below the two seconds after which others count the process as
        # silent.
        assert await stalls < 0.5


@pytest.mark.parametrize('name', [*HEADS, 'body'])
class TestLiveCalls:
    """One of two endpoints of a service sends bytes without end."""

    async def test_call_is_answered_by_the_other_endpoint(
        self, served, wait_until, name
    ):
        bad = served.servers['i-desk']
        await served.start_server('i-desk2', 'desk')
        bad.endless = HEADS.get(name) or STREAM_HEAD + BODIES['blank lines']
        gateway = served.gateways['gateway-1']
        await wait_until(
            lambda: len(gateway._directory.list_usable('desk')) == 2
        )
        for number in range(4):
            status, _, body = await served.call(
                gateway,
                'POST',
                '/live/a',
                ((b'Request-Id', b'r%d' % number),),
                b'q',
            )
            assert (status, body) == (200, b'answer to q')
        async with asyncio.timeout(CLOSE_BOUND_S):
            await wait_until(lambda: bad.endless_closed == len(bad.runs))


class TestMemory:
    """Bodies without end at many requests at once.

    Each was limited, but not all together: the requests of other callers
    ended with the process, which ran out of memory.
    """

    LIMIT_BYTES = 1 << 20

    async def test_bodies_are_limited_together(self, served, wait_until):
        bad = served.servers['i-desk']
        good = await served.start_server('i-desk2', 'desk')
        good.delay_s = 0.1
        bad.endless = STREAM_HEAD + b'|1000\r\n' + b'x' * 0x1000 + b'\r\n'
        gateway = served.gateways['gateway-1']
        await wait_until(
            lambda: len(gateway._directory.list_usable('desk')) == 2
        )
        budget = gateway._pool.budget
        budget.limit_bytes = self.LIMIT_BYTES
        answers = await asyncio.gather(
            *(
                served.call(
                    gateway,
                    'POST',
                    '/live/a',
                    ((b'Request-Id', b'r%d' % number),),
                    b'q' * 1000,
                )
                for number in range(12)
            )
        )
        body = b'answer to ' + b'q' * 1000
        assert {(status, found) for status, _, found in answers} == {
            (200, body)
        }
        assert bad.runs
        assert budget.ended
        assert budget.used_bytes <= self.LIMIT_BYTES
        await wait_until(lambda: bad.endless_closed == len(bad.runs))
        await wait_until(lambda: not budget.used_bytes)

    async def test_text_of_an_item_is_limited(self, served, wait_until):
        """An engine that sends events without end; each is a proper one."""
        bad = served.servers['i-lm0']
        bad.events = 1_000_000
        bad.gap_s = 0.0
        bad.event_padding = b'x' * 8192
        gateway = served.gateways['gateway-1']
        await served.submit(gateway, 's1', items=2)
        results = await served.read_all(gateway, 's1', 2)
        assert {result['text'] for result in results} == {'e1\ne2\ne3'}
        assert bad.runs
