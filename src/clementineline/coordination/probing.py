"""Probes of endpoints for their current load and slowness."""

import asyncio

from clementineline.coordination import ratelimits
from clementineline import errors

__all__ = ['LOAD_MAX_AGE_S', 'LoadProber']

# Endpoints update their load figures many times a second. A figure older than
# this says little about a burst of load from a neighbouring workload.
LOAD_MAX_AGE_S = 0.1
# Health paths respond at once. A later response is of no use, because the
# placement or move of an item waits for the probe.
PROBE_TIMEOUT_S = 0.1


class LoadProber:
    """Requests the load of endpoints and stores it in their state.

    :param pool: the :class:`~connections.ConnectionPool`
    :param dialect: the platform's dialect
    :param get_routes: function that returns the route table in force
    :param log: logger
    """

    __slots__ = ('_dialect', '_get_routes', '_log', '_pool', '_running')

    def __init__(self, pool, dialect, get_routes, log):
        self._dialect = dialect
        self._get_routes = get_routes
        self._log = log
        self._pool = pool
        # Tasks by the state of the endpoint that they probe.
        self._running = {}

    async def probe(self, states):
        """Probe the endpoints whose last load figure is not recent.

        Concurrent calls share the probe of an endpoint.

        :param states: :class:`~directory.EndpointState` of each
        """
        now = asyncio.get_running_loop().time()
        probes = set()
        for state in states:
            if state.leaving or state.limit is not None:
                # A probe would take the place of a request.
                continue
            if now - state.load_at > LOAD_MAX_AGE_S / 2:
                probes.add(self._get_probe(state))
        if not probes:
            return
        # A caller that is cancelled leaves the probes to the others.
        await asyncio.wait(probes)
        for probe in probes:
            probe.result()

    def _get_probe(self, state):
        probe = self._running.get(state)
        if probe is None:
            probe = asyncio.create_task(self._probe_endpoint(state))
            self._running[state] = probe
            probe.add_done_callback(lambda _: self._running.pop(state))
        return probe

    async def _probe_endpoint(self, state):
        table = self._get_routes()
        service = table.services.get(state.record.service) if table else None
        if service is None or not service.health_path:
            return
        head = self._dialect.build_health_call(service, state.record)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                client = await self._pool.acquire(
                    state, ratelimits.Purpose.PROBE, repeatable=True
                )
                reply, _ = await self._pool.exchange(state, client, head)
        except (
            errors.LimitReached,
            errors.ProtocolError,
            TimeoutError,
        ) as error:
            self._log.debug(
                'endpoint not probed', endpoint=state.id, reason=repr(error)
            )
            return
        headers = tuple(reply.headers.raw_items())
        now = asyncio.get_running_loop().time()
        state.update_load(self._dialect.read_reply(headers), now)
