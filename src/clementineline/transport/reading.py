"""Reading of requests within limits of size, time and memory."""

import asyncio
import dataclasses
import io

import h11

from clementineline import errors
from clementineline.transport import admission

__all__ = ['Head', 'Refused', 'RequestReader', 'ServerLimits']

# Memory of an open connection with its unread bytes.
CONNECTION_BYTES = 24 * 1024
# Pieces of a body that are read before other requests get their turn. A chunk
# of one byte takes some 10 us.
EVENTS_IN_TURN = 64
# A request that the memory has no room for counts as stalled after this time
# without a byte.
STALL_S = 1.0


@dataclasses.dataclass(slots=True)
class ServerLimits:
    """Limits on the size of requests and on the time to read them.

    :param header_bytes: largest request line and headers, in bytes
    :param body_bytes: largest body, in bytes
    :param header_s: longest time from the first byte of a request to the end
        of its headers, and longest wait for each next piece of its body, in
        seconds
    :param idle_s: longest wait for the first bytes of a request, in seconds
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 32 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Method, target and headers of a request, byte for byte.

    :param headers: pairs of name and value
    """

    method: bytes
    target: bytes
    headers: tuple

    @property
    def path(self):
        """The target without the query string."""
        return self.target.partition(b'?')[0]

    @property
    def query(self):
        """The query string, without the question mark."""
        return self.target.partition(b'?')[2]


class Refused(errors.RequestError):
    """A request that is refused to protect others.

    :param status: HTTP status; 0 to close the connection without a response
    :param reason: one word, for the counter of refusals
    """

    def __init__(self, status, reason, text):
        super().__init__(status, text)
        self.reason = reason


class RequestReader:
    """Reads the requests of one connection, one after the other.

    :param channel: the :class:`~channels.Channel`
    :param protocol: the connection's :class:`h11.Connection`
    :param hold: the :class:`~buffers.Hold` of the connection
    :param entry: the :class:`~admission.Entry` of the connection
    :param get_upload_s: function from a :class:`Head` to the time in which
        the body must be complete, in seconds
    :ivar idle: whether it waits for the first bytes of a request
    """

    __slots__ = (
        '_body',
        '_channel',
        '_entry',
        '_get_upload_s',
        '_head',
        '_hold',
        '_protocol',
        '_received_at',
        '_timeout',
        '_upload_ends_at',
        'idle',
    )

    def __init__(self, channel, protocol, hold, entry, get_upload_s):
        self._channel = channel
        self._entry = entry
        self._get_upload_s = get_upload_s
        self._hold = hold
        self._protocol = protocol
        self._timeout = None
        self.idle = False
        self._reset()

    def _reset(self):
        self._body = io.BytesIO()
        self._head = None
        self._received_at = asyncio.get_running_loop().time()
        self._upload_ends_at = 0.0

    async def read(self, limits):
        """Read the next request.

        The bytes stay in the connection's hold until :meth:`forget`.

        :param limits: the :class:`ServerLimits`
        :returns: ``(head, body)``; None if the connection must be closed
        :raises errors.RequestError: if the request is refused
        """
        self._reset()
        self.forget()
        # Otherwise the age of the connection would count for each request.
        self._hold.restart_age()
        self._hold.end = self._end
        unread = self._protocol.trailing_data[0]
        self.idle = not unread and not self._channel.has_unread
        state = admission.State.IDLE if self.idle else admission.State.READING
        self._entry.set_state(state)
        try:
            return await self._read_events(limits)
        except TimeoutError:
            self._check_ended()
            self._handle_timeout()
        finally:
            self.idle = False
            self._hold.end = None
        return None

    def forget(self):
        """Hold only what belongs to the next request."""
        unread = len(self._protocol.trailing_data[0])
        self._hold.resize(CONNECTION_BYTES + unread)

    async def _read_events(self, limits):
        loop = asyncio.get_running_loop()
        started = loop.time()
        count = 0
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                await self._receive(limits, started)
                if self._entry.state is admission.State.IDLE:
                    started = loop.time()
                    self._entry.set_state(admission.State.READING)
                continue
            if isinstance(event, h11.Request):
                self._begin_body(event, limits, started)
                continue
            if isinstance(event, h11.Data):
                self._body.write(event.data)
                if self._body.tell() > limits.body_bytes:
                    raise errors.RequestError(
                        413, f'body over {limits.body_bytes} bytes'
                    )
                count += 1
                if count % EVENTS_IN_TURN == 0:
                    await self._take_turns()
                continue
            if isinstance(event, h11.EndOfMessage):
                # Not a copy: the body's buffer becomes the bytes, which are
                # freed as soon as the request does not need them.
                body = self._body.getvalue()
                self._body = io.BytesIO()
                return self._head, body
            return None

    async def _take_turns(self):
        await asyncio.sleep(0)
        self._check_ended()
        if asyncio.get_running_loop().time() > self._upload_ends_at:
            raise TimeoutError

    def _begin_body(self, event, limits, started):
        self._head = Head(
            event.method, event.target, tuple(event.headers.raw_items())
        )
        length = _check_framing(self._head)
        if length > limits.body_bytes:
            raise errors.RequestError(
                413, f'body over {limits.body_bytes} bytes'
            )
        self._upload_ends_at = started + self._get_upload_s(self._head)

    async def _receive(self, limits, started):
        protocol = self._protocol
        if protocol.they_are_waiting_for_100_continue:
            self._channel.send(
                protocol.send(
                    h11.InformationalResponse(status_code=100, headers=())
                )
            )
        loop = asyncio.get_running_loop()
        if self.idle:
            ends_at = loop.time() + limits.idle_s
        elif self._head is None:
            ends_at = started + limits.header_s
        else:
            ends_at = min(loop.time() + limits.header_s, self._upload_ends_at)
        try:
            async with asyncio.timeout_at(ends_at) as self._timeout:
                data = await self._channel.receive()
        finally:
            self._timeout = None
        if self.idle:
            self._hold.restart_age()
        self.idle = False
        self._received_at = loop.time()
        protocol.receive_data(data)
        self._hold.resize(CONNECTION_BYTES + self._body.tell() + len(data))
        self._check_ended()

    def _end(self):
        """End the request, as the memory is needed for others."""
        # Frees the memory at once; the task that reads runs later.
        self._body = io.BytesIO()
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(0.0)

    def _check_ended(self):
        if not self._hold.ended:
            return
        if self._head is None:
            raise Refused(0, 'memory', 'memory is short')
        waited_s = asyncio.get_running_loop().time() - self._received_at
        status = 408 if waited_s > STALL_S else 503
        raise Refused(status, 'memory', 'memory is short')

    def _handle_timeout(self):
        if self.idle:
            return
        if self._head is None:
            raise Refused(0, 'slow', 'headers came too slowly')
        raise Refused(408, 'slow', 'request came too slowly')


def _check_framing(head):
    """Return the announced length of the body, 0 if there is none."""
    lengths = set()
    chunked = False
    for key, value in head.headers:
        lower = key.lower()
        if lower == b'content-length':
            lengths.add(value)
        if lower == b'transfer-encoding':
            chunked = True
    if len(lengths) > 1 or (lengths and chunked):
        raise errors.RequestError(
            400, 'ambiguous length: expected one Content-Length or chunks'
        )
    # The parser has checked that it is a number.
    return int(lengths.pop()) if lengths else 0
