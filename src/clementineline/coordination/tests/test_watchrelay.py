"""Tests of changes that come from a process which watches the store."""

import asyncio
import types

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from clementineline.coordination import rendezvous
from clementineline.coordination import watchrelay
from clementineline import errors
from clementineline.state import objects
from clementineline.state import questions

INTERVALS = watchrelay.RelayIntervals(fresh_s=0.2, wait_s=0.1)


def build_object(name, version):
    return objects.PlatformObject('k', name, version, {'v': version})


def read_names(changes):
    return [found.name for found in changes.objects]


class TestChangeHistory:
    """A process that applies the changes has the state of their version."""

    def test_changes_after_a_version(self):
        history = watchrelay.ChangeHistory()
        history.replace(3, [build_object('a', 1), build_object('b', 2)])
        assert history.collect(3) is None
        history.extend(5, [build_object('b', 5)], ['a'])
        history.extend(7, [build_object('c', 7)], [])
        changes = history.collect(3)
        assert read_names(changes) == ['b', 'c']
        assert changes.removed == ['a']
        assert (changes.version, changes.whole) == (7, False)
        assert read_names(history.collect(5)) == ['c']

    def test_process_that_listed_later_gets_only_later_changes(self):
        history = watchrelay.ChangeHistory()
        history.replace(3, [])
        assert history.collect(6) is None
        history.extend(8, [build_object('a', 7)], [])
        assert read_names(history.collect(6)) == ['a']

    def test_process_that_is_far_behind_gets_all_objects(self):
        history = watchrelay.ChangeHistory()
        history.replace(1, [build_object('a', 1)])
        for version in range(2, 3 + watchrelay.HISTORY_PAGES_MAX):
            history.extend(version, [build_object('b', version)], [])
        assert not history.collect(2).whole
        changes = history.collect(1)
        assert changes.whole
        assert read_names(changes) == ['a', 'b']

    def test_list_after_lost_history_is_passed_on_whole(self):
        history = watchrelay.ChangeHistory()
        history.replace(1, [build_object('a', 1)])
        history.replace(9, [build_object('b', 8)])
        changes = history.collect(5)
        assert changes.whole
        assert read_names(changes) == ['b']

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    [
                        'write',
                        'remove',
                        'source reads',
                        'source lists',
                        'process reads',
                        'process lists',
                    ]
                ),
                strategies.sampled_from('abc'),
            ),
            max_size=40,
        )
    )
    def test_any_order_of_reads_gives_the_state_of_the_version(self, steps):
        """The source and the other process read the store at any time."""
        version = 1
        states = {1: {}}
        log = []
        history = watchrelay.ChangeHistory()
        history.replace(1, [])
        known, known_version = {}, 1
        for action, name in steps:
            state = states[version]
            if action == 'write' or (action == 'remove' and name in state):
                version += 1
                state = dict(state)
                state.pop(name, None)
                if action == 'write':
                    state[name] = version
                states[version] = state
                log.append((version, name))
            elif action == 'source reads':
                names = {n for v, n in log if v > history.version}
                if names:
                    history.extend(
                        version,
                        [
                            build_object(n, state[n])
                            for n in names & set(state)
                        ],
                        sorted(names - set(state)),
                    )
            elif action == 'source lists':
                history.replace(
                    version, [build_object(n, v) for n, v in state.items()]
                )
            elif action == 'process lists':
                known, known_version = dict(state), version
            elif action == 'process reads':
                changes = history.collect(known_version)
                if changes is None:
                    continue
                if changes.whole:
                    known = {}
                for found in changes.objects:
                    known[found.name] = found.version
                for gone in changes.removed:
                    known.pop(gone, None)
                known_version = changes.version
            assert known == states[known_version]


class FakeWatcher:
    """A watcher whose evidence is as old as the test says."""

    def __init__(self):
        self.history = watchrelay.ChangeHistory()
        self.history.replace(1, [])
        self.relay_intervals = INTERVALS
        self.verified_at = asyncio.get_running_loop().time()

    def measure_age(self):
        return asyncio.get_running_loop().time() - self.verified_at

    def measure_regained(self):
        return None


class TestAnswers:
    """A process answers for the store only while it is up to date."""

    async def test_change_is_passed_on_at_once(self):
        watcher = FakeWatcher()
        task = asyncio.create_task(watchrelay.answer_watch(watcher, 1, 5.0))
        await asyncio.sleep(0.02)
        watcher.history.extend(2, [build_object('a', 2)], [])
        async with asyncio.timeout(0.1):
            answer = await task
        assert read_names(answer) == ['a']

    async def test_no_change_is_answered_after_the_wait(self):
        answer = await watchrelay.answer_watch(FakeWatcher(), 1, 0.05)
        assert (answer.version, answer.objects) == (1, [])
        assert answer.age_s >= 0.05

    async def test_process_that_loses_its_evidence_says_so_in_time(self):
        watcher = FakeWatcher()
        async with asyncio.timeout(INTERVALS.fresh_s + 0.1):
            answer = await watchrelay.answer_watch(watcher, 1, 5.0)
        assert isinstance(answer, questions.NotWatching)

    async def test_outdated_process_passes_no_change_on(self):
        watcher = FakeWatcher()
        watcher.history.extend(2, [build_object('a', 2)], [])
        watcher.verified_at -= 1.0
        answer = await watchrelay.answer_watch(watcher, 1, 5.0)
        assert isinstance(answer, questions.NotWatching)

    def test_object_survives_the_encoding(self):
        history = watchrelay.ChangeHistory()
        history.replace(1, [])
        history.extend(2, [build_object('a', 2)], [])
        encoded = msgspec.msgpack.encode(history.collect(1))
        changes = msgspec.msgpack.decode(encoded, type=questions.Answer)
        found = watchrelay.decode_objects('k', changes.objects)
        assert found == [build_object('a', 2)]


class FakePeers:
    """Other processes; each answers, refuses, is silent or outdated."""

    def __init__(self):
        self.states = {}
        self.asked = []

    def may_ask(self, name):
        return True

    async def ask(self, name, question, timeout_s):
        self.asked.append(name)
        state = self.states.get(name, 'answers')
        if state == 'silent':
            await asyncio.sleep(timeout_s)
            raise errors.ConnectionLost('silent')
        if state == 'refuses':
            raise errors.ConnectionLost('refused')
        if state == 'outdated':
            return questions.NotWatching(9.0)
        return questions.WatchedChanges(question.since, [], [], False)


ZONES = {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b', 'c1': 'c'}
SOURCE_A, OTHER_A = rendezvous.rank('a', ['a1', 'a2'])


@pytest.fixture
def build_relay(log):
    def build(name, zone='a', is_keeper=False):
        names = set(ZONES) - {name}
        members = types.SimpleNamespace(
            addresses=dict.fromkeys(names, ''), keepers=names, zones=ZONES
        )
        relay = watchrelay.WatchRelay(name, zone, is_keeper, members, log)
        relay._peers = FakePeers()
        return relay, relay._peers

    return build


class TestSources:
    """One keeper of each zone watches the store for the others."""

    async def test_process_asks_the_source_of_its_zone(self, build_relay):
        relay, others = build_relay('g')
        assert await relay.watch('k', 1, INTERVALS)
        assert others.asked == [SOURCE_A]

    async def test_source_of_a_zone_watches_the_store(self, build_relay):
        relay, others = build_relay(SOURCE_A, is_keeper=True)
        assert await relay.watch('k', 1, INTERVALS) is None
        assert not others.asked

    async def test_other_keepers_of_a_zone_ask_it(self, build_relay):
        relay, others = build_relay(OTHER_A, is_keeper=True)
        assert await relay.watch('k', 1, INTERVALS)
        assert others.asked == [SOURCE_A]

    async def test_process_in_a_zone_without_keepers_asks_another_zone(
        self, build_relay
    ):
        relay, others = build_relay('g', zone='d')
        assert await relay.watch('k', 1, INTERVALS)
        assert len(others.asked) == 1

    @pytest.mark.parametrize('state', ['refuses', 'outdated'])
    async def test_next_zone_is_asked_at_once(self, build_relay, state):
        relay, others = build_relay('g')
        others.states[SOURCE_A] = state
        assert await relay.watch('k', 1, INTERVALS)
        assert len(others.asked) == 2

    async def test_store_is_asked_after_one_silent_process(
        self, build_relay, monkeypatch
    ):
        monkeypatch.setattr(watchrelay, 'ANSWER_GRACE_S', 0.02)
        relay, others = build_relay('g')
        others.states[SOURCE_A] = 'silent'
        assert await relay.watch('k', 1, INTERVALS) is None
        assert others.asked == [SOURCE_A]

    async def test_store_is_asked_if_no_process_is_up_to_date(
        self, build_relay
    ):
        relay, others = build_relay('g')
        for name in ZONES:
            others.states[name] = 'outdated'
        assert await relay.watch('k', 1, INTERVALS) is None
        others.asked.clear()
        assert await relay.watch('k', 1, INTERVALS) is None
        assert not others.asked


@pytest.mark.parametrize('apply_s', [1.0, 2.0, 3.0, 6.0])
def test_silent_source_is_noticed_within_the_bound(apply_s):
    """It may fall silent or lose the store just before a change."""
    intervals = watchrelay.derive_relay_intervals(apply_s)
    noticed_s = intervals.wait_s + watchrelay.ANSWER_GRACE_S
    assert noticed_s <= 0.5 * apply_s
    assert intervals.fresh_s <= 0.5 * apply_s
