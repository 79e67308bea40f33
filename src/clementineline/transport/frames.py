"""Length-prefixed frames over TCP streams.

A frame is a four-byte big-endian length followed by a payload of that length.
Frames that are sent in the same event loop iteration are written in one
system call.
"""

import asyncio
import collections
import contextlib
import dataclasses
import struct

from clementineline import errors
from clementineline.transport import channels
from clementineline.transport import sockets

__all__ = [
    'MAX_FRAME_BYTES',
    'Address',
    'FrameStream',
    'accepts_connections',
    'open_stream',
    'parse_address',
    'start_server',
]

MAX_FRAME_BYTES = 8 * 1024 * 1024
READ_BYTES = 256 * 1024
CLOSE_TIMEOUT_S = 1.0
# Longest time from the first bytes of a frame to its end. Other processes send
# the largest frames within a second.
FRAME_TIMEOUT_S = 15.0
_HEADER = struct.Struct('>I')


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """A TCP address: an IP address and a port."""

    host: str
    port: int

    def __str__(self):
        return f'{self.host}:{self.port}'


def parse_address(text):
    """Parse ``HOST:PORT``.

    :param text: an IP address and a port, joined by a colon
    :returns: the :class:`Address`
    :raises errors.SettingsError: if the text is not of that form
    """
    host, colon, port = text.rpartition(':')
    # An integer of thousands of digits cannot be converted.
    digits = port.isascii() and port.isdigit() and len(port) < 9
    if not colon or not host or not digits:
        raise errors.SettingsError(
            f'address {text!r}: expected HOST:PORT, such as 127.0.0.1:7100'
        )
    if not 0 < int(port) < 65536:
        raise errors.SettingsError(
            f'address {text!r}: expected a port from 1 to 65535'
        )
    return Address(host.strip('[]'), int(port))


async def accepts_connections(address, timeout_s):
    """Return whether a process accepts connections at an address.

    :param address: ``HOST:PORT``; False if it is malformed
    :param timeout_s: longest time to wait for the connection, in seconds
    """
    try:
        channel = await channels.open_channel(
            parse_address(address), timeout_s
        )
    except (errors.ConnectionLost, errors.SettingsError):
        return False
    channel.close()
    return True


class FrameStream:
    """A TCP connection that carries frames.

    :param reader: the connection's stream reader
    :param writer: the connection's stream writer
    :param max_bytes: largest frame accepted from the peer, in bytes
    :ivar entry: the :class:`~admission.Entry` of the connection, or None
    :ivar hold: the :class:`~buffers.Hold` of the bytes of unfinished frames,
        or None
    """

    __slots__ = (
        '_buffer',
        '_flush_handle',
        '_frames',
        '_loop',
        '_partial',
        '_reader',
        '_writer',
        'bytes_in',
        'bytes_out',
        'entry',
        'hold',
        'max_bytes',
    )

    def __init__(self, reader, writer, max_bytes=MAX_FRAME_BYTES):
        self._reader = reader
        self._writer = writer
        if writer.transport is not None:
            sockets.set_liveness_options(writer.transport)
        self._loop = asyncio.get_running_loop()
        self._buffer = []
        self._flush_handle = None
        self._frames = collections.deque()
        self._partial = bytearray()
        self.entry = None
        self.hold = None
        self.max_bytes = max_bytes
        self.bytes_in = 0
        self.bytes_out = 0

    async def receive(self):
        """Return the next frame's payload.

        :raises errors.ConnectionLost: if the connection ended
        :raises errors.FrameTooLarge: if a frame is over ``max_bytes``
        """
        ends_at = None
        while not self._frames:
            if self._partial and ends_at is None and self.hold is not None:
                ends_at = self._loop.time() + FRAME_TIMEOUT_S
            try:
                async with asyncio.timeout_at(ends_at):
                    data = await self._reader.read(READ_BYTES)
            except (OSError, TimeoutError) as error:
                raise errors.ConnectionLost(repr(error)) from error
            if not data:
                raise errors.ConnectionLost('the peer closed the connection')
            self.bytes_in += len(data)
            self._partial += data
            self._split_frames()
            self._count_held()
        return self._frames.popleft()

    def _count_held(self):
        if self.entry is not None and self._frames:
            # Tells a connection in use from one that is only open.
            self.entry.set_state(self.entry.state)
        if self.hold is None:
            return
        if not self.hold.resize(len(self._partial)):
            raise errors.ConnectionLost('memory is short')

    def _split_frames(self):
        partial = self._partial
        start = 0
        while len(partial) - start >= _HEADER.size:
            (length,) = _HEADER.unpack_from(partial, start)
            if length > self.max_bytes:
                raise errors.FrameTooLarge(
                    f'frame of {length} bytes: expected at most '
                    f'{self.max_bytes}'
                )
            end = start + _HEADER.size + length
            if end > len(partial):
                break
            self._frames.append(bytes(partial[start + _HEADER.size : end]))
            start = end
        if start:
            del partial[:start]

    def send(self, payload):
        """Queue a frame; it is written in the next event loop iteration."""
        self._buffer.append(_HEADER.pack(len(payload)))
        self._buffer.append(payload)
        if self._flush_handle is None:
            self._flush_handle = self._loop.call_soon(self._flush)

    def _flush(self):
        self._flush_handle = None
        data = b''.join(self._buffer)
        self._buffer.clear()
        if self._writer.is_closing():
            return
        self.bytes_out += len(data)
        self._writer.write(data)

    async def close(self):
        """Flush and close the connection; raise nothing if it is broken."""
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush()
        self._writer.close()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._writer.wait_closed()

    def drop(self):
        """Close the connection at once and free the unfinished frame."""
        self._partial = bytearray()
        self.abort()

    def abort(self):
        """Close the connection at once and drop the buffered frames."""
        transport = self._writer.transport
        if transport is not None:
            transport.abort()


async def open_stream(address, timeout_s):
    """Open a connection for frames.

    :param address: the peer's :class:`Address`
    :param timeout_s: longest time to wait for the connection, in seconds
    :returns: the :class:`FrameStream`
    :raises errors.ConnectionLost: if it cannot be opened in time
    """
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
    except (OSError, TimeoutError) as error:
        raise errors.ConnectionLost(f'{address}: {error!r}') from error
    return FrameStream(reader, writer)


async def start_server(address, serve_stream, budget=None, table=None):
    """Accept connections and serve each in a task of its own.

    :param address: the :class:`Address` to listen on
    :param serve_stream: coroutine function called with each
        :class:`FrameStream`
    :param budget: the :class:`~buffers.BufferBudget` of unfinished frames, or
        None
    :param table: the :class:`~admission.ConnectionTable` of the port, or None
    :returns: the :class:`asyncio.Server`
    """

    async def accept(reader, writer):
        stream = FrameStream(reader, writer)
        peer = writer.get_extra_info('peername')
        if table is not None:
            host = peer[0] if peer else ''
            stream.entry = table.add(host, stream.abort)
            if stream.entry is None:
                stream.abort()
                return
        if budget is not None:
            stream.hold = budget.open(stream.drop)
        try:
            await serve_stream(stream)
        finally:
            if stream.hold is not None:
                stream.hold.release()
            await stream.close()
            if table is not None:
                table.remove(stream.entry)

    def build_protocol():
        reader = asyncio.StreamReader()
        return asyncio.StreamReaderProtocol(reader, accept)

    return await channels.listen(build_protocol, address)
