"""HTTP/1.1 server for requests that are forwarded byte for byte.

A proxy must forward paths and headers as it received them, and must know how
a connection ended. uvicorn and aiohttp normalise paths and headers and hide
how a connection ended; the parser h11 leaves both to its user.
"""

import asyncio
import dataclasses

import h11

from clementineline import errors
from clementineline.transport import channels
from clementineline.transport import numbers

__all__ = [
    'Head',
    'IncomingRequest',
    'Response',
    'Server',
    'ServerLimits',
    'find_header',
    'strip_connection_headers',
]

# Time to send the responses of requests that a drain has ended.
END_TIMEOUT_S = 0.2

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
    401: b'Unauthorized',
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
    """Limits on the size of requests and on the time to read them.

    :param header_bytes: largest request line and headers, in bytes
    :param body_bytes: largest body, in bytes
    :param header_s: longest wait for each next piece of a request whose
        first bytes have arrived, in seconds
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


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    headers: tuple
    body: bytes


def find_header(headers, name):
    """Return the value of the first header of a lower-case name, or None."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def read_idle_timeout(headers):
    """Return how long the sender keeps an idle connection, in seconds.

    :param headers: pairs of bytes
    :returns: the ``timeout`` of the header ``Keep-Alive``; None if it is
        missing or not a number of whole seconds
    """
    value = find_header(headers, b'keep-alive') or b''
    for part in value.split(b','):
        name, _, seconds = part.partition(b'=')
        if name.strip().lower() == b'timeout':
            return numbers.read_integer(seconds.strip())
    return None


def strip_connection_headers(headers):
    """Return the headers without those that concern one connection only.

    These are the standard ones and those that ``Connection`` names.

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
    """A complete request from a caller, and the methods that respond to it.

    :param head: its :class:`Head`
    :param body: its body
    :param channel: the caller's connection, a :class:`~channels.Channel`
    :param protocol: the connection's :class:`h11.Connection`
    :param server: the :class:`Server` that read it
    :param arrived_at: loop time at which its last byte was read, in seconds
    :ivar aborted: whether :meth:`abort` has ended the response
    :ivar request_id: the caller's id of the request; '' until the handler
        sets it
    :ivar response_started: whether a response, or its head, has been sent
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
        return self._channel.is_disconnected

    def respond(self, status, headers=(), body=b''):
        """Send a complete response.

        Do nothing if a response was started or the connection is lost.

        :param status: HTTP status
        :param headers: pairs of bytes, without connection headers
        :param body: complete body
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
        """Send the head of a response whose body follows in pieces.

        Do nothing if a response was started or the connection is lost.

        :param status: HTTP status
        :param headers: pairs of bytes, without connection headers
        """
        if self.response_started or self._channel.lost:
            return
        self.response_started = True
        self._channel.send(self._build_head(status, headers))

    def _build_head(self, status, headers, framing=()):
        """Return the bytes of the response's status line and headers."""
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
        """Send a piece of the response's body."""
        self._channel.send(self._protocol.send(h11.Data(data=data)))

    async def drain(self):
        """Wait while too many sent bytes are still buffered."""
        await self._channel.drain()

    def finish(self):
        """End the body, which completes the response."""
        self._channel.send(self._protocol.send(h11.EndOfMessage()))

    def abort(self):
        """Close the connection so that the response looks incomplete."""
        self.aborted = True
        if self._protocol.their_http_version == b'1.1':
            # The missing last chunk shows that the body is incomplete.
            self._channel.close()
        else:
            # HTTP/1.0 has no chunks: an orderly close would end the body.
            self._channel.abort()


class Server:
    """HTTP server that serves each connection in a task of its own.

    :param handle: coroutine function called with each
        :class:`IncomingRequest`; cancelled when the caller disconnects
    :param limits: a :class:`ServerLimits`; may be replaced at any time
    :param log: logger
    :ivar draining: whether connections close after their current request
    :ivar hides_headers: whether errors of malformed requests leave out the
        bytes that they are about, which may be a caller's secret
    """

    __slots__ = (
        '_handle',
        '_handlers',
        '_idle_channels',
        '_log',
        '_server',
        '_tasks',
        'draining',
        'hides_headers',
        'limits',
    )

    def __init__(self, handle, limits, log):
        self._handle = handle
        # Requests by the task that handles them.
        self._handlers = {}
        self._log = log
        self._server = None
        self._tasks = set()
        self._idle_channels = set()
        self.limits = limits
        self.draining = False
        self.hides_headers = False

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
        """Number of open connections."""
        return len(self._tasks)

    async def drain(self, timeout_s):
        """Close idle connections and wait for the running requests.

        Requests that still run then get status 504.

        :param timeout_s: longest time to wait for them, in seconds
        """
        self.draining = True
        for channel in list(self._idle_channels):
            channel.close()
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=timeout_s)
        await self._end_requests()

    async def _end_requests(self):
        """Respond to requests that are still running, and close."""
        for handler, incoming in list(self._handlers.items()):
            self._log.info(
                'request ended by the stop',
                request=incoming.request_id,
                target=incoming.head.target.decode('latin-1'),
            )
            # Does nothing if the response has started.
            incoming.respond(504, (), b'the server stops\n')
            handler.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=END_TIMEOUT_S)

    def stop(self):
        """Stop accepting connections; open ones stay open."""
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
                or channel.is_disconnected
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
        self._handlers[handler] = incoming
        disconnected = asyncio.create_task(channel.wait_disconnected())
        try:
            await asyncio.wait(
                (handler, disconnected), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            del self._handlers[handler]
            disconnected.cancel()
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
        """Read a request; return None if the connection must be closed."""
        limits = self.limits
        head = None
        body = bytearray()
        timeout_s = limits.idle_s
        if not channel.has_unread and not protocol.trailing_data[0]:
            self._idle_channels.add(channel)
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
                    async with asyncio.timeout(timeout_s):
                        data = await channel.receive()
                    self._idle_channels.discard(channel)
                    timeout_s = limits.header_s
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
            reason = str(error)
            if self.hides_headers:
                reason = reason.partition(':')[0]
            self._refuse(channel, protocol, error.error_status_hint, reason)
        except errors.RequestError as error:
            self._refuse(channel, protocol, error.status, error)
        except TimeoutError:
            if head is not None:
                self._refuse(channel, protocol, 408, 'request came too slowly')
        finally:
            self._idle_channels.discard(channel)
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
