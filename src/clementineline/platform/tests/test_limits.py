"""Endpoints that name the requests a second which they take from everybody.

Each test counts all requests that reach such an endpoint, probes and orders
included, and compares them with what its limit allows in a few seconds.
"""

import asyncio
import collections
import itertools
import json

import pytest

from clementineline.coordination import members
from clementineline.coordination import ratelimits
from clementineline.coordination import rendezvous
from clementineline.platform.tests import standin

WINDOW_S = 4.0
# The rule allows this multiple of the limit, and some more requests.
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
# Time for all processes to get a first response, which names the limit.
NOTICE_S = 1.0


def count_allowed(limit):
    """Return how many requests may arrive within ``WINDOW_S``."""
    return ALLOWED_FACTOR * limit * WINDOW_S + ALLOWED_EXTRA


def count_busiest(server, since):
    """Return the most requests that arrived within ``WINDOW_S``.

    :param since: loop time from which requests are counted, in seconds
    """
    window = collections.deque()
    most = 0
    for time in server.arrivals:
        if time < since:
            continue
        window.append(time)
        while time - window[0] > WINDOW_S:
            window.popleft()
        most = max(most, len(window))
    return most


class Load:
    """Sends requests to gateways at a steady rate.

    :ivar outcomes: ``(status, headers, seconds)`` of each request
    """

    def __init__(self, deployment):
        self._deployment = deployment
        self._numbers = itertools.count()
        self.outcomes = []

    async def _send(self, gateway, path, headers):
        loop = asyncio.get_running_loop()
        started = loop.time()
        request_id = b'load-%d' % next(self._numbers)
        status, found, _ = await self._deployment.call(
            gateway,
            'POST',
            path,
            ((b'Request-Id', request_id), (b'Timeout-Ms', b'800'), *headers),
            b'lookup',
        )
        self.outcomes.append((status, dict(found), loop.time() - started))

    async def run(self, path, rate, duration_s, headers=()):
        """Send requests to the gateways in turn for some time.

        :param rate: requests a second
        """
        gateways = list(self._deployment.gateways.values())
        loop = asyncio.get_running_loop()
        started = loop.time()
        async with asyncio.TaskGroup() as group:
            for number in range(int(rate * duration_s)):
                await asyncio.sleep(started + number / rate - loop.time())
                gateway = gateways[number % len(gateways)]
                group.create_task(self._send(gateway, path, headers))

    def list_statuses(self):
        return [status for status, _, _ in self.outcomes]


@pytest.fixture
async def fleet(served, wait_until):
    """Start two more gateways and another endpoint of the plain service."""
    await served.start_server('i-desk2', 'desk')
    for number in (2, 3):
        await served.start_gateway(f'gateway-{number}')
    processes = [*served.gateways.values(), *served.keepers.values()]

    def all_know_each_other():
        for process in processes:
            if len(process._members.addresses) < len(processes) - 1:
                return False
        return True

    await wait_until(
        lambda: all(gate.is_ready for gate in served.gateways.values())
    )
    for process in processes:
        await process._members.refresh()
    await wait_until(all_know_each_other)
    return served


@pytest.fixture
def load(fleet):
    return Load(fleet)


def get_loop_time():
    return asyncio.get_running_loop().time()


class TestRequestsOfAllProcesses:
    """An endpoint gets no more than its limit allows from all processes."""

    async def test_live_calls(self, fleet, load):
        desk = fleet.servers['i-desk']
        desk.rate_limit = 2.0
        since = get_loop_time() + NOTICE_S
        await load.run('/live/a', 40, NOTICE_S + WINDOW_S + 1)
        assert count_busiest(desk, since) <= count_allowed(2.0)
        assert set(load.list_statuses()) == {200}

    async def test_repeats_after_failures(self, fleet, load):
        desk = fleet.servers['i-desk']
        desk.rate_limit = 2.0
        fleet.servers['i-desk2'].fail_next = 10_000
        since = get_loop_time() + NOTICE_S
        await load.run('/live/a', 40, NOTICE_S + WINDOW_S + 1)
        assert count_busiest(desk, since) <= count_allowed(2.0)

    async def test_streams(self, fleet, load, wait_until):
        manifest = standin.build_manifest(2)
        manifest['routes'].append(
            {
                'name': 'r-stream',
                'host': 'shop.example',
                'pathPrefix': '/stream/',
                'kind': 'stream',
                'timeoutMs': 800,
                'targetLatencyMs': 190,
                'service': 'lm',
                'maxAttempts': 2,
                'resumable': True,
            }
        )
        fleet.store.put('config', 'main', manifest)
        for gateway in fleet.gateways.values():
            await wait_until(
                lambda gate=gateway: gate._routes.table.version == 2
            )
        engine = fleet.servers['i-lm0']
        engine.rate_limit = 2.0
        since = get_loop_time() + NOTICE_S
        await load.run(
            '/stream/a', 40, NOTICE_S + WINDOW_S + 1, ((b'Model', b'm0'),)
        )
        assert count_busiest(engine, since) <= count_allowed(2.0)
        assert set(load.list_statuses()) == {200}

    async def test_items_with_probes_and_orders(self, fleet):
        """A step of many short items while versions load."""
        gateway = fleet.gateways['gateway-1']
        for name in ('i-lm0', 'i-lm1'):
            fleet.servers[name].rate_limit = 3.0
            fleet.servers[name].gap_s = 0.05
            fleet.servers[name].slowness = 2.5
        since = get_loop_time() + NOTICE_S
        for step in range(4):
            version = {'model': 'm0', 'version': step + 2}
            fleet.store.put('versions', 'm0', version)
            await fleet.submit(
                gateway,
                f's{step}',
                items=16,
                step=step,
                minVersion=step + 2,
            )
            await asyncio.sleep(1.5)
        engines = [fleet.servers[name] for name in ('i-lm0', 'i-lm1')]
        for engine in engines:
            assert count_busiest(engine, since) <= count_allowed(3.0)
        assert any(engine.orders for engine in engines)
        for step in range(4):
            results = await fleet.read_all(gateway, f's{step}', 1)
            assert results[0]['state'] == 'completed'

    async def test_version_is_loaded_within_a_low_limit(
        self, fleet, wait_until
    ):
        """Reports must not use up the permits of the order and the items."""
        gateway = fleet.gateways['gateway-1']
        engines = [fleet.servers[name] for name in ('i-lm0', 'i-lm1')]
        for engine in engines:
            engine.rate_limit = 1.0
        since = get_loop_time() + NOTICE_S
        fleet.store.put('versions', 'm0', {'model': 'm0', 'version': 2})
        await fleet.submit(gateway, 's1', items=8, minVersion=2)
        await wait_until(
            lambda: sum(len(engine.orders) for engine in engines) == 1, 6.0
        )
        async with asyncio.timeout(8.0):
            results = await fleet.read_all(gateway, 's1', 2)
        assert results[0]['versions'] == [2]
        for engine in engines:
            assert count_busiest(engine, since) <= count_allowed(1.0)

    async def test_reward_calls_beside_live_calls(self, fleet, load):
        desks = [fleet.servers['i-desk'], fleet.servers['i-desk2']]
        for desk in desks:
            desk.rate_limit = 3.0
        since = get_loop_time() + NOTICE_S
        gateway = fleet.gateways['gateway-1']
        await fleet.submit(gateway, 's1', items=40, scored=True)
        await load.run('/live/a', 10, NOTICE_S + WINDOW_S + 1)
        for desk in desks:
            assert count_busiest(desk, since) <= count_allowed(3.0)
        answered = load.list_statuses().count(200)
        # Live calls go before reward calls: they get most of both limits.
        assert answered >= 0.5 * 2 * 3.0 * WINDOW_S
        _, page = await fleet.read(gateway, 's1')
        assert page['results']

    async def test_new_process_joins_while_the_limit_holds(self, fleet, load):
        desk = fleet.servers['i-desk']
        desk.rate_limit = 2.0
        since = get_loop_time() + NOTICE_S
        await load.run('/live/a', 40, NOTICE_S + 1)
        await fleet.start_gateway('gateway-4')
        await load.run('/live/a', 40, WINDOW_S)
        assert count_busiest(desk, since) <= count_allowed(2.0)

    @pytest.mark.parametrize('store_down_s', [0.0, 0.9])
    async def test_restarted_leader_has_many_reward_calls_due(
        self, fleet, wait_until, monkeypatch, store_down_s
    ):
        """The texts of a step were complete when its leader was killed."""
        # After an outage, texts are gathered from the members at once.
        monkeypatch.setattr(members, 'REGISTER_RETRY_S', 0.1)
        # Each keeper, the killed one too, divides the limit of one of them.
        await fleet.start_server('i-desk3', 'desk')
        desks = [
            fleet.servers[name] for name in ('i-desk', 'i-desk2', 'i-desk3')
        ]
        keepers = sorted(fleet.keepers)
        issuers = {rendezvous.rank(desk.name, keepers)[0] for desk in desks}
        assert issuers == set(keepers)
        for desk in desks:
            desk.rate_limit = 1.0
            entry = {**desk.describe('desk'), 'slots': 64}
            fleet.store.put('servers', desk.name, entry)
        leader = fleet.find_leader()
        gateway = fleet.gateways['gateway-1']
        since = get_loop_time() + NOTICE_S
        await fleet.submit(gateway, 's1', items=60, scored=True)
        owner = fleet.keepers[leader]._owner
        await wait_until(
            lambda: (
                's1' in owner.open_submissions
                and owner.open_submissions['s1'].runs
                and all(
                    run.whole
                    for run in owner.open_submissions['s1'].runs.values()
                )
            )
        )
        await asyncio.sleep(NOTICE_S)
        # The process that was killed finds its own lease at its restart.
        await fleet.keepers.pop(leader)._tasks.stop()
        fleet.store.down = store_down_s > 0
        await fleet.start_keeper(leader)
        await asyncio.sleep(store_down_s)
        fleet.store.down = False
        await wait_until(lambda: fleet.find_leader() == leader)
        await asyncio.sleep(WINDOW_S)
        for desk in desks:
            assert count_busiest(desk, since) <= count_allowed(1.0)

    async def test_new_process_asks_a_bounded_number_of_others(
        self, fleet, monkeypatch
    ):
        """Connections to all keepers would grow with the fleet."""
        gateway = fleet.gateways['gateway-1']
        names = [f'keeper-{number}' for number in range(50)]
        names += [f'gateway-{number}' for number in range(50)]
        gateway._members.addresses = dict.fromkeys(names, '')
        gateway._members.keepers = set(names[:50])
        asked = []

        async def note(name, question, timeout_s):
            asked.append(name)

        monkeypatch.setattr(
            ratelimits.RateLimits, '_ask_member', staticmethod(note)
        )
        await gateway._limits.gather()
        assert 2 <= len(asked) <= 10
        assert len(asked) == len(set(asked))

    async def test_all_keepers_restart_while_no_endpoint_is_asked(
        self, fleet, load, wait_until
    ):
        """Only the gateways still know the limits."""
        fleet.servers['i-desk'].rate_limit = 2.0
        await load.run('/live/a', 40, 1.0)
        names = sorted(fleet.keepers)
        for name in names:
            await fleet.keepers.pop(name)._tasks.stop()
        for name in names:
            await fleet.start_keeper(name)
        for keeper in fleet.keepers.values():
            await wait_until(keeper._limits.list_limited, 0.8)
            limited = keeper._limits.list_limited()
            assert [state.id for state in limited] == ['i-desk']

    @pytest.mark.parametrize('name', ['gateway-3', 'keeper-1', 'keeper-2'])
    async def test_silent_process_is_told_once_it_answers_again(
        self, fleet, load, wait_until, name
    ):
        """It was paused when the endpoints first named their limits."""
        desks = [fleet.servers['i-desk'], fleet.servers['i-desk2']]
        paused = fleet.gateways.pop(name, None) or fleet.keepers[name]
        answer = paused._answer_about_limits
        paused._answer_about_limits = lambda question: asyncio.sleep(60)
        for desk in desks:
            desk.rate_limit = 4.0
        await load.run('/live/a', 40, 1.0)
        paused._answer_about_limits = answer
        await wait_until(lambda: len(paused._limits.list_limited()) == 2, 5.0)

    async def test_keeper_asks_for_limits_again_before_it_leads(
        self, fleet, load, wait_until
    ):
        """It missed the limits although it has run for long."""
        fleet.servers['i-desk'].rate_limit = 4.0
        await load.run('/live/a', 40, 1.0)
        former = fleet.find_leader()
        (name,) = fleet.keepers.keys() - {former}
        keeper = fleet.keepers[name]
        keeper._directory.endpoints['i-desk'].limit = None
        await fleet.keepers.pop(former)._tasks.stop()
        await wait_until(lambda: fleet.find_leader() == name, 15.0)
        limited = keeper._limits.list_limited()
        assert [state.id for state in limited] == ['i-desk']

    @pytest.mark.parametrize(
        'name',
        ['gateway-1', 'gateway-2', 'gateway-3', 'keeper-1', 'keeper-2'],
    )
    async def test_any_process_falls_silent(self, fleet, load, name):
        """Whichever process divides the limit, its loss leaves it kept."""
        desks = [fleet.servers['i-desk'], fleet.servers['i-desk2']]
        for desk in desks:
            desk.rate_limit = 4.0
        since = get_loop_time() + NOTICE_S
        await load.run('/live/a', 40, NOTICE_S + 1)
        gone = fleet.gateways.pop(name, None) or fleet.keepers[name]
        gone._answer_about_limits = lambda question: asyncio.sleep(60)
        before = len(load.outcomes)
        await load.run('/live/a', 40, WINDOW_S)
        for desk in desks:
            assert count_busiest(desk, since) <= count_allowed(4.0)
        later = load.list_statuses()[before:]
        assert later.count(200) >= 0.3 * 2 * 4.0 * WINDOW_S


class TestWhatCallersGet:
    """Callers are served elsewhere, or refused at once and truthfully."""

    async def test_call_beyond_all_limits_is_refused_at_once(
        self, fleet, load
    ):
        desks = [fleet.servers['i-desk'], fleet.servers['i-desk2']]
        for desk in desks:
            desk.rate_limit = 1.0
        await load.run('/live/a', 40, 3.0)
        refused = [found for found in load.outcomes if found[0] == 503]
        assert refused
        assert set(load.list_statuses()) == {200, 503}
        ran = sum(len(desk.runs) for desk in desks)
        assert ran == load.list_statuses().count(200)
        for _, headers, took_s in refused:
            assert took_s < 0.19
            assert 0 < float(headers[b'retry-after']) <= 3.0

    async def test_busy_endpoint_without_a_limit_takes_the_call(
        self, fleet, load
    ):
        """Five others refuse for their limits before it is chosen."""
        for number in range(3, 7):
            await fleet.start_server(f'i-desk{number}', 'desk')
        *limited, free = [
            server
            for name, server in sorted(fleet.servers.items())
            if name.startswith('i-desk')
        ]
        for server in limited:
            server.rate_limit = 0.0
        await load.run('/live/a', 40, 2.0)
        for gateway in fleet.gateways.values():
            state = gateway._directory.endpoints[free.name]
            state.in_flight = 3 * state.record.slots
        before = len(load.outcomes)
        await load.run('/live/a', 20, 1.0)
        assert set(load.list_statuses()[before:]) == {200}

    async def test_traffic_returns_after_the_limit(self, fleet, load):
        desk = fleet.servers['i-desk']
        desk.rate_limit = 2.0
        await load.run('/live/a', 40, 2.0)
        desk.rate_limit = None
        await load.run('/live/a', 40, 1.0)
        before = len(desk.arrivals)
        await load.run('/live/a', 40, 1.0)
        assert len(desk.arrivals) - before >= 10

    async def test_endpoint_that_takes_nothing_is_hardly_asked(
        self, fleet, load
    ):
        desk = fleet.servers['i-desk']
        desk.rate_limit = 0.0
        since = get_loop_time() + NOTICE_S
        await load.run('/live/a', 40, NOTICE_S + WINDOW_S)
        assert count_busiest(desk, since) <= ALLOWED_EXTRA
        assert set(load.list_statuses()) == {200}

    async def test_restarted_endpoint_is_not_limited(self, fleet, load):
        desk = fleet.servers['i-desk']
        desk.rate_limit = 0.0
        await load.run('/live/a', 40, 1.0)
        desk.rate_limit = None
        entry = {**desk.describe('desk'), 'born': 1700000009000}
        fleet.store.put('servers', 'i-desk', json.loads(json.dumps(entry)))
        await asyncio.sleep(0.3)
        before = len(desk.arrivals)
        await load.run('/live/a', 40, 1.0)
        assert len(desk.arrivals) - before >= 10
