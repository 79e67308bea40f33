import types

import pytest

from clementineline.coordination import memory
from clementineline.coordination import stragglers
from clementineline.coordination.tests import test_placement
from clementineline.state import routes


def build_run(state=None, **fields):
    given = {
        'item': types.SimpleNamespace(id='i1', prompt_tokens=100),
        'texts': [],
        'first_started_at': 0.0,
        'started_at': 0.0,
        'last_event_at': None,
        'move_checked_at': 0.0,
        'state': state,
    }
    return types.SimpleNamespace(**{**given, **fields})


def build_engine(name, slowness=1.0, queued=0, reported_at=10.0, **fields):
    state = test_placement.build_engine(name, m0=1, **fields)
    state.slowness = slowness
    state.queued = queued
    state.load_at = reported_at
    return state


def has_room(state, run):
    return True


class TestOverdue:
    @pytest.mark.parametrize(
        ('last_event_at', 'now', 'overdue'),
        [(9.95, 10.0, False), (9.9, 10.0, True), (0.3, 0.39, False)],
    )
    def test_late_event_is_overdue_unless_item_is_young(
        self, last_event_at, now, overdue
    ):
        run = build_run(last_event_at=last_event_at, move_checked_at=-1.0)
        assert stragglers.is_overdue(run, 0.04, now) is overdue

    def test_item_is_rechecked_only_after_interval(self):
        run = build_run(last_event_at=9.0, move_checked_at=9.9)
        assert not stragglers.is_overdue(run, 0.04, 10.0)
        assert stragglers.is_overdue(run, 0.04, 10.2)

    def test_first_event_gets_more_time(self):
        run = build_run(started_at=9.8)
        assert not stragglers.is_overdue(run, 0.04, 10.0)
        assert stragglers.is_overdue(run, 0.04, 10.1)

    def test_typical_pace_is_lower_median(self):
        engines = [
            build_engine('a', pace_s=0.04),
            build_engine('b', pace_s=0.1),
            build_engine('c'),
        ]
        assert stragglers.find_typical_pace(engines) == 0.04
        assert stragglers.find_typical_pace([engines[2]]) is None


class TestRemainingEvents:
    @pytest.mark.parametrize(
        ('hint', 'received', 'remaining'),
        [(1000, 0, 20), (1000, 15, 7.5), (1000, 19, 9.5), (0, 100, 50)],
    )
    def test_remaining_events_grow_once_hint_is_exceeded(
        self, hint, received, remaining
    ):
        run = build_run(
            item=types.SimpleNamespace(length_hint=hint),
            texts=['x'] * received,
        )
        assert stragglers.estimate_remaining_events(run, 50) == remaining


class TestTarget:
    def choose(self, current, others, now=10.0, room=has_room, **fields):
        run = build_run(current, **fields)
        return stragglers.choose_target(run, others, 'm0', 1, now, room)

    def test_chooses_fastest_engine_with_a_free_slot(self):
        current = build_engine('a', 2.5)
        full = build_engine('b', slots=1, running=1)
        busy = build_engine('c', 1.2)
        fast = build_engine('d', 1.0, running=3)
        chosen = self.choose(current, [full, busy, fast], last_event_at=9.9)
        assert chosen is fast

    def test_stays_if_others_are_hardly_faster(self):
        current = build_engine('a', 1.2)
        others = [build_engine('b', 1.0)]
        assert self.choose(current, others, last_event_at=9.9) is None

    def test_outdated_load_reports_are_ignored(self):
        old = {'reported_at': 9.8}
        slow = build_engine('a', 2.5)
        assert self.choose(slow, [build_engine('b', **old)]) is None
        slow = build_engine('a', 2.5, **old)
        assert self.choose(slow, [build_engine('b')]) is None

    def test_rejects_engines_with_a_queue_or_too_little_memory(self):
        current = build_engine('a', 2.5)
        queued = build_engine('b', queued=1)
        small = build_engine('c')
        engines = [queued, small]

        def room(state, run):
            return state is not small

        assert (
            self.choose(current, engines, room=room, last_event_at=9.9) is None
        )

    def test_queued_run_moves_to_equally_fast_engine_without_queue(self):
        current = build_engine('a', 1.0, queued=2)
        other = build_engine('b', 1.0)
        assert self.choose(current, [other]) is other
        assert self.choose(current, [other], last_event_at=9.9) is None

    def test_number_of_probes_does_not_grow_with_the_fleet(self):
        fleet = [build_engine(f'e{number:03}') for number in range(200)]
        probed = stragglers.choose_engines_to_probe(
            fleet[7], fleet, 'm0', 1, 10.0
        )
        assert probed[0] is fleet[7]
        assert len(probed) == 1 + stragglers.PROBED_OTHERS_MAX


class TestMemory:
    def build_service(self, **fields):
        return routes.ServiceTarget('lm', 10, ('m0',), 4, **fields)

    def test_memory_must_hold_prompt_text_and_growth(self):
        service = self.build_service(memory_tokens=4000, event_tokens=50)
        state = build_engine('a')
        # Each run: 100 tokens of prompt, 20 events of 50 tokens, and room for
        # 15 more events.
        state.item_runs = {build_hashable_run(20)}
        assert memory.has_room(state, build_hashable_run(20), service)
        state.item_runs.add(build_hashable_run(20))
        assert not memory.has_room(state, build_hashable_run(1), service)

    def test_empty_engine_or_unknown_memory_accepts_any_run(self):
        state = build_engine('a')
        service = self.build_service(memory_tokens=10, event_tokens=50)
        assert memory.has_room(state, build_hashable_run(20), service)
        state.item_runs = {build_hashable_run(20)}
        assert memory.has_room(state, build_hashable_run(20), None)
        assert memory.has_room(
            state, build_hashable_run(20), self.build_service()
        )

    def test_own_reservation_is_not_counted_twice(self):
        service = self.build_service(memory_tokens=2000, event_tokens=50)
        state = build_engine('a')
        run = build_hashable_run(20)
        state.item_runs = {run}
        assert memory.has_room(state, run, service)


class HashableRun(types.SimpleNamespace):
    __hash__ = object.__hash__


def build_hashable_run(events):
    return HashableRun(
        item=types.SimpleNamespace(prompt_tokens=100), texts=['x'] * events
    )
