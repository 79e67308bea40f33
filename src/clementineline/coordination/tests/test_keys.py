"""Tests of calls with an idempotency key, which run at most once.

The caller may repeat a key through any entry. The call must not run a second
time when an entry, a home of the key or the endpoint fails or restarts
between the two requests, or when the roster changes.
"""

import asyncio

import msgspec
import pytest

from clementineline.coordination import endpoints
from clementineline.coordination import keys
from clementineline.coordination import requests
from clementineline.coordination import roster as rosters
from clementineline.coordination import routing
from clementineline.coordination import running
from clementineline import errors
from clementineline.protocol import messages
from clementineline.protocol import verdicts
from clementineline.state import configuration
from clementineline.state import records
from clementineline.state import settings


# Iterations of the event loop that replace the grace time of an Attach.
GRACE_ITERATIONS = 50


class FakeSidecar:
    """Key records and an endpoint of a sidecar, without a network.

    With ``hold`` set, the endpoint runs a dispatched call but sends no Done.
    """

    def __init__(self, member, clock):
        self.member = member
        self.records = records.KeyRecords(clock, 600.0, 100_000)
        self.roster = 1
        self.silent = False
        self.runs = []
        self.tombstones = set()
        self.done = {}
        self.hold = False

    def receive(self, reply, body):
        if self.silent:
            return
        if isinstance(body, messages.KeyClaim):
            if body.roster != self.roster:
                reply(
                    messages.KeyAnswer(
                        body.call_id, 'refused', None, 'roster differs'
                    )
                )
                return
            reply(self.records.claim(body))
        elif isinstance(body, messages.KeySettle):
            self.records.settle(body)
        elif isinstance(body, messages.Dispatch):
            self._run(reply, body)
        elif isinstance(body, messages.Attach):
            self._attach(reply, body)

    def _run(self, reply, body):
        if body.id in self.tombstones:
            reply(messages.Done(body.id, 'not-run', 'refused before'))
            return
        self.runs.append(body.work.body)
        number = len(self.runs)
        done = messages.Done(body.id, 'answered', body=b'run %d' % number)
        self.done[body.id] = done
        if not self.hold:
            reply(done)

    def _attach(self, reply, body, iterations=GRACE_ITERATIONS):
        if body.id not in self.done and iterations:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._attach, reply, body, iterations - 1)
            return
        if body.id not in self.done:
            self.tombstones.add(body.id)
            reply(messages.Done(body.id, 'not-run', 'never arrived'))
            return
        reply(self.done[body.id])


class FakeSession:
    """Session of an entry's endpoint with a :class:`FakeSidecar`."""

    def __init__(self, sidecar, deliver):
        self.sidecar = sidecar
        self.connected = True
        self.peer = sidecar.member
        self._deliver = deliver

    def send(self, body):
        self.sidecar.receive(self._deliver, body)


class FakeEntry:
    """An entry's :class:`keys.KeyedCalls`, with fake sidecars.

    Several entries of a test share the sidecars.
    """

    def __init__(self, name, sidecars, clock, decision_log):
        self.configuration = configuration.Configuration()
        self.pending = keys.PendingAnswers()
        self.name = name
        policy = settings.PolicySettings()
        router = routing.Router(policy, clock, decision_log, lambda _: 1.0)
        runner = running.RequestRunner(
            router, policy, clock, decision_log, None, 30.0
        )
        self.endpoints = {}
        for sidecar in sidecars.values():
            self._connect(sidecar, router, clock)
        self.calls = keys.KeyedCalls(
            runner,
            router,
            self.configuration,
            self.endpoints.get,
            self.pending,
            clock,
            decision_log,
        )
        self._number = 0

    def _connect(self, sidecar, router, clock):
        endpoint = endpoints.Endpoint(sidecar.member, clock)

        def deliver(body):
            if isinstance(body, messages.KeyAnswer):
                loop = asyncio.get_running_loop()
                loop.call_soon(self.pending.resolve, body)
                return
            endpoint.handle_event(body)

        endpoint.session = FakeSession(sidecar, deliver)
        report = messages.Report(8, {}, 0, -1, -1, False, 0, 'ready')
        endpoint.handle_report(report)
        self.endpoints[endpoint.name] = endpoint
        if sidecar.member.serves == 'desk':
            router.add_endpoint(endpoint)

    def adopt(self, roster):
        value = msgspec.Raw(msgspec.msgpack.encode(roster))
        self.configuration.adopt(
            messages.ConfigurationDelta(
                0,
                roster.version,
                [messages.Change('roster', roster.version, value)],
            )
        )

    async def call(self, key='desk/k', body=b'eel'):
        self._number += 1
        work = messages.Call('desk', 'POST', 'orders', [], body, False)
        request = requests.CallRequest(f'{self.name}-{self._number}', work)
        return await self.calls.call(key, body.decode(), request)


NAMES = ('home-1', 'home-2', 'home-3', 'home-4', 'desk-1')


@pytest.fixture
def sidecars(build_member, clock):
    found = {}
    for number, name in enumerate(NAMES):
        serves = 'desk' if name.startswith('desk') else 'other'
        member = build_member(
            name,
            kind='service',
            serves=serves,
            availability_zone=f'zone-{number % 2}',
        )
        found[name] = FakeSidecar(member, clock)
    return found


def build_roster(version, names, earlier=()):
    def homes(items):
        return [
            configuration.Home(name, 1, f'zone-{NAMES.index(name) % 2}')
            for name in items
        ]

    return configuration.Roster(
        version=version,
        homes=homes(names),
        earlier=[homes(items) for items in earlier],
    )


@pytest.fixture
def build_entry(sidecars, clock, decision_log):
    def build(name, roster=None):
        entry = FakeEntry(name, sidecars, clock, decision_log)
        entry.adopt(roster or build_roster(1, ['home-1', 'home-2']))
        return entry

    return build


class TestKeyedCalls:
    """A keyed call runs at most once, and repeats get the first answer."""

    async def test_repeat_through_another_entry_gets_the_first_answer(
        self, build_entry, sidecars
    ):
        first = await build_entry('one').call()
        second = await build_entry('two').call()
        assert first.body == second.body == b'run 1'
        assert sidecars['desk-1'].runs == [b'eel']

    async def test_repeat_after_entry_dies_gets_the_answer(
        self, build_entry, sidecars
    ):
        desk = sidecars['desk-1']
        desk.hold = True
        task = asyncio.create_task(build_entry('one').call())
        while not desk.runs:
            await asyncio.sleep(0)
        task.cancel()
        answer = await build_entry('two').call()
        assert answer.body == b'run 1'
        assert len(desk.runs) == 1

    async def test_claim_of_a_dead_entry_is_replaced(
        self, build_entry, sidecars
    ):
        """An entry dies after its claim at the primary home only.

        The claimed attempt is refused for good before another replaces it,
        so that a late Dispatch cannot run it as well.
        """
        roster = build_roster(1, ['home-1', 'home-2'])
        primary = rosters.choose_homes('desk/k', roster.homes)[0].name
        record = messages.KeyRecord('desk/k', 1, 'eel', 'lost', 'desk-1', 1)
        sidecars[primary].records.claim(
            messages.KeyClaim('c', 1, 'desk/k', 0, record)
        )
        answer = await build_entry('two').call()
        assert answer.body == b'run 1'
        assert 'lost' in sidecars['desk-1'].tombstones

    async def test_repeat_after_endpoint_restart_may_have_run(
        self, build_entry, sidecars, build_member
    ):
        desk = sidecars['desk-1']
        desk.hold = True
        task = asyncio.create_task(build_entry('one').call())
        while not desk.runs:
            await asyncio.sleep(0)
        task.cancel()
        desk.member = build_member(
            'desk-1', kind='service', serves='desk', incarnation=2
        )
        desk.done.clear()
        verdict = await build_entry('two').call()
        assert isinstance(verdict, verdicts.MayHaveRun)
        assert len(desk.runs) == 1

    async def test_attempt_is_sent_only_to_the_claimed_incarnation(
        self, build_entry, sidecars, build_member
    ):
        """The endpoint restarts between the claim and the dispatch.

        The earlier incarnation may have refused the attempt, which the new
        one does not know, so the attempt could run there and be replaced by
        another. This is the guard "same start" of the specification.
        """
        entry = build_entry('one')
        endpoint = entry.endpoints['desk-1']
        roster = build_roster(1, ['home-1', 'home-2'])
        backup = rosters.choose_homes('desk/k', roster.homes)[1].name
        receive = sidecars[backup].receive

        def restart_then_receive(reply, body):
            if isinstance(body, messages.KeyClaim):
                restarted = build_member('desk-1', incarnation=2)
                endpoint.session.peer = restarted
            receive(reply, body)

        sidecars[backup].receive = restart_then_receive
        await entry.call()
        answers = [
            item.records.claim(messages.KeyClaim('c', 1, 'desk/k', 0))
            for name, item in sidecars.items()
            if name.startswith('home') and name != backup
        ]
        held = [answer.record for answer in answers if answer.record]
        assert held[0].generation == 2
        assert held[0].incarnation == 2

    @pytest.mark.parametrize('dead', ['home-1', 'home-2'])
    async def test_call_with_a_lost_home_is_not_run(
        self, build_entry, sidecars, dead
    ):
        entry = build_entry('one')
        entry.endpoints[dead].session.connected = False
        verdict = await entry.call()
        assert isinstance(verdict, verdicts.NotRun)
        assert sidecars['desk-1'].runs == []
        assert entry.endpoints['desk-1'].total_outstanding == 0

    async def test_new_roster_queries_the_earlier_homes(
        self, build_entry, sidecars
    ):
        old = ['home-1', 'home-2']
        new = build_roster(2, ['home-3', 'home-4'], [old])
        await build_entry('one').call()
        for sidecar in sidecars.values():
            sidecar.roster = 2
        answer = await build_entry('two', new).call()
        assert answer.body == b'run 1'
        assert len(sidecars['desk-1'].runs) == 1

    async def test_call_with_lost_earlier_homes_is_not_run(
        self, build_entry, sidecars
    ):
        new = build_roster(2, ['home-3', 'home-4'], [['home-1', 'home-2']])
        entry = build_entry('one', new)
        for sidecar in sidecars.values():
            sidecar.roster = 2
        for name in ('home-1', 'home-2'):
            entry.endpoints[name].session = None
        verdict = await entry.call()
        assert isinstance(verdict, verdicts.NotRun)
        assert 'earlier roster' in verdict.reason
        assert sidecars['desk-1'].runs == []

    async def test_key_of_another_request_is_refused(self, build_entry):
        entry = build_entry('one')
        await entry.call(body=b'eel')
        with pytest.raises(errors.RequestError, match='Idempotency-Key'):
            await entry.call(body=b'smoked eel')

    async def test_two_callers_at_once_share_one_run(
        self, build_entry, sidecars
    ):
        entries = [build_entry('one'), build_entry('two')]
        calls = [entry.call() for entry in entries * 3]
        answers = await asyncio.gather(*calls)
        assert {answer.body for answer in answers} == {b'run 1'}
        assert len(sidecars['desk-1'].runs) == 1
