"""Connections to endpoints, kept for the next request."""

import asyncio

from clementineline.transport import http
from clementineline.transport import outgoing

__all__ = ['ConnectionPool']

# Endpoints close idle connections after a timeout that they state; ours is
# below the shortest one seen, so that a request rarely meets the close.
IDLE_S = 4.0
# Share of the connections that an endpoint accepts from all callers.
SHARE_OF_MAX = 0.1
CONNECT_TIMEOUT_S = 0.4
# Reports and health answers have some hundred bytes.
EXCHANGE_BYTES_MAX = 1024 * 1024


class ConnectionPool:
    """Idle connections by endpoint id."""

    __slots__ = ('_idle', 'opened')

    def __init__(self):
        self._idle = {}
        self.opened = 0

    async def acquire(self, state, timeout_s=CONNECT_TIMEOUT_S):
        """Return a connection to an endpoint, an idle one if there is one.

        :param state: the :class:`~directory.EndpointState`
        :raises errors.ConnectionLost: if the endpoint does not accept
        """
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(state.id, [])
        while idle:
            client = idle.pop()
            if client.reusable and now - client.used_at < IDLE_S:
                return client
            client.close()
        self.opened += 1
        return await outgoing.connect(state.address, timeout_s)

    def release(self, state, client):
        """Keep a connection, or close it if it can carry no more."""
        reply = client.reply
        closes = b''
        if reply is not None:
            closes = http.find_header(reply.headers, b'connection') or b''
        idle = self._idle.setdefault(state.id, [])
        if (
            not client.reusable
            or b'close' in closes.lower()
            or len(idle) >= state.record.slots
        ):
            client.close()
            return
        idle.append(client)

    async def exchange(self, state, head, body=b''):
        """Send a small request, and return its whole answer.

        :param state: the :class:`~directory.EndpointState`
        :param head: a :class:`~http.Head`
        :returns: ``(response, body)``
        :raises errors.ProtocolError: if there is no proper answer
        """
        client = await self.acquire(state)
        done = False
        try:
            client.send_request(head, body)
            reply = await client.receive_head()
            answer = await client.receive_body(EXCHANGE_BYTES_MAX)
            done = True
        finally:
            if not done:
                client.close()
        self.release(state, client)
        return reply, answer

    def close_idle(self, known):
        """Close idle connections that are old or whose endpoint is gone.

        :param known: ids of the endpoints that are in use
        """
        now = asyncio.get_running_loop().time()
        for endpoint_id, idle in list(self._idle.items()):
            kept = []
            for client in idle:
                fresh = now - client.used_at < IDLE_S
                if endpoint_id in known and client.reusable and fresh:
                    kept.append(client)
                    continue
                client.close()
            self._idle[endpoint_id] = kept
            if not kept:
                del self._idle[endpoint_id]
