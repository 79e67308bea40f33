"""Tests of sessions over TCP connections that break."""

import asyncio

import pytest

from clementineline.protocol import links
from clementineline.protocol import messages
from clementineline.protocol import session as sessions
from clementineline.standins import ports
from clementineline.transport import frames


class Recorder(sessions.SessionEvents):
    """Records the session events of one process."""

    def __init__(self):
        self.received = []
        self.opened = []
        self.lost = []
        self.greeted = []

    def on_greeting(self, member):
        self.greeted.append(member.name)

    def on_open(self, session):
        self.opened.append(session)

    def on_message(self, session, body):
        self.received.append(body.id)

    def on_lost(self, session):
        self.lost.append(session)


class Pair:
    """A listening process and a process that dials it."""

    def __init__(self, build_member, timing, log):
        self.timing = timing
        self.log = log
        self.server_member = build_member('server', incarnation=1)
        self.client_member = build_member('client', role='entry')
        self.server = Recorder()
        self.client = Recorder()
        self.listener = None
        self.dialler = None
        self.task = None
        self.address = None

    async def listen(self, incarnation=1):
        member = messages.Member(
            'server', 'sidecar', incarnation, 1, 'walvis-a', 'a'
        )
        self.listener = links.SessionListener(
            lambda: member, self.server, self.timing, self.log
        )
        if self.address is None:
            self.address = frames.Address('127.0.0.1', _find_free_port())
        await self.listener.start(self.address)

    def dial(self, address):
        self.dialler = links.Dialler(
            address,
            lambda: self.client_member,
            self.client,
            self.timing,
            self.log,
        )
        self.task = asyncio.create_task(self.dialler.run())

    async def stop(self):
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        await self.listener.stop()


def _find_free_port():
    return ports.find_free_ports(1)[0]


@pytest.fixture
async def pair(build_member, fast_timing, log):
    pair = Pair(build_member, fast_timing, log)
    await pair.listen()
    yield pair
    await pair.stop()


class TestLinks:
    """Sessions outlive cut and silent connections, but not a peer's restart.

    Guards against messages that are lost or repeated after a reconnection,
    and against a restarted peer whose old session is resumed without state.
    """

    async def test_messages_are_sent_in_both_directions(
        self, pair, wait_until
    ):
        pair.dial(pair.address)
        await wait_until(lambda: pair.client.opened)
        pair.client.opened[0].send(messages.Cancel('to server', ''))
        await wait_until(lambda: pair.server.received)
        pair.server.opened[0].send(messages.Cancel('to client', ''))
        await wait_until(lambda: pair.client.received)
        assert pair.server.received == ['to server']
        assert pair.client.received == ['to client']

    @pytest.mark.parametrize('failure', ['cut', 'silence'])
    async def test_session_outlives_connection(
        self, pair, start_relay, wait_until, failure
    ):
        relay = await start_relay(pair.address)
        pair.dial(relay.address)
        await wait_until(lambda: pair.client.opened)
        session = pair.client.opened[0]
        await wait_until(lambda: pair.server.opened)
        for number in range(10):
            session.send(messages.Cancel(str(number), ''))
            if number == 4:
                getattr(relay, failure)()
                pair.server.opened[0].send(messages.Cancel('back', ''))
        await wait_until(lambda: len(pair.server.received) == 10)
        await wait_until(lambda: pair.client.received)
        assert pair.server.received == [str(n) for n in range(10)]
        assert pair.client.received == ['back']
        assert relay.connections == 2
        assert session.resumptions == 1
        assert pair.client.lost == []

    async def test_restarted_peer_gets_a_new_session(self, pair, wait_until):
        pair.dial(pair.address)
        await wait_until(lambda: pair.client.opened)
        old = pair.client.opened[0]
        await pair.listener.stop()
        await pair.listen(incarnation=2)
        await wait_until(lambda: len(pair.client.opened) == 2)
        assert pair.client.lost == [old]
        assert pair.client.opened[1].peer.incarnation == 2

    async def test_session_without_resumption_is_lost_with_its_connection(
        self, build_member, log, start_relay, wait_until
    ):
        timing = links.LinkTiming(0.02, 0.2, 5.0, 0.01, 0.02, resume=False)
        pair = Pair(build_member, timing, log)
        await pair.listen()
        relay = await start_relay(pair.address)
        pair.dial(relay.address)
        await wait_until(lambda: pair.client.opened)
        relay.cut()
        await wait_until(lambda: pair.client.lost)
        assert pair.client.lost == [pair.client.opened[0]]
        await pair.stop()

    @pytest.mark.parametrize(
        'payload',
        [b'\xff\xff\xff\xff', b'\x00\x00\x00\x03abc', b'\x00' * 64],
    )
    async def test_malformed_bytes_end_only_their_connection(
        self, pair, wait_until, payload
    ):
        pair.dial(pair.address)
        await wait_until(lambda: pair.client.opened)
        reader, writer = await asyncio.open_connection(
            pair.address.host, pair.address.port
        )
        writer.write(payload)
        received = await reader.read()
        writer.close()
        assert b'bye' in received
        pair.client.opened[0].send(messages.Cancel('still here', ''))
        await wait_until(lambda: pair.server.received)
        assert pair.server.received == ['still here']
        assert pair.client.lost == []

    async def test_greeting_introduces_a_process_without_a_session(
        self, pair, build_member
    ):
        member = build_member('newcomer')
        assert await links.greet_once(pair.address, member)
        assert pair.server.greeted == ['newcomer']
        assert pair.server.opened == []
