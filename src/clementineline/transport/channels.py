"""A TCP connection whose end and stray bytes are visible at any moment.

The streams of asyncio hide what arrives on an idle connection; a proxy has to
know it before it reuses the connection.
"""

import asyncio

from clementineline import errors
from clementineline.transport import sockets

__all__ = ['Channel', 'open_channel']

# Reading stops while more than this is unread: large bodies are passed on in
# pieces, and small ones fit.
READ_HIGH_BYTES = 256 * 1024


class Channel(asyncio.Protocol):
    """One connection, for either side.

    :param on_connect: called with the channel once it is open, or None
    """

    __slots__ = (
        '_buffer',
        '_drained',
        '_on_connect',
        '_paused',
        '_wakeup',
        'error',
        'finished',
        'lost',
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
        self.finished = False
        self.lost = False
        self.error = None

    def connection_made(self, transport):
        self.transport = transport
        sockets.set_liveness_options(transport)
        if self._on_connect is not None:
            self._on_connect(self)

    def data_received(self, data):
        self._buffer += data
        if len(self._buffer) > READ_HIGH_BYTES and not self._paused:
            self._paused = True
            self.transport.pause_reading()
        self._wakeup.set()

    def eof_received(self):
        self.finished = True
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
        """Whether bytes, or the peer's end, wait to be read."""
        return bool(self._buffer) or self.finished or self.lost

    @property
    def has_unsent(self):
        """Whether bytes are still to be sent."""
        return self.transport.get_write_buffer_size() > 0

    @property
    def is_gone(self):
        """Whether the peer has closed or lost the connection."""
        return self.finished or self.lost

    async def receive(self):
        """Return the next bytes; ``b''`` after the peer's orderly end.

        :raises errors.ConnectionLost: if the connection broke
        """
        while not self._buffer:
            if self.finished:
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

    async def wait_gone(self):
        """Wait until the peer closes or loses the connection."""
        while not self.is_gone:
            self._wakeup.clear()
            await self._wakeup.wait()

    def send(self, data):
        """Queue bytes; nothing happens on a lost connection."""
        if not self.lost:
            self.transport.write(data)

    async def drain(self):
        """Wait until the peer has taken most of what is queued."""
        await self._drained.wait()

    def close(self):
        """Close after what is queued has left."""
        if self.transport is not None:
            self.transport.close()

    def abort(self):
        """Close at once, and drop what is queued."""
        if self.transport is not None:
            self.transport.abort()


async def open_channel(address, timeout_s):
    """Connect to a process.

    :param address: the peer's :class:`~frames.Address`
    :param timeout_s: longest time to wait for the connection, in seconds
    :returns: the :class:`Channel`
    :raises errors.ConnectionLost: if the peer did not accept in time
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, channel = await loop.create_connection(
                Channel, address.host, address.port
            )
    except (OSError, TimeoutError) as error:
        raise errors.ConnectionLost(f'{address}: {error!r}') from error
    return channel
