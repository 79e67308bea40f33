"""Asking endpoints how slow they are at this moment."""

import asyncio

from clementineline import errors

__all__ = ['LOAD_FRESH_S', 'LoadProber']

# Endpoints tell their load from many times a second; an older figure says
# little about a neighbour's burst.
LOAD_FRESH_S = 0.1
# The path answers at once; one that does not is no help to a decision now.
PROBE_TIMEOUT_S = 0.1


class LoadProber:
    """Asks endpoints for their load, and notes it in their state.

    :param pool: the :class:`~connections.ConnectionPool`
    :param dialect: the platform's dialect
    :param get_routes: function that returns the route table in force
    :param log: logger
    """

    __slots__ = ('_dialect', '_get_routes', '_log', '_pool')

    def __init__(self, pool, dialect, get_routes, log):
        self._dialect = dialect
        self._get_routes = get_routes
        self._log = log
        self._pool = pool

    async def probe(self, states):
        """Ask endpoints whose load was not told in the last moment.

        :param states: :class:`~directory.EndpointState` of each
        """
        now = asyncio.get_running_loop().time()
        asked = []
        for state in states:
            if now - state.load_at > LOAD_FRESH_S / 2:
                asked.append(self._ask(state))
        await asyncio.gather(*asked)

    async def _ask(self, state):
        table = self._get_routes()
        service = table.services.get(state.record.service) if table else None
        if service is None or not service.health_path:
            return
        head = self._dialect.build_health_call(service, state.record)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                reply, _ = await self._pool.exchange(state, head)
        except (errors.ProtocolError, TimeoutError) as error:
            self._log.debug(
                'endpoint not probed', endpoint=state.id, reason=repr(error)
            )
            return
        headers = tuple(reply.headers.raw_items())
        now = asyncio.get_running_loop().time()
        state.update_load(self._dialect.read_reply(headers), now)
