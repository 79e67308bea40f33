"""HTTP/1.1 server for requests that are forwarded byte for byte.

A proxy must forward paths and headers as it received them, and must know how
a connection ended. uvicorn and aiohttp normalise paths and headers and hide
how a connection ended; the parser h11 leaves both to its user.
"""

import asyncio
import dataclasses
import math

import h11

from clementineline import errors
from clementineline.transport import admission
from clementineline.transport import buffers
from clementineline.transport import channels
from clementineline.transport import incoming as incoming_requests
from clementineline.transport import numbers
from clementineline.transport import reading

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
# Time in which a body must be complete if the request names no limit.
UPLOAD_S = 60.0
# Most bytes of a caller's connection that are received while its request is
# handled. An orderly caller sends none.
READ_AHEAD_BYTES = 16 * 1024
# Time without any progress after which a caller does not read its response.
SEND_STALL_S = 15.0

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


Head = reading.Head
IncomingRequest = incoming_requests.IncomingRequest
ServerLimits = reading.ServerLimits


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


class _Connection:
    """A caller's connection, and what the server holds for it.

    :param channel: the :class:`~channels.Channel`
    :param server: the :class:`Server`
    :param address: IP address of the caller
    """

    __slots__ = (
        'address',
        'channel',
        'entry',
        'hold',
        'protocol',
        'reader',
        'server',
        'unsent',
    )

    def __init__(self, channel, server, address):
        self.address = address
        self.channel = channel
        self.server = server
        self.hold = server.budget.open()
        self.unsent = server.budget.open(self._cut)
        self.protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.header_bytes
        )
        self.reader = None
        self.entry = None

    def _cut(self):
        """Cut a response, as the memory is needed for others."""
        self.server.note_refusal(self, 'unread')
        self.channel.abort()

    def build_request(self, head, body):
        """Return the :class:`IncomingRequest` of a head and a body."""
        # The caller has taken the response before, or most of it.
        self.channel.allow_pauses(False)
        return IncomingRequest(
            head,
            body,
            self.channel,
            self.protocol,
            self.server,
            asyncio.get_running_loop().time(),
            self.hold,
            self.unsent,
        )

    async def drain(self):
        """Wait until the caller has taken most of its response.

        :returns: whether it has; not if it takes nothing for a long time
        """
        channel = self.channel
        self.entry.set_state(admission.State.SENDING)
        while True:
            left = channel.unsent_bytes
            try:
                async with asyncio.timeout(SEND_STALL_S):
                    await channel.drain()
                break
            except TimeoutError:
                if channel.unsent_bytes == left:
                    self._cut()
                    return False
                self.unsent.resize(channel.unsent_bytes)
        if channel.lost:
            return False
        return self.unsent.resize(channel.unsent_bytes)


class Server:
    """HTTP server that serves each connection in a task of its own.

    :param handle: coroutine function called with each
        :class:`IncomingRequest`; cancelled when the caller disconnects
    :param limits: a :class:`ServerLimits`; may be replaced at any time
    :param log: logger
    :param budget: the :class:`~buffers.BufferBudget` of the process; None
        for no limit
    :param table: the :class:`~admission.ConnectionTable` of the port; None
        for no limit
    :param refusals: the :class:`~admission.RefusalRecord`, or None
    :ivar draining: whether connections close after their current request
    :ivar hides_headers: whether errors of malformed requests leave out the
        bytes that they are about, which may be a caller's secret
    :ivar get_upload_s: function from a :class:`Head` to the time in which the
        body must be complete, in seconds
    :ivar refusal_headers: headers of a response that refuses a request for
        lack of memory
    """

    __slots__ = (
        '_connections',
        '_handle',
        '_handlers',
        '_log',
        '_refusals',
        '_server',
        '_table',
        '_tasks',
        'budget',
        'draining',
        'get_upload_s',
        'hides_headers',
        'limits',
        'refusal_headers',
    )

    def __init__(
        self, handle, limits, log, budget=None, table=None, refusals=None
    ):
        self._handle = handle
        # Requests by the task that handles them.
        self._handlers = {}
        self._log = log
        self._refusals = refusals or admission.RefusalRecord(log)
        self._server = None
        self._table = table or admission.ConnectionTable(
            math.inf, self._refusals
        )
        self._tasks = set()
        self._connections = set()
        self.budget = budget or buffers.BufferBudget(math.inf)
        self.limits = limits
        self.draining = False
        self.hides_headers = False
        self.get_upload_s = lambda head: UPLOAD_S
        self.refusal_headers = ()

    async def start(self, address):
        """Listen on an :class:`~frames.Address`."""
        self._server = await channels.listen(
            lambda: channels.Channel(self._accept, READ_AHEAD_BYTES), address
        )

    def _accept(self, channel):
        peer = channel.transport.get_extra_info('peername')
        connection = _Connection(channel, self, peer[0] if peer else '')
        connection.entry = self._table.add(connection.address, channel.abort)
        if connection.entry is None:
            channel.abort()
            return
        connection.reader = reading.RequestReader(
            channel,
            connection.protocol,
            connection.hold,
            connection.entry,
            lambda head: self.get_upload_s(head),
        )

        def forget():
            self._table.remove(connection.entry)
            connection.unsent.release()

        channel.on_lost = forget
        task = asyncio.create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def note_refusal(self, connection, reason, **details):
        """Count and log that a caller is refused or cut off."""
        self._refusals.note(connection.address, reason, **details)

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
        for connection in list(self._connections):
            if connection.reader.idle:
                connection.channel.close()
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

    async def _serve(self, connection):
        self._connections.add(connection)
        try:
            await self._serve_requests(connection)
        except errors.ConnectionLost:
            pass
        except Exception as error:
            self._log.error('connection failed', exc_info=error)
        finally:
            self._connections.discard(connection)
            connection.hold.release()
            connection.entry.set_state(admission.State.SENDING)
            connection.channel.close()

    async def _serve_requests(self, connection):
        channel = connection.channel
        protocol = connection.protocol
        while True:
            incoming = await self._read_request(connection)
            if incoming is None:
                return
            connection.entry.set_state(admission.State.BUSY)
            await self._run_handler(channel, incoming)
            if (
                not incoming.response_started
                or incoming.aborted
                or channel.is_disconnected
            ):
                return
            # The request's body is not needed for its response.
            incoming = None
            connection.reader.forget()
            if not await connection.drain():
                return
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

    async def _read_request(self, connection):
        """Read a request; return None if the connection must be closed."""
        try:
            found = await connection.reader.read(self.limits)
        except h11.RemoteProtocolError as error:
            text = str(error)
            if self.hides_headers:
                text = text.partition(':')[0]
            self._refuse(
                connection, error.error_status_hint, 'malformed', text
            )
        except reading.Refused as error:
            self._refuse(connection, error.status, error.reason, error)
        except errors.RequestError as error:
            reason = 'large' if error.status == 413 else 'malformed'
            self._refuse(connection, error.status, reason, error)
        else:
            if found is not None:
                return connection.build_request(*found)
        return None

    def _refuse(self, connection, status, reason, error):
        """Refuse a request that was not handled.

        :param status: HTTP status; 0 for no response
        :param reason: one word, for the counter
        """
        self.note_refusal(connection, reason, status=status, text=str(error))
        protocol = connection.protocol
        if not status or protocol.our_state not in (
            h11.IDLE,
            h11.SEND_RESPONSE,
        ):
            return
        text = f'{error}\n'.encode()
        headers = [
            (b'Content-Length', b'%d' % len(text)),
            (b'Connection', b'close'),
        ]
        if status == 503:
            headers.extend(self.refusal_headers)
        data = protocol.send(
            h11.Response(
                status_code=status,
                headers=headers,
                reason=incoming_requests.REASONS.get(status, b'Refused'),
            )
        )
        data += protocol.send(h11.Data(data=text))
        data += protocol.send(h11.EndOfMessage())
        connection.channel.send(data)
