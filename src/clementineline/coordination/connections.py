"""Pool of connections to endpoints."""

import asyncio
import functools

from clementineline import errors
from clementineline.transport import http
from clementineline.transport import outgoing

__all__ = ['ConnectionPool']

# Endpoints close idle connections after a timeout that they announce. This is
# below the shortest announced one, so that an endpoint rarely closes a
# connection while a request is being sent on it.
IDLE_TIMEOUT_S = 4.0
# Subtracted from an announced timeout, which is in whole seconds and begins
# at the endpoint before its response arrives here.
ANNOUNCED_MARGIN_S = 1.0
# Longest use of an announced timeout. A path that drops idle connections
# without notice does so after a minute or more.
ANNOUNCED_MAX_S = 60.0
# Share of the connections that an endpoint accepts from all callers. Not used:
# the pool does not limit the number of open connections.
SHARE_OF_MAX = 0.1
CONNECT_TIMEOUT_S = 0.4
# An address without a process refuses at once. The next attempt waits for it.
END_CHECK_TIMEOUT_S = 0.05
# Far above the few hundred bytes of reports and health responses.
EXCHANGE_BODY_MAX_BYTES = 1024 * 1024


class ConnectionPool:
    """Opens connections to endpoints and keeps idle ones for reuse.

    All requests to endpoints are sent on connections of the pool, one request
    for each :meth:`acquire`.

    :param limits: the :class:`~ratelimits.RateLimits`
    :param budget: the :class:`~buffers.BufferBudget` of the responses
    :param read_reply: function from the headers of a response to its
        :class:`~dialect.ReplyFacts`
    :ivar on_leaving: called with the state of an endpoint that says that it
        leaves, the purpose of the request, and whether another endpoint at its
        address may have answered
    :ivar opened: number of connections opened so far
    :ivar announced: whether connections are kept for as long as endpoints
        announce
    :ivar idle_kept_max: number of connections to an endpoint that may be idle
        for longer than ``IDLE_TIMEOUT_S``; None for no other limit than the
        endpoint's slots
    :ivar may_keep: function from the id of an endpoint to whether a connection
        to it may be idle for longer than ``IDLE_TIMEOUT_S``
    """

    __slots__ = (
        '_idle',
        '_limits',
        '_read_reply',
        'announced',
        'budget',
        'idle_kept_max',
        'may_keep',
        'on_leaving',
        'opened',
    )

    def __init__(self, limits, budget, read_reply):
        self.budget = budget
        self._idle = {}
        self._limits = limits
        self._read_reply = read_reply
        self.on_leaving = lambda state, purpose, another: None
        self.opened = 0
        self.announced = False
        self.idle_kept_max = 1
        self.may_keep = lambda endpoint_id: True

    async def acquire(
        self, state, purpose, wait_s=0.0, repeatable=False, fresh=False
    ):
        """Return a connection to an endpoint for one request.

        :param state: the :class:`~directory.EndpointState`
        :param purpose: one of :class:`~ratelimits.Purpose`
        :param wait_s: how long the request may wait for its turn if the
            endpoint names a limit, in seconds
        :param repeatable: whether the request may run again if the connection
            is reset before a response; only such a request is sent on a
            connection that was idle for longer than ``IDLE_TIMEOUT_S``
        :param fresh: whether a new connection is opened in any case
        :raises errors.ConnectionLost: if the endpoint does not accept a
            connection, or leaves
        :raises errors.LimitReached: if the request would exceed the limit
            that the endpoint names
        """
        await self._limits.admit(state, purpose, wait_s)
        client = await self._connect(state, repeatable, fresh)
        # It may have said so since it was chosen.
        if state.leaving:
            client.close()
            raise errors.ConnectionLost(f'endpoint {state.id} leaves')
        client.budget = self.budget
        client.response = None
        client.on_response = functools.partial(self._observe, state, purpose)
        self._limits.count(state, purpose)
        return client

    def _observe(self, state, purpose, response):
        facts = self._limits.observe(state, response)
        if facts.leaving:
            self.on_leaving(state, purpose, response.status_code == 421)

    def has_idle(self, state):
        """Return whether an endpoint has an idle connection to prefer it for.

        Always false unless announced timeouts are used.
        """
        return self.announced and bool(self._idle.get(state.id))

    def _is_fresh(self, client, now):
        limit_s = client.idle_limit_s or IDLE_TIMEOUT_S
        return client.reusable and now - client.used_at < limit_s

    async def _connect(self, state, repeatable, fresh=False):
        """Return an idle connection to an endpoint, or open one."""
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(state.id, [])
        while idle and not fresh:
            client = idle.pop()
            if not self._is_fresh(client, now):
                client.close()
                continue
            if not repeatable and now - client.used_at >= IDLE_TIMEOUT_S:
                # The others have been idle for longer.
                idle.append(client)
                break
            client.was_idle_long = now - client.used_at >= IDLE_TIMEOUT_S
            return client
        self.opened += 1
        return await outgoing.connect(state.address, CONNECT_TIMEOUT_S)

    async def has_ended(self, state):
        """Return whether an endpoint has ended: nothing listens there.

        A connection that was made for it is kept for the next request.
        """
        try:
            client = await outgoing.connect(state.address, END_CHECK_TIMEOUT_S)
        except errors.NotListening:
            return True
        except errors.ConnectionLost:
            return False
        self.opened += 1
        self._idle.setdefault(state.id, []).append(client)
        return False

    def release(self, state, client):
        """Keep a connection for reuse, or close it.

        The connection is closed if it cannot be reused or if as many idle
        connections are kept as the endpoint has slots.
        """
        reply = client.response
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
        if self.announced and reply is not None:
            timeout_s = http.read_idle_timeout(reply.headers) or 0
            client.idle_limit_s = max(
                IDLE_TIMEOUT_S,
                min(timeout_s - ANNOUNCED_MARGIN_S, ANNOUNCED_MAX_S),
            )
        idle.append(client)

    async def exchange(self, state, client, head, body=b''):
        """Send a small request without an id and return the response.

        The connection is kept.

        :param state: the :class:`~directory.EndpointState`
        :param client: a connection that :meth:`acquire` returned
        :param head: a :class:`~http.Head`
        :returns: ``(response, body)``
        :raises errors.ProtocolError: if there is no valid response
        """
        done = False
        try:
            client.send_request(head, body)
            reply = await client.receive_head()
            facts = self._read_reply(tuple(reply.headers.raw_items()))
            if not facts.is_about(''):
                raise errors.ProtocolError(
                    f'response to request {facts.request_id!r}: expected one '
                    'without an id'
                )
            response_body = await client.receive_body(EXCHANGE_BODY_MAX_BYTES)
            done = True
        finally:
            if not done:
                client.close()
        self.release(state, client)
        return reply, response_body

    def close_idle(self, known):
        """Close connections that are idle too long or to unknown endpoints.

        :param known: ids of the endpoints that are in use
        """
        now = asyncio.get_running_loop().time()
        for endpoint_id, idle in list(self._idle.items()):
            kept = []
            # One connection to each endpoint saves most new ones where calls
            # are rare, and endpoints accept a limited number from everybody.
            # The leader alone sends bursts of items, with a connection each.
            may_keep = self.may_keep(endpoint_id)
            for client in reversed(idle):
                keep = endpoint_id in known and self._is_fresh(client, now)
                if keep and now - client.used_at >= IDLE_TIMEOUT_S:
                    keep = may_keep and (
                        self.idle_kept_max is None
                        or len(kept) < self.idle_kept_max
                    )
                if keep:
                    kept.append(client)
                    continue
                client.close()
            kept.reverse()
            self._idle[endpoint_id] = kept
            if not kept:
                del self._idle[endpoint_id]
