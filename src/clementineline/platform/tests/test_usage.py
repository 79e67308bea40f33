"""Reports of usage over the wire, with failures halfway.

Windows last a third of a second here. The tests count requests in the
gateways themselves, except for those of the forwarders.
"""

import asyncio
import collections
import functools
import time

import pytest

from clementineline.coordination import duties
from clementineline.coordination import usage
from clementineline.coordination import usagepush
from clementineline.coordination import usagereports
from clementineline.daemons import gateway as gateways
from clementineline import errors
from clementineline.platform.tests import dutyapi
from clementineline.platform.tests import standin
from clementineline.state import settings

WINDOW_S = 0.3
LATE_S = 4.0


class Traffic:
    """Requests of two organisations at all gateways of a deployment.

    :ivar truth: number of requests by window, by organisation
    :ivar paused: gateways that get no requests
    """

    def __init__(self, deployment):
        self._gateways = deployment.gateways
        self.truth = collections.defaultdict(collections.Counter)
        self.paused = set()
        self._task = asyncio.create_task(self._run())

    async def _run(self):
        for number in range(100_000):
            organisation = 'north' if number % 3 else 'south'
            for name, gateway in self._gateways.items():
                if name in self.paused:
                    continue
                now = time.time()
                gateway._usage_meter.count(organisation, now)
                self.truth[int(now // WINDOW_S)][organisation] += 1
            await asyncio.sleep(0.01)

    async def stop(self):
        """Stop, and return the last window with a request."""
        self._task.cancel()
        return max(self.truth)

    def list_late(self, api):
        """Return the windows since the first request that came too late."""
        first = min(self.truth)
        return [window for window in api.list_late() if window >= first]

    def list_wrong(self, api):
        """Return the windows whose reports differ from the truth."""
        wrong = {}
        for window, counts in api.reports.items():
            expected = dict(self.truth.get(window, {}))
            if counts != expected:
                wrong[window] = (counts, expected)
        return wrong


@pytest.fixture
async def api(deployment, log, monkeypatch):
    """Start the API, and make everything faster."""
    monkeypatch.setattr(usage, 'UNANSWERED_COUNT_S', 0.1)
    monkeypatch.setattr(usagepush, 'PUSH_INTERVAL_S', 0.1)
    monkeypatch.setattr(usagepush, 'BACKOFF_S', 0.2)
    monkeypatch.setattr(duties, 'CALL_TIMEOUT_S', 0.3)
    monkeypatch.setattr(usagereports, 'SEND_RETRY_MAX_S', 0.3)
    started = dutyapi.DutyApiStandIn(log, WINDOW_S, LATE_S, lease_s=0.1)
    await started.start()
    deployment.duties = settings.DutySettings(
        address=started.address,
        usage=True,
        window_s=WINDOW_S,
        late_s=LATE_S,
    )
    yield started
    await started.stop()
    assert started.violations == []


@pytest.fixture
async def metered(deployment, api, wait_until):
    """Start two gateways and two keepers that report usage."""
    await deployment.start_server('i-desk', 'desk')
    for name in ('gateway-1', 'gateway-2'):
        await deployment.start_gateway(name)
    await deployment.start_keeper('keeper-1')
    await wait_until(lambda: deployment.find_leader() == 'keeper-1')
    await deployment.start_keeper('keeper-2')
    keeper = deployment.keepers['keeper-2']
    await wait_until(lambda: len(keeper._members.addresses) == 3)
    for gateway in deployment.gateways.values():
        await gateway._members.refresh()
    await deployment.keepers['keeper-1']._members.refresh()
    return deployment


@pytest.fixture
async def traffic(metered):
    started = Traffic(metered)
    yield started
    await started.stop()


async def never_answer(question):
    """Leave a question without an answer."""
    await asyncio.sleep(60)


async def kill(process):
    """End a process without a word to others."""

    process._answer = never_answer
    process._stopping = True
    await process._tasks.stop()


async def never_push(pusher):
    """Push nothing, as between two intervals."""


def read_shifted_time(shift_s):
    return time.time() + shift_s


class TestReports:
    async def test_each_window_has_the_exact_counts(
        self, metered, api, traffic, wait_until
    ):
        # The report of a handful of requests has to be exact.
        await asyncio.sleep(1.5)
        last = await traffic.stop()
        await wait_until(lambda: last + 2 in api.reports)
        assert traffic.list_wrong(api) == {}
        assert api.reports[last + 2] == {}
        assert list(api.reports) == sorted(api.reports)
        assert (api.list_gaps(), traffic.list_late(api)) == ([], [])
        ages = [
            at - (window + 1) * WINDOW_S
            for window, at in api.report_times.items()
        ]
        assert min(ages) > 0

    async def test_attempts_of_calls_are_counted(
        self, metered, api, wait_until
    ):
        # Refusals are free, and an attempt after a failure costs again.
        gateway = metered.gateways['gateway-1']
        manifest = standin.build_manifest(
            2, tenants=[{'name': 'north', 'apiKeys': ['n1']}]
        )
        metered.store.put('config', 'main', manifest)
        await wait_until(lambda: gateway._routes.table.version == 2)
        await wait_until(lambda: gateway.is_ready)
        server = metered.servers['i-desk']
        for number, shed in enumerate((False, True, False)):
            server.shed = shed
            status, _, _ = await metered.call(
                gateway,
                'POST',
                '/live/a',
                ((b'Request-Id', b'r%d' % number), (b'Api-Key', b'n1')),
            )
            assert status == (503 if shed else 200)
        await wait_until(lambda: api.sum_reports() == {'north': 2})
        await asyncio.sleep(2 * WINDOW_S)
        assert api.sum_reports() == {'north': 2}

    async def test_stopped_gateway_states_its_last_requests(
        self, metered, api, wait_until, monkeypatch
    ):
        # The requests of its last second were lost with each planned stop.
        gateway = metered.gateways['gateway-1']
        monkeypatch.setattr(gateways, 'ROTATION_EXIT_S', 0.3)
        stopping = asyncio.create_task(gateway.stop())
        await asyncio.sleep(0.1)
        # The last second, in which nothing is pushed or asked for.
        monkeypatch.setattr(usagepush.UsagePusher, 'push', never_push)
        gateway._answer = never_answer
        now = time.time()
        gateway._usage_meter.count('north', now)
        window = int(now // WINDOW_S)
        await stopping
        await wait_until(lambda: window in api.reports)
        assert api.reports[window] == {'north': 1}
        age_s = api.report_times[window] - (window + 1) * WINDOW_S
        assert age_s < 0.7 * LATE_S


class TestFailures:
    async def test_leader_killed_between_fixing_and_sending(
        self, metered, api, traffic, wait_until
    ):
        # A successor that counts again reports other counts.
        await wait_until(lambda: api.reports)
        api.down = True
        leader = metered.keepers['keeper-1']
        reporter = leader._duties._reporter
        sent = reporter._next_sent
        await wait_until(lambda: reporter.fixed_through > sent + 1)
        fixed = dict(reporter._fixed.windows)
        await kill(leader)
        for gateway in metered.gateways.values():
            gateway._usage_meter.count('north', sent * WINDOW_S)
        api.down = False
        await wait_until(lambda: max(fixed) + 1 in api.reports)
        assert api.calls[-1][1] == 'keeper-2'
        for window, counts in fixed.items():
            assert api.reports.get(window, counts) == counts
        assert api.list_gaps() == []

    async def test_leader_killed_after_a_report_without_an_answer(
        self, metered, api, traffic, wait_until
    ):
        # The successor cannot know of the report and must repeat it exactly.
        await wait_until(lambda: api.reports)
        api.lose_answers = 100
        count = len(api.reports)
        await wait_until(lambda: len(api.reports) > count)
        await kill(metered.keepers['keeper-1'])
        api.lose_answers = 0
        last = await traffic.stop()
        await wait_until(lambda: last in api.reports)
        assert traffic.list_wrong(api) == {}
        assert (api.list_gaps(), traffic.list_late(api)) == ([], [])

    async def test_gateway_killed(self, metered, api, traffic, wait_until):
        # Its windows wait for it in vain, and what it stated must count.
        await wait_until(lambda: api.reports)
        traffic.paused.add('gateway-1')
        await asyncio.sleep(0.25)
        await kill(metered.gateways['gateway-1'])
        await asyncio.sleep(1.0)
        last = await traffic.stop()
        await wait_until(lambda: last in api.reports)
        assert traffic.list_wrong(api) == {}
        assert (api.list_gaps(), traffic.list_late(api)) == ([], [])

    async def test_leader_killed_before_fixing(
        self, metered, api, traffic, wait_until
    ):
        # Counts that only the leader had are still held by the gateways.
        await wait_until(lambda: api.reports)
        await kill(metered.keepers['keeper-1'])
        await asyncio.sleep(0.3)
        last = await traffic.stop()
        await wait_until(lambda: last in api.reports)
        assert traffic.list_wrong(api) == {}
        assert (api.list_gaps(), traffic.list_late(api)) == ([], [])

    async def test_clock_of_a_gateway_is_a_second_off(
        self, metered, api, wait_until
    ):
        # A window that is fixed by the leader's clock lacks the last requests
        # of a gateway whose clock is behind.
        truth = collections.Counter()
        for name, shift_s in (('gateway-1', 1.0), ('gateway-2', -1.0)):
            meter = metered.gateways[name]._usage_meter
            meter._read_time_of_day = functools.partial(
                read_shifted_time, shift_s
            )
        for _ in range(100):
            for gateway in metered.gateways.values():
                now = gateway._usage_meter._read_time_of_day()
                gateway._usage_meter.count('north', now)
                truth[int(now // WINDOW_S)] += 1
            await asyncio.sleep(0.01)
        await wait_until(lambda: max(truth) in api.reports)
        for window, count in truth.items():
            assert api.reports[window] == {'north': count}
        assert api.list_gaps() == []

    async def test_api_down_for_several_windows(
        self, metered, api, traffic, wait_until
    ):
        # Windows that could not be sent come later, in order, and unchanged.
        await wait_until(lambda: min(traffic.truth) in api.reports)
        api.down = True
        await asyncio.sleep(5 * WINDOW_S)
        api.down = False
        api.refuse_next = 2
        api.delay_s = 0.1
        last = await traffic.stop()
        await wait_until(lambda: last in api.reports)
        assert traffic.list_wrong(api) == {}
        assert list(api.reports) == sorted(api.reports)
        assert (api.list_gaps(), traffic.list_late(api)) == ([], [])

    async def test_store_down_for_several_windows(
        self, metered, api, traffic, wait_until
    ):
        # Nothing is sent that is not fixed, and nothing is lost.
        await wait_until(lambda: api.reports)
        metered.store.down = True
        await asyncio.sleep(0.5)
        count = len(api.reports)
        await asyncio.sleep(5 * WINDOW_S)
        assert len(api.reports) <= count + 1
        metered.store.down = False
        last = await traffic.stop()
        await wait_until(lambda: last in api.reports)
        assert traffic.list_wrong(api) == {}
        assert api.list_gaps() == []

    async def test_two_leaders(
        self, metered, api, traffic, wait_until, monkeypatch
    ):
        # A leader that was frozen with unsent windows sent them with its old
        # token, after its successor.
        await wait_until(lambda: api.reports)
        api.down = True
        reporter = metered.keepers['keeper-1']._duties._reporter
        sent = reporter._next_sent
        await wait_until(lambda: reporter.fixed_through > sent + 1)
        manager = metered.keepers['keeper-1']._lease
        awake = asyncio.Event()
        step = type(manager).step

        async def step_when_awake(stepping):
            if stepping is manager:
                await awake.wait()
            await step(stepping)

        monkeypatch.setattr(type(manager), 'step', step_when_awake)
        await wait_until(lambda: metered.find_leader() == 'keeper-2')
        api.down = False
        await wait_until(lambda: api.calls[-1][1] == 'keeper-2')
        await asyncio.sleep(3 * usagereports.SEND_RETRY_MAX_S)
        awake.set()
        last = await traffic.stop()
        await wait_until(lambda: last in api.reports)
        assert traffic.list_wrong(api) == {}
        assert api.calls[-1][1] == 'keeper-2'


class TestFixedUsage:
    async def test_window_is_never_overwritten(self, client):
        # Two leaders that fix one window with different counts break a rule
        # as soon as both are sent.
        first = usagereports.FixedUsage(client, 12)
        second = usagereports.FixedUsage(client, 12)
        await first.read()
        await second.read()
        await first.fix({7: {'north': 1}})
        with pytest.raises(errors.WriteConflict):
            await second.fix({7: {'north': 2}})
        assert not second.known
        await second.read()
        await second.fix({7: {'north': 2}, 8: {}})
        await first.read()
        assert first.windows == {7: {'north': 1}, 8: {}}

    async def test_write_without_an_answer_is_read_again(self, store, client):
        # Counts that changed after a write which took effect replace nothing.
        fixed = usagereports.FixedUsage(client, 12)
        await fixed.read()
        store.hold_writes = 1
        with pytest.raises(errors.AmbiguousWrite):
            await fixed.fix({7: {'north': 1}})
        assert (fixed.known, fixed.windows) == (False, {})
        await fixed.read()
        store.apply_held_writes()
        with pytest.raises(errors.WriteConflict):
            await fixed.fix({7: {'north': 2}})
        await fixed.read()
        assert fixed.windows == {7: {'north': 1}}

    async def test_object_of_another_writer(self, store, client):
        # An object that cannot be read would stop all reports.
        windows = {'7': {'north': 1}, 'x': {}, '8': [], '9': {'n': ''}}
        store.put('usage', 'fixed', {'windows': windows})
        fixed = usagereports.FixedUsage(client, 12)
        await fixed.read()
        assert fixed.windows == {7: {'north': 1}}


class TestAbandonedWindows:
    async def test_windows_of_a_long_outage_are_counted_once(
        self, store, client, clock, api, deployment, log
    ):
        # Each read of the object counted and logged them again.
        store.put('usage', 'fixed', {'windows': {'7': {}}})
        reporter = usagereports.UsageReporter(
            client,
            usage.UsageCollector(WINDOW_S, clock.now),
            None,
            None,
            None,
            deployment.duties,
            None,
            log,
            clock.now,
        )
        missing = []
        reporter.on_window = lambda outcome, count: missing.append(count)
        for _ in range(2):
            await reporter._fixed.read()
            reporter._plan()
        oldest = int((clock.now() - 3 * LATE_S) // WINDOW_S)
        assert missing == [oldest - 8]
        assert reporter.fixed_through == oldest - 1
