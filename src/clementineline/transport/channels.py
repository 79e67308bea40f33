"""TCP connections that show unread bytes and the peer's close without a read.

Before a proxy reuses an idle connection, it must know whether the peer has
closed it or sent unexpected bytes. The streams of asyncio show neither
without a read.
"""

import asyncio
import collections
import os
import socket

from clementineline import errors
from clementineline.transport import sockets

__all__ = ['Channel', 'listen', 'open_channel']

# Reading pauses while this many bytes are unread. Each stream whose caller
# does not read holds as many.
READ_HIGH_WATER_BYTES = 64 * 1024
# Larger data are written in pieces, since a transport copies what the system
# does not take at once.
SEND_PIECE_BYTES = 64 * 1024
# Reading from an endpoint stops while a caller has not taken this much.
WRITE_HIGH_WATER_BYTES = 32 * 1024
# Time in which a closed connection must have sent its last bytes. A peer that
# does not read would keep its descriptor open for good.
LINGER_S = 15.0
# Time without progress in which the system keeps the connection of a peer
# that reads a long response. A reader that pauses looks like a lost path.
PAUSE_S = 15.0
# Connections that wait to be accepted.
BACKLOG = 1024
# Connections accepted in one iteration of the event loop. They are counted
# only in the next one, so they may be open beyond the bound.
ACCEPT_BATCH = 16
# Bytes are received here and copied at once, so one buffer suffices for all
# connections of the event loop.
_RECEIVE_BUFFER = memoryview(bytearray(128 * 1024))


class Channel(asyncio.BufferedProtocol):
    """A TCP connection of a client or a server.

    :param on_connect: called with the channel once it is open, or None
    :param read_ahead_bytes: most bytes that are received without a read
    :ivar on_lost: called once the connection is closed, or None
    :ivar peer_closed: whether the peer has closed its side in an orderly way
    :ivar lost: whether the connection is closed or broken
    :ivar error: the exception that broke the connection, or None
    """

    __slots__ = (
        '_allows_pauses',
        '_buffer',
        '_closing',
        '_drained',
        '_on_connect',
        '_paused',
        '_queue',
        '_queued_bytes',
        '_read_ahead_bytes',
        '_reading',
        '_wakeup',
        '_writable',
        'error',
        'lost',
        'on_lost',
        'peer_closed',
        'transport',
    )

    def __init__(
        self, on_connect=None, read_ahead_bytes=READ_HIGH_WATER_BYTES
    ):
        self._allows_pauses = False
        self._on_connect = on_connect
        self._buffer = bytearray()
        self._wakeup = asyncio.Event()
        self._drained = asyncio.Event()
        self._drained.set()
        self._paused = False
        # Data that the transport does not have yet.
        self._queue = collections.deque()
        self._queued_bytes = 0
        self._closing = False
        self._read_ahead_bytes = read_ahead_bytes
        # Whether a read waits for bytes.
        self._reading = False
        # Whether the transport takes more bytes.
        self._writable = True
        self.on_lost = None
        self.transport = None
        self.peer_closed = False
        self.lost = False
        self.error = None

    def connection_made(self, transport):
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        sockets.set_liveness_options(transport)
        if self._on_connect is not None:
            self._on_connect(self)

    def get_buffer(self, sizehint):
        if self._reading:
            return _RECEIVE_BUFFER
        left = self._read_ahead_bytes - len(self._buffer)
        return _RECEIVE_BUFFER[: max(left, 1)]

    def buffer_updated(self, count):
        self._buffer += _RECEIVE_BUFFER[:count]
        if len(self._buffer) >= self._read_ahead_bytes and not self._paused:
            self._paused = True
            self.transport.pause_reading()
        self._wakeup.set()

    def eof_received(self):
        self.peer_closed = True
        self._wakeup.set()
        return True

    def connection_lost(self, error):
        self.lost = True
        self.error = error
        self._drop_queue()
        self._wakeup.set()
        self._drained.set()
        if self.on_lost is not None:
            self.on_lost()

    def pause_writing(self):
        self._writable = False
        self._drained.clear()

    def resume_writing(self):
        self._writable = True
        self._write_queue()

    @property
    def has_unread(self):
        """Whether unread bytes or the end of the connection have arrived."""
        return bool(self._buffer) or self.peer_closed or self.lost

    @property
    def unsent_bytes(self):
        """Number of bytes that the system has not taken yet."""
        return self._queued_bytes + self.transport.get_write_buffer_size()

    @property
    def has_unsent(self):
        """Whether queued bytes have not been sent yet."""
        return self.unsent_bytes > 0

    @property
    def is_disconnected(self):
        """Whether the peer has closed, or the connection is lost."""
        return self.peer_closed or self.lost

    async def receive(self):
        """Return the next bytes; ``b''`` after the peer's orderly close.

        :raises errors.ConnectionLost: if the connection is lost
        """
        self._reading = True
        try:
            while not self._buffer:
                if self.peer_closed:
                    return b''
                if self.lost:
                    raise errors.ConnectionLost(
                        f'connection lost: {self.error}'
                    )
                self._wakeup.clear()
                await self._wakeup.wait()
        finally:
            self._reading = False
        data = bytes(self._buffer)
        self._buffer.clear()
        if self._paused:
            self._paused = False
            self.transport.resume_reading()
        return data

    async def wait_disconnected(self):
        """Wait until the peer closes, or the connection is lost."""
        while not self.is_disconnected:
            self._wakeup.clear()
            await self._wakeup.wait()

    def send(self, data):
        """Queue bytes to be sent; do nothing if the connection is lost.

        Large data are not copied, so they must not change.
        """
        if self.lost or self._closing:
            return
        if not self._queue and len(data) <= SEND_PIECE_BYTES:
            self.transport.write(data)
            return
        self._queue.append(memoryview(data))
        self._queued_bytes += len(data)
        self._write_queue()

    def _write_queue(self):
        """Give the transport as much of the queue as it takes."""
        while self._queue and self._writable and not self.lost:
            view = self._queue.popleft()
            if len(view) > SEND_PIECE_BYTES:
                self._queue.appendleft(view[SEND_PIECE_BYTES:])
                view = view[:SEND_PIECE_BYTES]
            self._queued_bytes -= len(view)
            # Calls ``pause_writing`` if the system does not take it all.
            self.transport.write(view)
        if self._queue:
            self._drained.clear()
            return
        if self._writable:
            self._drained.set()
        if self._closing:
            self.transport.close()

    def _drop_queue(self):
        self._queue.clear()
        self._queued_bytes = 0

    def allow_pauses(self, allowed):
        """Set whether the peer may read nothing for some time.

        Otherwise a lost path is noticed soon.
        """
        if allowed is self._allows_pauses or self.transport.is_closing():
            return
        self._allows_pauses = allowed
        timeout_ms = sockets.UNACKNOWLEDGED_TIMEOUT_MS
        if allowed:
            timeout_ms = round(PAUSE_S * 1000)
        sockets.set_unacknowledged_timeout(self.transport, timeout_ms)

    async def drain(self):
        """Wait while too many queued bytes are unsent."""
        await self._drained.wait()

    def close(self):
        """Close the connection after the queued bytes were sent."""
        if self.transport is None or self._closing or self.lost:
            return
        if self.has_unsent:
            loop = asyncio.get_running_loop()
            loop.call_later(LINGER_S, self.abort)
        self._closing = True
        if not self._queue:
            self.transport.close()

    def abort(self):
        """Close the connection at once and drop the queued bytes."""
        self._drop_queue()
        if self.transport is not None:
            self.transport.abort()


async def open_channel(address, timeout_s):
    """Open a TCP connection.

    :param address: the peer's :class:`~frames.Address`
    :param timeout_s: longest time to wait for the connection, in seconds
    :returns: the :class:`Channel`
    :raises errors.ConnectionLost: if it cannot be opened in time
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, channel = await loop.create_connection(
                Channel, address.host, address.port
            )
    except ConnectionRefusedError as error:
        raise errors.NotListening(f'{address}: {error!r}') from error
    except (OSError, TimeoutError) as error:
        raise errors.ConnectionLost(f'{address}: {error!r}') from error
    return channel


async def listen(build_protocol, address):
    """Accept TCP connections.

    :param build_protocol: function that returns the protocol of a connection
    :param address: the :class:`~frames.Address` to listen on
    :returns: the :class:`asyncio.Server`
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        build_protocol, address.host, address.port, backlog=ACCEPT_BATCH
    )
    for listener in server.sockets:
        # asyncio has one parameter for both numbers. Another call of
        # listen() changes the length of the system's queue only.
        with socket.socket(fileno=os.dup(listener.fileno())) as copy:
            copy.listen(BACKLOG)
    return server
