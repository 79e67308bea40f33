"""Callers of a soak."""

import asyncio
import itertools

from clementineline import errors
from clementineline.platform.tests.soak import fleet as fleets
from clementineline.transport import http
from clementineline.transport import outgoing

__all__ = [
    'HOST',
    'Callers',
    'KeptCallers',
    'RouteWatcher',
    'Sender',
    'is_set_within',
]

HOST = b'shop.example'
KEY = (b'Api-Key', fleets.KEY.encode())
CALL_TIMEOUT_S = 4.0
CALL_INTERVAL_S = 0.04
KEPT_CALL_INTERVAL_S = 0.05
# Limit on the gateways that get calls on kept connections.
KEPT_GATEWAYS_MAX = 8
ROUTE_INTERVAL_S = 0.1


class Sender:
    """Sends requests to gateways that are reachable.

    :param fleet: the :class:`~fleet.Fleet`
    :param rng: random number generator
    """

    def __init__(self, fleet, rng):
        self._fleet = fleet
        self._rng = rng

    async def send(self, method, path, body=b'', request_id='', name=None):
        """Send a request on a connection of its own.

        :param name: gateway to use; any if None
        :returns: ``(status, headers, body)``
        :raises errors.ProtocolError: if there is no complete response
        :raises TimeoutError: if there is none in time
        """
        name = name or self._rng.choice(self._fleet.gateways)
        headers = [(b'Host', HOST), KEY]
        if request_id:
            headers.append((b'Request-Id', request_id.encode()))
        head = http.Head(method, path.encode(), tuple(headers))
        async with asyncio.timeout(CALL_TIMEOUT_S):
            client = await outgoing.connect(
                self._fleet.get_http_address(name), 1.0
            )
            try:
                client.send_request(head, body)
                response = await client.receive_head()
                answer = await client.receive_body(1 << 24)
            finally:
                client.close()
        return response.status_code, dict(response.headers), answer


class Callers:
    """Send live calls, half of which may not be repeated.

    :param sender: the :class:`Sender`
    :param recorder: the :class:`~checks.Recorder`
    """

    def __init__(self, sender, recorder):
        self._sender = sender
        self._recorder = recorder
        self._numbers = itertools.count(1)

    async def run(self, stopping):
        """Send calls until told to stop.

        :param stopping: event
        """
        async with asyncio.TaskGroup() as group:
            while not stopping.is_set():
                for path in ('/live/a', '/order/a'):
                    number = next(self._numbers)
                    group.create_task(self._call(path, f'call-{number}'))
                    await asyncio.sleep(CALL_INTERVAL_S)

    async def _call(self, path, request_id):
        recorder = self._recorder
        if path.startswith('/order/'):
            recorder.unsafe_ids.add(request_id)
        body = request_id.encode()
        try:
            status, headers, answer = await self._sender.send(
                b'POST', path, body, request_id
            )
        except (errors.ProtocolError, TimeoutError) as error:
            recorder.statuses[path, type(error).__name__] += 1
            return
        recorder.statuses[path, status] += 1
        if status == 503:
            recorder.refused.add(request_id)
        if status == 404:
            recorder.report('routes', f'{request_id} got 404 on {path}')
        if status != 200:
            return
        if answer != b'answer to ' + body:
            recorder.report(
                'whole answers', f'{request_id} got {answer[:80]!r}'
            )
        if headers.get(b'request-id', body) != body:
            recorder.report(
                'own answers', f'{request_id} got {headers[b"request-id"]!r}'
            )


class KeptCallers:
    """Send live calls on connections that are kept until the gateway closes.

    :param recorder: the :class:`~checks.Recorder`
    :param fleet: the :class:`~fleet.Fleet`
    """

    def __init__(self, recorder, fleet):
        self._recorder = recorder
        self._fleet = fleet
        self._numbers = itertools.count(1)

    async def run(self, stopping):
        """Send calls to some gateways until told to stop.

        :param stopping: event
        """
        async with asyncio.TaskGroup() as group:
            for name in self._fleet.gateways[:KEPT_GATEWAYS_MAX]:
                group.create_task(self._call_repeatedly(name, stopping))

    async def _call_repeatedly(self, name, stopping):
        client = None
        while not await is_set_within(stopping, KEPT_CALL_INTERVAL_S):
            client = await self._call(name, client)
        if client is not None:
            client.close()

    async def _call(self, name, client):
        """Send a call.

        :param client: the connection to use; None to open one
        :returns: the connection if it can be used again, else None
        """
        request_id = f'kept-{next(self._numbers)}'
        headers = (
            (b'Host', HOST),
            KEY,
            (b'Request-Id', request_id.encode()),
        )
        head = http.Head(b'POST', b'/live/a', headers)
        loop = asyncio.get_running_loop()
        started = loop.time()
        self._recorder.sent[request_id] = (name, started)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                if client is None:
                    client = await outgoing.connect(
                        self._fleet.get_http_address(name), 1.0
                    )
                client.send_request(head, b'lookup')
                response = await client.receive_head()
                await client.receive_body(1 << 20)
        except (errors.ProtocolError, TimeoutError) as error:
            self._recorder.statuses['kept', type(error).__name__] += 1
            if client is not None:
                client.close()
            if not isinstance(
                error, TimeoutError
            ) and not self._fleet.was_killed(name, started):
                self._recorder.unanswered[request_id] = name
            return None
        self._recorder.statuses['kept', response.status_code] += 1
        if http.find_header(response.headers, b'server-leaving'):
            self._recorder.departures_told[request_id] = loop.time()
        closes = http.find_header(response.headers, b'connection') or b''
        if client.reusable and b'close' not in closes.lower():
            return client
        client.close()
        return None


class RouteWatcher:
    """Checks that no gateway goes back to earlier routes.

    :param sender: the :class:`Sender`
    :param recorder: the :class:`~checks.Recorder`
    :param fleet: the :class:`~fleet.Fleet`
    """

    def __init__(self, sender, recorder, fleet):
        self._sender = sender
        self._recorder = recorder
        self._fleet = fleet
        self._numbers = itertools.count(1)
        # Newest version that each gateway has used, even before a restart.
        self._newest = dict.fromkeys(fleet.gateways, 0)

    async def run(self, stopping):
        """Ask each gateway in turn until told to stop.

        :param stopping: event
        """
        for name in itertools.cycle(self._fleet.gateways):
            version = self._fleet.routes_version
            if await self._has_route(name, version):
                self._newest[name] = version
            # The newest version has no route of the one before the last.
            gone = self._newest[name] - 2
            if gone >= 0 and await self._has_route(name, gone):
                self._recorder.report(
                    'routes never go back',
                    f'{name} used version {self._newest[name]}, '
                    f'then a route of version {gone}',
                )
            if await is_set_within(stopping, ROUTE_INTERVAL_S):
                return

    async def _has_route(self, name, version):
        """Return whether a gateway answers on the route of a version."""
        request_id = f'versioned-{next(self._numbers)}'
        try:
            status, _, _ = await self._sender.send(
                b'POST', f'/v{version}/a', b'lookup', request_id, name
            )
        except (errors.ProtocolError, TimeoutError) as error:
            status = type(error).__name__
        self._recorder.statuses['versioned', status] += 1
        return status == 200


async def is_set_within(event, timeout_s):
    """Return whether an event is set within some seconds."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
