"""Callers and trainers of a soak, and what they must never see."""

import asyncio
import base64
import collections
import dataclasses
import itertools
import json

from clementineline import errors
from clementineline.transport import http
from clementineline.transport import outgoing

__all__ = [
    'Callers',
    'Limit',
    'Recorder',
    'RouteWatcher',
    'Sender',
    'Trainer',
]

HOST = b'shop.example'
CALL_TIMEOUT_S = 4.0
CALL_INTERVAL_S = 0.04
SUBMIT_INTERVAL_S = 1.0
ITEMS_PER_SUBMISSION = 8
READ_INTERVAL_S = 0.1
# Time until some trainers begin to read.
LATE_READ_S = 5.0
# Time after which a result that was read is listed by all gateways.
SETTLE_S = 1.0
# Time after the last fault within which accepted work must be complete.
COMPLETION_LIMIT_S = 30.0
# A limit is kept from this time after it was first named.
LIMIT_NOTICE_S = 3.0
LIMIT_WINDOW_S = 4.0
EVENTS = 'e1\ne2\ne3'


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """A limit that an endpoint named for some time.

    :param server: the :class:`~fleet.SoakServer`
    :param rate: requests a second
    :param started: loop time of its start, in seconds
    :param ended: loop time of its end, in seconds
    """

    server: object
    rate: float
    started: float
    ended: float


class Recorder:
    """Violations of promises, and the outcomes that they are found in.

    :ivar violations: texts
    :ivar statuses: number of responses to calls by kind and status
    :ivar refused: ids of the requests that were refused as not run
    :ivar limits: each :class:`Limit` that has ended
    """

    def __init__(self):
        self.limits = []
        self.violations = []
        self.statuses = collections.Counter()
        self.refused = set()
        self.unsafe_ids = set()

    def report(self, promise, text):
        self.violations.append(f'{promise}: {text}')

    def check_runs(self, servers):
        """Compare what ran at the endpoints with what callers were told."""
        runs = collections.Counter()
        for server in servers:
            runs.update(server.run_ids)
        for request_id in sorted(self.refused):
            if runs[request_id]:
                self.report(
                    'true not-run', f'{request_id} was refused, and ran'
                )
        for request_id in sorted(self.unsafe_ids):
            if runs[request_id] > 1:
                self.report(
                    'at most once',
                    f'{request_id} ran {runs[request_id]} times',
                )

    def check_limits(self):
        """Count all requests, of all processes, to endpoints with a limit."""
        for limit in self.limits:
            allowed = 1.5 * limit.rate * LIMIT_WINDOW_S + 5
            window = collections.deque()
            most = 0
            for time in limit.server.arrivals:
                if not limit.started + LIMIT_NOTICE_S < time < limit.ended:
                    continue
                window.append(time)
                while time - window[0] > LIMIT_WINDOW_S:
                    window.popleft()
                most = max(most, len(window))
            if most > allowed:
                self.report(
                    'limits',
                    f'{limit.server.name} got {most} requests in '
                    f'{LIMIT_WINDOW_S} s, {allowed:.1f} allowed',
                )

    def check_orders(self, servers):
        """Check that no order of an earlier leader follows a later one's."""
        for server in servers:
            if server.fences != sorted(server.fences):
                self.report(
                    'one leader', f'{server.name} got fences {server.fences}'
                )


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
        headers = [(b'Host', HOST)]
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
    :param recorder: the :class:`Recorder`
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


class RouteWatcher:
    """Checks that no gateway goes back to earlier routes.

    :param sender: the :class:`Sender`
    :param recorder: the :class:`Recorder`
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
            if await _is_set_within(stopping, READ_INTERVAL_S):
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


class Trainer:
    """Submits batches and reads their results from any gateway.

    :param sender: the :class:`Sender`
    :param recorder: the :class:`Recorder`
    :param fleet: the :class:`~fleet.Fleet`
    :param rng: random number generator
    """

    def __init__(self, sender, recorder, fleet, rng):
        self._sender = sender
        self._recorder = recorder
        self._fleet = fleet
        self._rng = rng
        # Results of the complete submissions, in order.
        self._listed = {}
        self.completed = 0
        self.accepted = 0

    async def run(self, stopping):
        """Submit until told to stop, then wait for all results."""
        tasks = []
        for number in itertools.count():
            tasks.append(asyncio.create_task(self._follow(number)))
            if await _is_set_within(stopping, SUBMIT_INTERVAL_S):
                break
        _, pending = await asyncio.wait(tasks, timeout=COMPLETION_LIMIT_S)
        for task in pending:
            task.cancel()
        for task in tasks:
            if task in pending:
                continue
            task.result()
        await asyncio.gather(*pending, return_exceptions=True)

    async def _follow(self, number):
        submission_id = f's{number}'
        listed = []
        accepted = False
        try:
            await self._submit(submission_id, number)
            accepted = True
            self.accepted += 1
            if number % 2:
                # Without reads, the owner learns of late writes only from
                # its next one.
                await asyncio.sleep(LATE_READ_S)
            while len(listed) < ITEMS_PER_SUBMISSION:
                results = await self._list_results(submission_id, len(listed))
                listed.extend(results or ())
                await asyncio.sleep(READ_INTERVAL_S)
            await self._read_again(submission_id, listed)
            self._listed[submission_id] = listed
            self.completed += 1
        except asyncio.CancelledError:
            if accepted:
                self._recorder.report(
                    'nothing lost after 202',
                    f'{submission_id} has {len(listed)} results of '
                    f'{ITEMS_PER_SUBMISSION}',
                )
            raise
        self._check_items(submission_id, listed)

    async def read_all_again(self):
        """Read the results of all complete submissions once more.

        :raises TimeoutError: if they are not all readable in time
        """
        async with asyncio.timeout(COMPLETION_LIMIT_S):
            for submission_id, listed in self._listed.items():
                await self._read_again(submission_id, listed)

    async def _read_again(self, submission_id, listed):
        """Check that any gateway lists the same results from the start.

        The owner may not know at once of what others read from the ledger.
        """
        loop = asyncio.get_running_loop()
        settled_at = loop.time() + SETTLE_S
        while True:
            asked_at = loop.time()
            results = await self._list_results(submission_id, 0)
            if results == listed:
                return
            if results is not None and (
                asked_at > settled_at or results != listed[: len(results)]
            ):
                self._recorder.report(
                    'results in place',
                    f'{submission_id} had results {_list_ids(listed)}, '
                    f'then {_list_ids(results)}',
                )
                return
            await asyncio.sleep(READ_INTERVAL_S)

    async def _submit(self, submission_id, number):
        items = []
        for index in range(ITEMS_PER_SUBMISSION):
            item = {
                'id': f'{submission_id}-i{index}',
                'path': f'/batch/{index}',
                'headers': {'Model': 'm0', 'Length-Hint': '3'},
                'body': base64.b64encode(b'prompt').decode(),
                'tokens': 10,
                'group': f'g{index // 2}',
            }
            if number % 2:
                item['scorer'] = {
                    'id': f'{submission_id}-r{index}',
                    'host': HOST.decode(),
                    'path': '/live/score',
                    'body': base64.b64encode(b'reply').decode(),
                }
            items.append(item)
        body = {
            'step': number,
            'model': 'm0',
            'minVersion': 1,
            'desired': ITEMS_PER_SUBMISSION // 2,
            'items': items,
        }
        while True:
            try:
                status, _, _ = await self._sender.send(
                    b'POST',
                    f'/batch/{submission_id}',
                    json.dumps(body).encode(),
                    submission_id,
                )
            except (errors.ProtocolError, TimeoutError) as error:
                status = type(error).__name__
            self._recorder.statuses['submit', status] += 1
            if status == 202:
                return
            await asyncio.sleep(0.2)

    async def _list_results(self, submission_id, after):
        """Read results from a position on.

        :returns: list of them; None if there was no response
        """
        try:
            status, _, answer = await self._sender.send(
                b'GET', f'/api/lots/{submission_id}?after={after}'
            )
        except (errors.ProtocolError, TimeoutError) as error:
            status = type(error).__name__
        self._recorder.statuses['read', status] += 1
        if status == 404:
            self._recorder.report(
                'nothing lost after 202', f'{submission_id} is not found'
            )
        if status != 200:
            return None
        return json.loads(answer)['results']

    def _check_items(self, submission_id, listed):
        recorder = self._recorder
        counts = collections.Counter(result['id'] for result in listed)
        for item_id, count in counts.items():
            if count > 1:
                recorder.report('results once', f'{item_id}: {count} times')
        engines = self._fleet.servers.values()
        for result in listed:
            if result['state'] != 'completed':
                recorder.statuses['item', result['state']] += 1
                continue
            if result['text'] != EVENTS:
                recorder.report(
                    'whole texts', f'{result["id"]}: {result["text"]!r}'
                )
            used = set()
            for engine in engines:
                used |= engine.versions_used.get(result['id'], set())
            if not set(result['versions']) <= used:
                recorder.report(
                    'honest versions',
                    f'{result["id"]} names {result["versions"]}, '
                    f'engines used {sorted(used)}',
                )


def _list_ids(results):
    return [result['id'] for result in results]


async def _is_set_within(event, timeout_s):
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
