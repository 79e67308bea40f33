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
    'build_identity',
    'is_set_within',
]

HOST = b'shop.example'
CALL_TIMEOUT_S = 4.0
# Statuses that promise that a request has not run and never will.
REFUSALS = (408, 421, 429, 503)
CALL_INTERVAL_S = 0.04
KEPT_CALL_INTERVAL_S = 0.05
# Limit on the gateways that get calls on kept connections.
KEPT_GATEWAYS_MAX = 8
ROUTE_INTERVAL_S = 0.1
# One of this many calls has a wrong key.
WRONG_KEY_EVERY = 10
WRONG_KEY = 'key-of-nobody'


def build_identity(key):
    """Return the headers of a key, and a name that the caller made up."""
    return ((b'Api-Key', key.encode()), (b'Tenant', b'forged'))


class Sender:
    """Sends requests to gateways that are reachable.

    :param fleet: the :class:`~fleet.Fleet`
    :param rng: random number generator
    """

    def __init__(self, fleet, rng):
        self._fleet = fleet
        self._rng = rng

    @property
    def newest_version(self):
        """Version of the newest manifest."""
        return self._fleet.routes_version

    async def send(
        self, method, path, body=b'', request_id='', name=None, key=''
    ):
        """Send a request on a connection of its own.

        :param name: gateway to use; any if None
        :param key: key of an organisation
        :returns: ``(status, headers, body)``
        :raises errors.ProtocolError: if there is no complete response
        :raises TimeoutError: if there is none in time
        """
        name = name or self._rng.choice(self._fleet.gateways)
        headers = [(b'Host', HOST)]
        if request_id:
            headers.append((b'Request-Id', request_id.encode()))
        headers.extend(build_identity(key))
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
                    group.create_task(self._call(path, number))
                    await asyncio.sleep(CALL_INTERVAL_S)

    def _choose_key(self, number, request_id):
        """Return the key of a call, which may be that of a new manifest."""
        if number % WRONG_KEY_EVERY == 0:
            self._recorder.invalid_ids.add(request_id)
            return WRONG_KEY
        name = fleets.ORGANISATIONS[number // 2 % 2]
        self._recorder.organisations[request_id] = name
        return fleets.name_key(name, self._sender.newest_version)

    async def _call(self, path, number):
        recorder = self._recorder
        request_id = f'call-{number}'
        key = self._choose_key(number, request_id)
        if path.startswith('/order/'):
            recorder.unsafe_ids.add(request_id)
        body = request_id.encode()
        try:
            status, headers, answer = await self._sender.send(
                b'POST', path, body, request_id, key=key
            )
        except (errors.ProtocolError, TimeoutError) as error:
            recorder.statuses[path, type(error).__name__] += 1
            if 'no HTTP response: status' in str(error):
                recorder.report('defined statuses', f'{request_id}: {error}')
            return
        recorder.statuses[path, status] += 1
        if not 200 <= status <= 599:
            recorder.report('defined statuses', f'{request_id} got {status}')
        # What an endpoint has signed is no promise of the gateway, unless the
        # request must not be repeated.
        unsafe = request_id in recorder.unsafe_ids
        if status in REFUSALS and (unsafe or b'server-stamp' not in headers):
            recorder.refused.add(request_id)
        if status == 404:
            recorder.report('routes', f'{request_id} got 404 on {path}')
        if status == 401 and request_id not in recorder.invalid_ids:
            recorder.report('valid keys', f'{request_id} with {key} got 401')
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
        organisation = fleets.ORGANISATIONS[0]
        self._recorder.organisations[request_id] = organisation
        headers = (
            (b'Host', HOST),
            (b'Request-Id', request_id.encode()),
            *build_identity(fleets.name_key(organisation)),
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
    """Checks that no gateway goes back to earlier routes or keys.

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
            # It has no keys of the one before that.
            gone -= 1
            if gone > 0 and await self._has_route(
                name, self._newest[name], gone
            ):
                self._recorder.report(
                    'routes never go back',
                    f'{name} used version {self._newest[name]}, '
                    f'then a key of version {gone}',
                )
            if await is_set_within(stopping, ROUTE_INTERVAL_S):
                return

    async def _has_route(self, name, version, key_version=None):
        """Return whether a gateway answers on the route of a version.

        :param key_version: version of the key, None for one that all have
        """
        request_id = f'versioned-{next(self._numbers)}'
        organisation = fleets.ORGANISATIONS[1]
        self._recorder.organisations[request_id] = organisation
        key = fleets.name_key(organisation, key_version)
        try:
            status, _, _ = await self._sender.send(
                b'POST', f'/v{version}/a', b'lookup', request_id, name, key
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
