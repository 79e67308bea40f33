"""HTTP/1.1 client that forwards requests and responses byte for byte."""

import asyncio
import io

import h11

from clementineline import errors
from clementineline.transport import channels
from clementineline.transport import statuses

__all__ = ['Client', 'connect']

RESPONSE_HEAD_MAX_BYTES = 64 * 1024
# Interim responses before a response; an orderly server sends one or two.
INTERIM_RESPONSES_MAX = 16
# Most characters of what is wrong with a response, for logs.
FAULT_MAX_LENGTH = 200
# An unfinished request has run nowhere, so it is ended before a response that
# holds up to four times as much.
RESPONSE_WEIGHT = 0.25


class Client:
    """An HTTP connection to an endpoint, for one request at a time.

    :param channel: the open :class:`~channels.Channel`
    :ivar budget: the :class:`~buffers.BufferBudget` that bodies count
        towards, or None
    :ivar idle_limit_s: how long the endpoint is expected to keep it while it
        is idle, in seconds; None if that is not known
    :ivar on_response: called with the head of each response
    :ivar response: head of the last response, or None
    :ivar used_at: loop time at which the connection was opened or the last
        response ended, in seconds
    :ivar was_idle_long: whether the endpoint may have dropped it without
        notice before the current request
    """

    __slots__ = (
        '_channel',
        '_protocol',
        'budget',
        'idle_limit_s',
        'on_response',
        'response',
        'used_at',
        'was_idle_long',
    )

    def __init__(self, channel):
        self._channel = channel
        self._protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=RESPONSE_HEAD_MAX_BYTES
        )
        self.budget = None
        self.idle_limit_s = None
        self.on_response = lambda response: None
        self.response = None
        self.was_idle_long = False
        self.used_at = asyncio.get_running_loop().time()

    @property
    def reusable(self):
        """Whether another request may be sent on this connection."""
        return (
            self._protocol.our_state is h11.IDLE
            and self._protocol.their_state is h11.IDLE
            and not self._channel.has_unread
            and not self._channel.has_unsent
        )

    @property
    def was_dropped(self):
        """Whether the endpoint probably dropped it before the request.

        It was idle for long and broke before a response.
        """
        return self.was_idle_long and self.response is None

    @property
    def ends_with_connection(self):
        """Whether only the end of the connection ends the response's body.

        Such a body may lack its end without a sign of it.
        """
        names = {key.lower() for key, _ in self.response.headers}
        return not names & {b'content-length', b'transfer-encoding'}

    def send_request(self, head, body):
        """Send a complete request.

        :param head: a :class:`~http.Head`, without framing headers
        :param body: complete body
        :raises errors.RequestError: if the head is not valid HTTP
        """
        headers = []
        for key, value in head.headers:
            if key.lower() != b'content-length':
                headers.append((key, value))
        if body or head.method not in (b'GET', b'HEAD', b'DELETE'):
            headers.append((b'Content-Length', b'%d' % len(body)))
        try:
            data = self._protocol.send(
                h11.Request(
                    method=head.method, target=head.target, headers=headers
                )
            )
            pieces = [data]
            if len(body) > channels.SEND_PIECE_BYTES:
                # The body itself, not a copy, as its length is announced.
                pieces += self._protocol.send_with_data_passthrough(
                    h11.Data(data=body)
                )
            elif body:
                pieces[0] += self._protocol.send(h11.Data(data=body))
            self._protocol.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise errors.RequestError(400, f'malformed request: {error}')
        for piece in pieces:
            self._channel.send(piece)

    async def receive_head(self):
        """Return the head of the response; skip informational (1xx) ones.

        :returns: the :class:`h11.Response`
        :raises errors.ConnectionLost: if the connection ended too early
        :raises errors.ProtocolError: if the bytes are not a valid response
        """
        for _ in range(INTERIM_RESPONSES_MAX + 1):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise errors.ConnectionLost(
                    'connection ended before a response'
                )
            self.response = event
            if not statuses.is_defined(event.status_code):
                reason = bytes(event.reason)[:FAULT_MAX_LENGTH]
                raise errors.ProtocolError(
                    f'no HTTP response: status {event.status_code} {reason!r}'
                )
            self.on_response(event)
            return event
        raise errors.ProtocolError(
            f'no HTTP response: over {INTERIM_RESPONSES_MAX} interim ones'
        )

    async def receive_data(self):
        """Return the next bytes of the body; None after its end.

        :raises errors.ConnectionLost: if the connection ended too early
        :raises errors.ProtocolError: if the bytes are not a valid response
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._finish_cycle()
            return None
        raise errors.ConnectionLost('connection ended within a response')

    async def receive_body(self, max_bytes):
        """Return the rest of the body.

        :raises errors.ProtocolError: if it is larger than ``max_bytes``
        """
        body = io.BytesIO()
        hold = None
        if self.budget is not None:
            hold = self.budget.open(self.close, RESPONSE_WEIGHT)
        try:
            while True:
                data = await self.receive_data()
                if data is None:
                    # Not a copy: the body's buffer becomes the bytes.
                    return body.getvalue()
                body.write(data)
                if body.tell() > max_bytes:
                    raise errors.ProtocolError(
                        f'response over {max_bytes} bytes'
                    )
                if hold is not None and not hold.add(len(data)):
                    raise errors.ProtocolError(
                        f'response ended after {body.tell()} bytes: the '
                        f'process may hold {self.budget.limit_bytes} bytes'
                    )
        finally:
            if hold is not None:
                hold.release()

    async def _next_event(self):
        try:
            while True:
                event = self._protocol.next_event()
                if event is h11.NEED_DATA:
                    self._protocol.receive_data(await self._channel.receive())
                    continue
                return event
        except h11.RemoteProtocolError as error:
            fault = str(error)[:FAULT_MAX_LENGTH]
            raise errors.ProtocolError(f'no HTTP response: {fault}') from error

    def _finish_cycle(self):
        self.used_at = asyncio.get_running_loop().time()
        if self._protocol.trailing_data[0]:
            return
        if self._protocol.our_state is not h11.DONE:
            return
        if self._protocol.their_state is not h11.DONE:
            return
        self._protocol.start_next_cycle()

    def close(self):
        """Close at once, so that the endpoint stops a running request."""
        self._channel.abort()


async def connect(address, timeout_s):
    """Open a connection to an endpoint.

    :param address: its :class:`~frames.Address`
    :param timeout_s: longest time to wait for the connection, in seconds
    :returns: the :class:`Client`
    :raises errors.ConnectionLost: if it cannot be opened in time
    """
    return Client(await channels.open_channel(address, timeout_s))
