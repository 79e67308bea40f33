"""End-to-end tests of live streams.

Each event must reach the caller once, before the engine generates the next.
Events may be lost or repeated when another engine resumes a broken stream. A
stream that ends early must not look complete to the caller.
"""

import asyncio
import contextlib

import pytest

from clementineline import errors
from clementineline.platform.tests import standin
from clementineline.transport import events
from clementineline.transport import frames
from clementineline.transport import http
from clementineline.transport import outgoing

HOST = (b'Host', b'shop.example')


@pytest.fixture
async def streams(served, wait_until):
    """Provide calls of a stream route that two engines serve."""
    gateway = served.gateways['gateway-1']

    class Streams:
        def __init__(self):
            self.engines = [served.servers[name] for name in served.servers]
            self.engines.remove(served.servers['i-desk'])

        async def add_route(self, resumable=False):
            """Add the stream route to the manifest."""
            manifest = standin.build_manifest(2)
            manifest['routes'].append(
                {
                    'name': 'r-stream',
                    'host': 'shop.example',
                    'pathPrefix': '/stream/',
                    'kind': 'stream',
                    'timeoutMs': 5000,
                    'targetLatencyMs': 500,
                    'service': 'lm',
                    'maxAttempts': 2,
                    'resumable': resumable,
                }
            )
            served.store.put('config', 'main', manifest)
            await wait_until(lambda: gateway._routes.table.version == 2)

        async def open(self, *headers):
            """Send the request of a stream on a new connection."""
            address = frames.parse_address(gateway.settings.http)
            client = await outgoing.connect(address, 1.0)
            common = (HOST, (b'Request-Id', b'q1'), (b'Model', b'm0'))
            head = http.Head(b'POST', b'/stream/a', (*common, *headers))
            client.send_request(head, b'prompt')
            return client

        async def read(self, client):
            """Return the numbers of all events of the stream."""
            reader = events.EventReader()
            numbers = []
            reply = await client.receive_head()
            assert reply.status_code == 200
            while True:
                data = await client.receive_data()
                if data is None:
                    return numbers
                numbers += [event.number for event in reader.feed(data)]

        def list_runs(self):
            return [run for engine in self.engines for run in engine.runs]

    return Streams()


class TestStreams:
    async def test_event_is_sent_before_the_engine_generates_the_next(
        self, streams
    ):
        await streams.add_route()
        for engine in streams.engines:
            engine.gap_s = 0.2
        client = await streams.open()
        reply = await client.receive_head()
        assert (b'server-stamp', b'stamp') in list(reply.headers)
        first = await client.receive_data()
        assert first == b'id: 1\ndata: e1\n\n'
        assert sum(engine.events_sent for engine in streams.engines) == 1
        client.close()

    async def test_broken_stream_resumes_at_another_engine(self, streams):
        await streams.add_route(resumable=True)
        for engine in streams.engines:
            engine.break_after = 2
        client = await streams.open()
        assert await streams.read(client) == [1, 2, 3]
        second = streams.list_runs()[1]
        assert [run[0] for run in streams.list_runs()] == ['q1', 'q1']
        assert {
            run[1].get('last-event-id') for run in streams.list_runs()
        } == {
            None,
            '2',
        }
        assert second[2] == b'prompt'

    async def test_broken_stream_that_is_not_resumable_does_not_end_normally(
        self, streams
    ):
        await streams.add_route(resumable=False)
        for engine in streams.engines:
            engine.break_after = 2
        client = await streams.open()
        with pytest.raises(errors.ProtocolError):
            await streams.read(client)
        assert len(streams.list_runs()) == 1

    async def test_caller_gets_events_after_its_last_event_id(self, streams):
        await streams.add_route(resumable=True)
        client = await streams.open((b'Last-Event-Id', b'1'))
        assert await streams.read(client) == [2, 3]

    async def test_error_response_of_the_engine_is_forwarded(self, streams):
        await streams.add_route()
        for engine in streams.engines:
            engine.fail_next = 1
        client = await streams.open()
        reply = await client.receive_head()
        assert reply.status_code == 500
        assert await client.receive_body(1000) == b'failed'
        assert len(streams.list_runs()) == 1

    @pytest.mark.parametrize('status', [408, 429, 503])
    async def test_failure_that_looks_like_a_refusal_is_not_forwarded(
        self, streams, status
    ):
        """The engine ran the stream; the status says the contrary."""
        await streams.add_route()
        for engine in streams.engines:
            engine.fail_next = 1
            engine.fail_status = status
        client = await streams.open()
        reply = await client.receive_head()
        assert reply.status_code == 502
        assert len(streams.list_runs()) == 1

    async def test_refused_stream_runs_at_another_engine(self, streams):
        await streams.add_route()
        streams.engines[0].shed = True
        client = await streams.open()
        assert await streams.read(client) == [1, 2, 3]
        assert len(streams.list_runs()) == 1


HEAD = (
    b'HTTP/1.1 %d Status\r\nRequest-Id: %%s\r\nServer-Stamp: s\r\n'
    b'Content-Type: text/event-stream\r\n'
)
UNFRAMED = HEAD % 200 + b'\r\n'
ERROR_TEXT = b'error: the engine has failed'
BODY = b'Content-Length: %d\r\n\r\n' % len(ERROR_TEXT) + ERROR_TEXT


class TestFailedResumption:
    """A stream broke off, and the engine that resumes it fails.

    Nothing of its error may reach the caller, and the stream must not look
    complete.
    """

    @pytest.mark.parametrize(
        'raw',
        [
            HEAD % 500 + BODY,
            HEAD % 422 + BODY,
            HEAD % 503 + b'Not-Executed: 1\r\n' + BODY,
            HEAD % 503 + BODY,
            b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n' + BODY,
            b'HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n' + BODY,
            UNFRAMED + ERROR_TEXT,
            UNFRAMED + ERROR_TEXT + b'\n\n',
            UNFRAMED + b'data: ' + ERROR_TEXT + b'\n\n',
            UNFRAMED + b'event: error\ndata: ' + ERROR_TEXT + b'\n\n',
            UNFRAMED + HEAD % 500 + BODY + b'\r\n\r\n',
            UNFRAMED + b'id: 2\ndata: ' + ERROR_TEXT + b'\n\n',
            UNFRAMED + b'id: 4\ndata: ' + ERROR_TEXT + b'\n\n',
            UNFRAMED,
            HEAD % 200,
            b'',
        ],
    )
    async def test_error_stays_out_of_the_stream(self, streams, raw):
        await streams.add_route(resumable=True)
        for engine in streams.engines:
            engine.events = 5
            engine.break_after = 2
            engine.raw_resumption = raw or b' '
        client = await streams.open()
        received = b''
        with pytest.raises(errors.ProtocolError):
            await client.receive_head()
            while data := await client.receive_data():
                received += data
            pytest.fail(f'the stream ended as if complete: {received!r}')
        assert received == b'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n'

    async def test_error_after_further_events_ends_the_stream(self, streams):
        await streams.add_route(resumable=True)
        for engine in streams.engines:
            engine.events = 5
            engine.break_after = 2
            engine.raw_resumption = (
                UNFRAMED + b'id: 3\ndata: e3\n\n' + HEAD % 500 + BODY
            )
        client = await streams.open()
        with pytest.raises(errors.ProtocolError):
            await streams.read(client)


class TestEndlessBytes:
    """An engine in trouble sends bytes without end instead of events."""

    @pytest.mark.parametrize(
        'repeated',
        [b'400\r\n' + b'x' * 1024 + b'\r\n', b'2\r\n\n\n\r\n', b'0'],
        ids=['event', 'blank lines', 'chunk size'],
    )
    async def test_resumable_stream_moves_to_another_engine(
        self, streams, repeated
    ):
        await streams.add_route(resumable=True)
        bad, good = streams.engines
        bad.endless = (
            b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n|' + repeated
        )
        good.slowness = 4.0
        async with asyncio.timeout(4):
            client = await streams.open()
            assert await streams.read(client) == [1, 2, 3]
        for engine in streams.engines:
            assert engine.endless_closed == len(engine.runs) * bool(
                engine.endless
            )


class TestSplitter:
    def test_event_bytes_are_unchanged(self):
        splitter = events.EventSplitter()
        sent = b'id: 1\r\ndata: a\r\n\r\n: note\n\nid: 2\ndata: b\n'
        found = splitter.feed(sent[:10]) + splitter.feed(sent[10:])
        assert [number for number, _ in found] == [1, None]
        assert splitter.has_partial
        found += splitter.feed(b'\n')
        assert b''.join(raw for _, raw in found) == sent + b'\n'
        assert not splitter.has_partial


class TestExtraResponses:
    async def test_refusal_of_another_request_is_not_believed(self, streams):
        """A stream ran at two engines for a late extra refusal (review/1)."""
        await streams.add_route()
        for engine in streams.engines:
            engine.extra_response = (
                b'HTTP/1.1 503 Busy\r\nRequest-Id: earlier\r\n'
                b'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
            )
            engine.extra_responses = 1
            engine.gap_s = 0.05
        client = await streams.open()
        reply = await client.receive_head()
        client.close()
        assert reply.status_code == 502
        assert sum(len(engine.runs) for engine in streams.engines) == 1


class TestSlowCaller:
    """A caller that does not read must not take endpoints from others."""

    @pytest.mark.parametrize('resumable', [False, True])
    async def test_endpoint_that_cuts_off_gets_no_backoff(
        self, streams, served, wait_until, resumable
    ):
        await streams.add_route(resumable)
        for engine in streams.engines:
            engine.events = 1000
            # Far more than the buffers of both connections hold.
            engine.event_padding = b'x' * 65536
            engine.break_after = 500
        client = await streams.open()
        await wait_until(
            lambda: any(each.break_after is None for each in streams.engines)
        )
        # The next endpoint completes the stream.
        for engine in streams.engines:
            engine.break_after = None
        directory = served.gateways['gateway-1']._directory
        with contextlib.suppress(errors.ProtocolError, TimeoutError):
            async with asyncio.timeout(2.0):
                await streams.read(client)
        client.close()
        assert streams.list_runs()
        for state in directory.endpoints.values():
            assert not state.backoff_until
