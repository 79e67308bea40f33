"""A request from a caller, and the methods that respond to it."""

import h11

from clementineline.transport import channels

__all__ = ['REASONS', 'IncomingRequest']

REASONS = {
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


class IncomingRequest:
    """A complete request from a caller, and the methods that respond to it.

    :param head: its :class:`Head`
    :param body: its body
    :param channel: the caller's connection, a :class:`~channels.Channel`
    :param protocol: the connection's :class:`h11.Connection`
    :param server: the :class:`Server` that read it
    :param arrived_at: loop time at which its last byte was read, in seconds
    :param hold: the :class:`~buffers.Hold` of its bytes
    :param unsent: the :class:`~buffers.Hold` of the bytes that the caller has
        not taken
    :ivar aborted: whether :meth:`abort` has ended the response
    :ivar request_id: the caller's id of the request; '' until the handler
        sets it
    :ivar response_started: whether a response, or its head, has been sent
    """

    __slots__ = (
        '_channel',
        '_protocol',
        '_server',
        '_unsent',
        'aborted',
        'arrived_at',
        'body',
        'head',
        'hold',
        'request_id',
        'response_started',
    )

    def __init__(
        self, head, body, channel, protocol, server, arrived_at, hold, unsent
    ):
        self.head = head
        self.body = body
        self.arrived_at = arrived_at
        self.response_started = False
        self.aborted = False
        self.request_id = ''
        self._channel = channel
        self._protocol = protocol
        self._server = server
        self._unsent = unsent
        self.hold = hold

    @property
    def is_abandoned(self):
        """Whether the caller has closed its connection."""
        return self._channel.is_disconnected

    def drop_body(self):
        """Free the body, which is not needed any more."""
        self.hold.add(-len(self.body))
        self.body = b''

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
        if self.head.method == b'HEAD':
            self._channel.send(data)
            self._channel.close()
            return
        if len(body) > channels.SEND_PIECE_BYTES:
            self._channel.allow_pauses(True)
            self._send(data)
            data = b''
            for piece in protocol.send_with_data_passthrough(
                h11.Data(data=body)
            ):
                self._send(piece)
        elif body:
            data += protocol.send(h11.Data(data=body))
        self._send(data + protocol.send(h11.EndOfMessage()))

    def _send(self, data):
        self._channel.send(data)
        if not self._channel.lost:
            self._unsent.resize(self._channel.unsent_bytes)

    def start_response(self, status, headers):
        """Send the head of a response whose body follows in pieces.

        Do nothing if a response was started or the connection is lost.

        :param status: HTTP status
        :param headers: pairs of bytes, without connection headers
        """
        if self.response_started or self._channel.lost:
            return
        self.response_started = True
        self._channel.allow_pauses(True)
        self._send(self._build_head(status, headers))

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
                reason=REASONS.get(status, b'Status'),
            )
        )

    def send(self, data):
        """Send a piece of the response's body."""
        self._send(self._protocol.send(h11.Data(data=data)))

    async def drain(self):
        """Wait while too many sent bytes are still buffered."""
        await self._channel.drain()
        if not self._channel.lost:
            self._unsent.resize(self._channel.unsent_bytes)

    def finish(self):
        """End the body, which completes the response."""
        self._send(self._protocol.send(h11.EndOfMessage()))

    def abort(self):
        """Close the connection so that the response looks incomplete."""
        self.aborted = True
        if self._protocol.their_http_version == b'1.1':
            # The missing last chunk shows that the body is incomplete.
            self._channel.close()
        else:
            # HTTP/1.0 has no chunks: an orderly close would end the body.
            self._channel.abort()
