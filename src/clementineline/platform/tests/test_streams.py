"""Live streams over the whole path: each event once, as it is made."""

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
    """Serve a stream route at two engines, resumable or not."""
    gateway = served.gateways['gateway-1']

    class Streams:
        def __init__(self):
            self.engines = [served.servers[name] for name in served.servers]
            self.engines.remove(served.servers['i-desk'])

        async def offer(self, resumable=False):
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
            address = frames.parse_address(gateway.settings.http)
            client = await outgoing.connect(address, 1.0)
            named = (HOST, (b'Request-Id', b'q1'), (b'Model', b'm0'))
            head = http.Head(b'POST', b'/stream/a', (*named, *headers))
            client.send_request(head, b'prompt')
            return client

        async def read(self, client):
            """Return the numbers of the events up to the stream's end."""
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
    async def test_event_is_passed_on_before_the_next_is_made(self, streams):
        await streams.offer()
        for engine in streams.engines:
            engine.gap_s = 0.2
        client = await streams.open()
        reply = await client.receive_head()
        assert (b'server-stamp', b'stamp') in list(reply.headers)
        first = await client.receive_data()
        assert first == b'id: 1\ndata: e1\n\n'
        assert sum(engine.made for engine in streams.engines) == 1
        client.close()

    async def test_broken_stream_goes_on_elsewhere(self, streams):
        await streams.offer(resumable=True)
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

    async def test_stream_that_must_not_run_twice_does_not_look_whole(
        self, streams
    ):
        await streams.offer(resumable=False)
        for engine in streams.engines:
            engine.break_after = 2
        client = await streams.open()
        with pytest.raises(errors.ProtocolError):
            await streams.read(client)
        assert len(streams.list_runs()) == 1

    async def test_caller_that_has_events_gets_those_after_them(self, streams):
        await streams.offer(resumable=True)
        client = await streams.open((b'Last-Event-Id', b'1'))
        assert await streams.read(client) == [2, 3]

    async def test_failure_of_the_endpoint_is_passed_on(self, streams):
        await streams.offer()
        for engine in streams.engines:
            engine.fail_next = 1
        client = await streams.open()
        reply = await client.receive_head()
        assert reply.status_code == 500
        assert await client.receive_body(1000) == b'failed'
        assert len(streams.list_runs()) == 1

    async def test_refused_stream_is_offered_elsewhere(self, streams):
        await streams.offer()
        streams.engines[0].shed = True
        client = await streams.open()
        assert await streams.read(client) == [1, 2, 3]
        assert len(streams.list_runs()) == 1


class TestSplitter:
    def test_bytes_of_events_are_not_changed(self):
        splitter = events.EventSplitter()
        sent = b'id: 1\r\ndata: a\r\n\r\n: note\n\nid: 2\ndata: b\n'
        found = splitter.feed(sent[:10]) + splitter.feed(sent[10:])
        assert [number for number, _ in found] == [1, None]
        assert splitter.has_partial
        found += splitter.feed(b'\n')
        assert b''.join(raw for _, raw in found) == sent + b'\n'
        assert not splitter.has_partial
