"""HTTP/1.1 to the byte, for what is passed on between callers and endpoints.

uvicorn and aiohttp normalise paths, headers and endings; a proxy must pass
them on as they are and must know how a connection ended. h11 is their nearest
kin that leaves both to its user.
"""

import asyncio
import dataclasses

import h11

from clementineline import errors
from clementineline.transport import channels

__all__ = [
    'Head',
    'IncomingRequest',
    'Response',
    'Server',
    'ServerLimits',
    'find_header',
    'strip_connection_headers',
]

_CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
_REASONS = {
    200: b'OK',
    202: b'Accepted',
    400: b'Bad Request',
    404: b'Not Found',
    405: b'Method Not Allowed',
    408: b'Request Timeout',
    413: b'Content Too Large',
    421: b'Misdirected Request',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


@dataclasses.dataclass(slots=True)
class ServerLimits:
    """What callers may send, and how long they may take.

    :param header_bytes: largest request line and headers
    :param body_bytes: largest body
    :param header_s: longest time from the first byte to the whole request
    :param idle_s: how long an idle connection is kept
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 32 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Start of a request: its line and headers, byte for byte."""

    method: bytes
    target: bytes
    headers: tuple

    @property
    def path(self):
        """The target without its query."""
        return self.target.partition(b'?')[0]

    @property
    def query(self):
        """What stands behind the question mark."""
        return self.target.partition(b'?')[2]


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response that arrived whole."""

    status: int
    headers: tuple
    body: bytes


def find_header(headers, name):
    """Return the value of the first header of a lower-case name, or None."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def strip_connection_headers(headers):
    """Drop the headers that concern one connection only.

    :param headers: pairs of bytes
    :returns: list of pairs
    """
    named = set()
    for key, value in headers:
        if key.lower() == b'connection':
            for word in value.split(b','):
                named.add(word.strip().lower())
    kept = []
    for key, value in headers:
        lower = key.lower()
        if lower in _CONNECTION_HEADERS or lower in named:
            continue
        kept.append((key, value))
    return kept


class IncomingRequest:
    """A request that was read whole, and the way to answer it.

    :param head: its :class:`Head`
    :param body: its body
    :param channel: the caller's connection
    :param protocol: the connection's :class:`h11.Connection`
    :param arrived_at: loop time at which its last byte was read, in seconds
    :ivar aborted: whether its answer was broken off
    :ivar request_id: what the caller names it by, once that was read
    """

    __slots__ = (
        '_channel',
        '_protocol',
        '_server',
        'aborted',
        'arrived_at',
        'body',
        'head',
        'request_id',
        'response_started',
    )

    def __init__(self, head, body, channel, protocol, server, arrived_at):
        self.head = head
        self.body = body
        self.arrived_at = arrived_at
        self.response_started = False
        self.aborted = False
        self.request_id = ''
        self._channel = channel
        self._protocol = protocol
        self._server = server

    @property
    def is_abandoned(self):
        """Whether the caller has closed its connection."""
        return self._channel.is_gone

    def respond(self, status, headers=(), body=b''):
        """Send the whole answer.

        :param status: HTTP status
        :param headers: pairs of bytes, without those of the connection
        :param body: whole body
        """
        if self.response_started or self._channel.lost:
            return
        self.response_started = True
        protocol = self._protocol
        data = self._build_head(
            status, headers, [(b'Content-Length', b'%d' % len(body))]
        )
        if body and self.head.method != b'HEAD':
            data += protocol.send(h11.Data(data=body))
        if self.head.method == b'HEAD':
            self._channel.send(data)
            self._channel.close()
            return
        data += protocol.send(h11.EndOfMessage())
        self._channel.send(data)

    def start_response(self, status, headers):
        """Send the start of an answer whose body follows in pieces."""
        if self.response_started or self._channel.lost:
            return
        self.response_started = True
        self._channel.send(self._build_head(status, headers))

    def _build_head(self, status, headers, framing=()):
        """Return the bytes of the start of the answer."""
        fields = []
        for key, value in headers:
            if key.lower() != b'content-length':
                fields.append((key, value))
        fields.extend(framing)
        if self._server.draining:
            fields.append((b'Connection', b'close'))
        return self._protocol.send(
            h11.Response(
                status_code=status,
                headers=fields,
                reason=_REASONS.get(status, b'Status'),
            )
        )

    def send(self, data):
        """Send a piece of the body."""
        self._channel.send(self._protocol.send(h11.Data(data=data)))

    async def drain(self):
        """Wait until the caller has taken most of what was sent."""
        await self._channel.drain()

    def finish(self):
        """End the body: the answer is whole."""
        self._channel.send(self._protocol.send(h11.EndOfMessage()))

    def abort(self):
        """End the connection, so that the answer does not look whole."""
        self.aborted = True
        if self._protocol.their_http_version == b'1.1':
            # The last chunk is missing.
            self._channel.close()
        else:
            self._channel.abort()


class Server:
    """Accepts callers' connections, one task for each.

    :param handle: coroutine function called with each :class:`IncomingRequest`;
        it is cancelled when the caller leaves
    :param limits: a :class:`ServerLimits`, may be replaced at any time
    :param log: logger
    """

    __slots__ = (
        '_handle',
        '_log',
        '_server',
        '_tasks',
        'draining',
        'idle_channels',
        'limits',
    )

    def __init__(self, handle, limits, log):
        self._handle = handle
        self._log = log
        self._server = None
        self._tasks = set()
        self.idle_channels = set()
        self.limits = limits
        self.draining = False

    async def start(self, address):
        """Listen on an :class:`~frames.Address`."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: channels.Channel(self._accept),
            address.host,
            address.port,
            backlog=1024,
        )

    def _accept(self, channel):
        task = asyncio.create_task(self._serve(channel))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def connections(self):
        """How many connections are open."""
        return len(self._tasks)

    async def drain(self, timeout_s):
        """Let running requests end; idle connections are closed.

        :param timeout_s: longest time to wait, in seconds
        """
        self.draining = True
        for channel in list(self.idle_channels):
            channel.close()
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=timeout_s)

    def stop(self):
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, channel):
        try:
            await self._serve_requests(channel)
        except errors.ConnectionLost:
            pass
        except Exception as error:
            self._log.error('connection failed', exc_info=error)
        finally:
            channel.close()

    async def _serve_requests(self, channel):
        limits = self.limits
        protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        while True:
            incoming = await self._read_request(channel, protocol)
            if incoming is None:
                return
            await self._run_handler(channel, incoming)
            if (
                not incoming.response_started
                or incoming.aborted
                or channel.is_gone
            ):
                return
            await channel.drain()
            if protocol.our_state is h11.MUST_CLOSE or self.draining:
                return
            if protocol.their_state is not h11.DONE:
                return
            protocol.start_next_cycle()

    async def _run_handler(self, channel, incoming):
        handler = asyncio.create_task(self._handle(incoming))
        gone = asyncio.create_task(channel.wait_gone())
        try:
            await asyncio.wait(
                (handler, gone), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            gone.cancel()
            if not handler.done():
                handler.cancel()
        try:
            await handler
        except asyncio.CancelledError:
            pass
        except Exception as error:
            self._log.error(
                'request failed',
                target=incoming.head.target.decode('latin-1'),
                exc_info=error,
            )
            incoming.respond(502, (), b'internal error\n')

    async def _read_request(self, channel, protocol):
        """Read a whole request; None when the connection should end."""
        limits = self.limits
        head = None
        body = bytearray()
        deadline = limits.idle_s
        if not channel.has_unread and not protocol.trailing_data[0]:
            self.idle_channels.add(channel)
        try:
            while True:
                event = protocol.next_event()
                if event is h11.NEED_DATA:
                    if protocol.they_are_waiting_for_100_continue:
                        channel.send(
                            protocol.send(
                                h11.InformationalResponse(
                                    status_code=100, headers=()
                                )
                            )
                        )
                    async with asyncio.timeout(deadline):
                        data = await channel.receive()
                    self.idle_channels.discard(channel)
                    deadline = limits.header_s
                    protocol.receive_data(data)
                    continue
                if isinstance(event, h11.Request):
                    head = Head(
                        event.method,
                        event.target,
                        tuple(event.headers.raw_items()),
                    )
                    self._check_framing(head)
                    continue
                if isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > limits.body_bytes:
                        raise errors.RequestError(
                            413,
                            f'body over {limits.body_bytes} bytes',
                        )
                    continue
                if isinstance(event, h11.EndOfMessage):
                    return IncomingRequest(
                        head,
                        bytes(body),
                        channel,
                        protocol,
                        self,
                        asyncio.get_running_loop().time(),
                    )
                return None
        except h11.RemoteProtocolError as error:
            self._refuse(channel, protocol, error.error_status_hint, error)
        except errors.RequestError as error:
            self._refuse(channel, protocol, error.status, error)
        except TimeoutError:
            if head is not None:
                self._refuse(channel, protocol, 408, 'request came too slowly')
        finally:
            self.idle_channels.discard(channel)
        return None

    def _check_framing(self, head):
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

    def _refuse(self, channel, protocol, status, reason):
        self._log.info('request refused', status=status, reason=str(reason))
        if protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        text = f'{reason}\n'.encode()
        headers = [
            (b'Content-Length', b'%d' % len(text)),
            (b'Connection', b'close'),
        ]
        data = protocol.send(
            h11.Response(
                status_code=status,
                headers=headers,
                reason=_REASONS.get(status, b'Refused'),
            )
        )
        data += protocol.send(h11.Data(data=text))
        data += protocol.send(h11.EndOfMessage())
        channel.send(data)
