"""TCP connections that show unread bytes and the peer's close without a read.

Before a proxy reuses an idle connection, it must know whether the peer has
closed it or sent unexpected bytes. The streams of asyncio show neither
without a read.
"""

import asyncio

from clementineline import errors
from clementineline.transport import sockets

__all__ = ['Channel', 'open_channel']

# Reading pauses while more bytes than this are unread. Small bodies fit;
# larger ones are forwarded in pieces.
READ_HIGH_WATER_BYTES = 256 * 1024


class Channel(asyncio.Protocol):
    """A TCP connection of a client or a server.

    :param on_connect: called with the channel once it is open, or None
    :ivar peer_closed: whether the peer has closed its side in an orderly way
    :ivar lost: whether the connection is closed or broken
    :ivar error: the exception that broke the connection, or None
    """

    __slots__ = (
        '_buffer',
        '_drained',
        '_on_connect',
        '_paused',
        '_wakeup',
        'error',
        'lost',
        'peer_closed',
        'transport',
    )

    def __init__(self, on_connect=None):
        self._on_connect = on_connect
        self._buffer = bytearray()
        self._wakeup = asyncio.Event()
        self._drained = asyncio.Event()
        self._drained.set()
        self._paused = False
        self.transport = None
        self.peer_closed = False
        self.lost = False
        self.error = None

    def connection_made(self, transport):
        self.transport = transport
        sockets.set_liveness_options(transport)
        if self._on_connect is not None:
            self._on_connect(self)

    def data_received(self, data):
        self._buffer += data
        if len(self._buffer) > READ_HIGH_WATER_BYTES and not self._paused:
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
        self._wakeup.set()
        self._drained.set()

    def pause_writing(self):
        self._drained.clear()

    def resume_writing(self):
        self._drained.set()

    @property
    def has_unread(self):
        """Whether unread bytes or the end of the connection have arrived."""
        return bool(self._buffer) or self.peer_closed or self.lost

    @property
    def has_unsent(self):
        """Whether queued bytes have not been sent yet."""
        return self.transport.get_write_buffer_size() > 0

    @property
    def is_disconnected(self):
        """Whether the peer has closed, or the connection is lost."""
        return self.peer_closed or self.lost

    async def receive(self):
        """Return the next bytes; ``b''`` after the peer's orderly close.

        :raises errors.ConnectionLost: if the connection is lost
        """
        while not self._buffer:
            if self.peer_closed:
                return b''
            if self.lost:
                raise errors.ConnectionLost(f'connection lost: {self.error}')
            self._wakeup.clear()
            await self._wakeup.wait()
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
        """Queue bytes to be sent; do nothing if the connection is lost."""
        if not self.lost:
            self.transport.write(data)

    async def drain(self):
        """Wait while too many queued bytes are unsent."""
        await self._drained.wait()

    def close(self):
        """Close the connection after the queued bytes were sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self):
        """Close the connection at once and drop the queued bytes."""
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
