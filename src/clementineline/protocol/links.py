"""Connection management for sessions: the dialling and the listening side.

The dialling side runs one task for each peer, the listening side one for each
connection. Both sides drop a connection on which nothing arrived for
``silence_s``, and the dialling side opens a new one and resumes the session.
So a connection that a middlebox has lost track of is replaced, and the session
continues.
"""

import asyncio
import contextlib
import dataclasses
import random
import uuid

from clementineline import errors
from clementineline.protocol import codec
from clementineline.protocol import messages
from clementineline.protocol import session as sessions
from clementineline.transport import frames

__all__ = [
    'Dialler',
    'LinkTiming',
    'SessionListener',
    'announce',
    'greet_once',
    'jitter',
]

# Expected incarnation in a Hello that only introduces its sender and opens no
# session.
GREETING_ONLY = -1
ANNOUNCE_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LinkTiming:
    """Intervals and time limits of connections, in seconds.

    :param heartbeat_s: mean interval between heartbeats
    :param silence_s: time without a received frame after which a connection
        is dropped; also the limit for connecting and for the handshake
    :param retain_s: how long a session without a connection is kept
    :param redial_min_s: shortest delay before a reconnection
    :param redial_max_s: longest delay before a reconnection
    :param resume: whether a session is kept when its connection ends
    """

    heartbeat_s: float = 0.8
    silence_s: float = 2.4
    retain_s: float = 20.0
    redial_min_s: float = 0.05
    redial_max_s: float = 2.0
    resume: bool = True


def jitter(mean_s):
    """Return a random duration within 20 % of the mean, in seconds."""
    return mean_s * random.uniform(0.8, 1.2)


async def _send_heartbeats(session, stream, timing):
    """Send heartbeats; abort the connection after a silence."""
    loop = asyncio.get_running_loop()
    while session.stream is stream:
        if loop.time() - session.last_received_at > timing.silence_s:
            stream.abort()
            return
        session.send_heartbeat()
        await asyncio.sleep(jitter(timing.heartbeat_s))


async def _receive_frames(session, stream):
    """Pass received frames to the session until the connection ends."""
    loop = asyncio.get_running_loop()
    while session.stream is stream:
        payload = await stream.receive()
        session.last_received_at = loop.time()
        session.receive(codec.decode_frame(payload))


async def _run_connection(session, stream, timing, log):
    """Serve a session on one connection until the connection ends."""
    session.last_received_at = asyncio.get_running_loop().time()
    heartbeats = asyncio.create_task(_send_heartbeats(session, stream, timing))
    reason = 'replaced by a newer connection'
    try:
        await _receive_frames(session, stream)
    except errors.ProtocolError as error:
        reason = str(error)
        if heartbeats.done():
            reason = f'nothing received for {timing.silence_s} s'
        if not isinstance(error, errors.ConnectionLost):
            stream.send(codec.encode_frame(messages.Goodbye(reason)))
    finally:
        heartbeats.cancel()
        session.detach(stream)
    log.info(
        'connection ended',
        peer=session.peer.name,
        session=session.id,
        reason=reason,
        pending=session.pending,
    )


class Dialler:
    """Keeps a session to one peer connected, in the task of :meth:`run`.

    :param address: the peer's :class:`~frames.Address`
    :param build_member: function that returns this process's Member
    :param events: this process's :class:`~session.SessionEvents`
    :param timing: a :class:`LinkTiming`
    :param log: logger
    """

    __slots__ = (
        '_address',
        '_build_member',
        '_events',
        '_log',
        '_timing',
        'session',
    )

    def __init__(self, address, build_member, events, timing, log):
        self._address = address
        self._build_member = build_member
        self._events = events
        self._timing = timing
        self._log = log
        self.session = None

    async def run(self):
        """Keep the session connected until cancelled."""
        loop = asyncio.get_running_loop()
        wait_s = self._timing.redial_min_s
        lost_at = None
        try:
            while True:
                connected = await self._connect_once()
                now = loop.time()
                if connected:
                    wait_s = self._timing.redial_min_s
                    lost_at = now
                    if not self._timing.resume:
                        self._abandon()
                elif lost_at is None:
                    lost_at = now
                if self.session is not None:
                    if now - lost_at > self._timing.retain_s:
                        self._abandon()
                await asyncio.sleep(jitter(wait_s))
                wait_s = min(wait_s * 2, self._timing.redial_max_s)
        finally:
            self._abandon()

    def _abandon(self):
        if self.session is not None:
            self.session.abandon()
            self.session = None

    async def _connect_once(self):
        """Open a connection and serve the session until it ends.

        :returns: whether the handshake succeeded
        """
        try:
            stream = await frames.open_stream(
                self._address, self._timing.silence_s
            )
        except errors.ConnectionLost:
            return False
        try:
            session = await self._perform_handshake(stream)
            await _run_connection(session, stream, self._timing, self._log)
        except errors.ProtocolError as error:
            self._log.info(
                'handshake failed',
                address=str(self._address),
                reason=str(error),
            )
            return False
        finally:
            await stream.close()
        return True

    async def _perform_handshake(self, stream):
        old = self.session
        hello = messages.Hello(
            old.id if old else uuid.uuid4().hex,
            self._build_member(),
            old.peer.incarnation if old else 0,
            old.received if old else 0,
            self._events.get_configuration_version(),
        )
        stream.send(codec.encode_frame(hello))
        welcome = await self._receive_welcome(stream)
        self._events.on_greeting(welcome.member)
        if old is not None and welcome.resumed:
            old.update_peer_configuration(welcome.configuration)
            old.attach(stream, welcome.received, resumed=True)
            return old
        if old is not None:
            self._abandon()
        session = sessions.Session(
            welcome.session_id, welcome.member, self._events
        )
        self.session = session
        self._events.on_open(session)
        session.update_peer_configuration(welcome.configuration)
        session.attach(stream, welcome.received, resumed=False)
        return session

    async def _receive_welcome(self, stream):
        try:
            async with asyncio.timeout(self._timing.silence_s):
                payload = await stream.receive()
        except TimeoutError as error:
            raise errors.ConnectionLost('no welcome in time') from error
        frame = codec.decode_frame(payload)
        if isinstance(frame, messages.Goodbye):
            raise errors.ConnectionLost(f'peer refused: {frame.reason}')
        if not isinstance(frame, messages.Welcome):
            raise errors.ProtocolError(
                f'{type(frame).__name__}: expected Welcome'
            )
        return frame


class SessionListener:
    """Accepts connections and keeps the sessions of their peers.

    :param build_member: function that returns this process's Member
    :param events: this process's :class:`~session.SessionEvents`
    :param timing: a :class:`LinkTiming`
    :param log: logger
    """

    __slots__ = (
        '_build_member',
        '_events',
        '_expiries',
        '_log',
        '_server',
        '_timing',
        'sessions',
    )

    def __init__(self, build_member, events, timing, log):
        self._build_member = build_member
        self._events = events
        self._timing = timing
        self._log = log
        self._server = None
        self._expiries = {}
        self.sessions = {}

    async def start(self, address):
        """Listen on an :class:`~frames.Address`."""
        self._server = await frames.start_server(address, self._serve)

    async def stop(self):
        """Stop listening, send a Goodbye on each connection and close it."""
        if self._server is not None:
            self._server.close()
        for session in list(self.sessions.values()):
            if session.stream is not None:
                goodbye = messages.Goodbye('the process stops')
                session.stream.send(codec.encode_frame(goodbye))
                await session.stream.close()
        for expiry in self._expiries.values():
            expiry.cancel()

    async def _serve(self, stream):
        try:
            session = await self._perform_handshake(stream)
        except (errors.ProtocolError, TimeoutError) as error:
            self._log.debug('connection refused', reason=str(error))
            with contextlib.suppress(OSError):
                goodbye = messages.Goodbye(str(error))
                stream.send(codec.encode_frame(goodbye))
            return
        try:
            await _run_connection(session, stream, self._timing, self._log)
        finally:
            self._start_expiry(session)

    async def _perform_handshake(self, stream):
        async with asyncio.timeout(self._timing.silence_s):
            payload = await stream.receive()
        hello = codec.decode_frame(payload)
        if not isinstance(hello, messages.Hello):
            raise errors.ProtocolError(
                f'{type(hello).__name__}: expected Hello'
            )
        member = self._build_member()
        self._events.on_greeting(hello.member)
        if hello.expected_incarnation == GREETING_ONLY:
            welcome = messages.Welcome('', member, False, 0, 0)
            stream.send(codec.encode_frame(welcome))
            raise errors.ConnectionLost('a greeting only')
        session = self.sessions.get(hello.session_id)
        resumed = (
            session is not None
            and not session.lost
            and hello.expected_incarnation == member.incarnation
        )
        if not resumed:
            if hello.received or session is not None:
                # The peer wants to resume a session whose state is not held
                # here. The session that replaces it gets another id.
                session_id = uuid.uuid4().hex
            else:
                session_id = hello.session_id
            session = sessions.Session(session_id, hello.member, self._events)
            self.sessions[session.id] = session
            self._events.on_open(session)
        self._cancel_expiry(session)
        welcome = messages.Welcome(
            session.id,
            member,
            resumed,
            session.received,
            self._events.get_configuration_version(),
        )
        stream.send(codec.encode_frame(welcome))
        session.update_peer_configuration(hello.configuration)
        session.attach(stream, hello.received if resumed else 0, resumed)
        return session

    def _cancel_expiry(self, session):
        expiry = self._expiries.pop(session.id, None)
        if expiry is not None:
            expiry.cancel()

    def _start_expiry(self, session):
        if session.connected or session.id not in self.sessions:
            return
        self._cancel_expiry(session)
        retain_s = self._timing.retain_s if self._timing.resume else 0.0
        self._expiries[session.id] = asyncio.get_running_loop().call_later(
            retain_s, self._expire, session
        )

    def _expire(self, session):
        self._expiries.pop(session.id, None)
        if session.connected:
            return
        self.sessions.pop(session.id, None)
        session.abandon()


async def greet_once(address, member, timeout_s=2.0):
    """Introduce a process to another one, which can then connect to it.

    :param address: the other process's :class:`~frames.Address`
    :param member: the :class:`messages.Member` of the introduced process
    :param timeout_s: time limit for the connection and for the response, in
        seconds each
    :returns: whether the other process responded
    """
    try:
        stream = await frames.open_stream(address, timeout_s)
    except errors.ConnectionLost:
        return False
    hello = messages.Hello('', member, GREETING_ONLY, 0, 0)
    stream.send(codec.encode_frame(hello))
    try:
        async with asyncio.timeout(timeout_s):
            codec.decode_frame(await stream.receive())
    except (errors.ProtocolError, TimeoutError):
        return False
    finally:
        await stream.close()
    return True


async def announce(seeds, build_member, is_connected):
    """Introduce this process to the seeds in turn while no entry is connected.

    :param seeds: addresses of entries, each ``HOST:PORT``
    :param build_member: function that returns this process's Member
    :param is_connected: function that returns whether an entry is connected
    """
    addresses = [frames.parse_address(seed) for seed in seeds]
    turn = 0
    while addresses:
        if not is_connected():
            address = addresses[turn % len(addresses)]
            turn += 1
            await greet_once(address, build_member())
        await asyncio.sleep(jitter(ANNOUNCE_INTERVAL_S))
