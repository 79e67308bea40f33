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


def build_engine(name, slowness=1.0, queued=0, told_at=10.0, **fields):
    state = test_placement.build_engine(name, m0=1, **fields)
    state.slowness = slowness
    state.queued = queued
    state.load_at = told_at
    return state


def has_room(state, run):
    return True


class TestOverdue:
    @pytest.mark.parametrize(
        ('last_event_at', 'now', 'overdue'),
        [(9.95, 10.0, False), (9.9, 10.0, True), (0.3, 0.39, False)],
    )
    def test_late_event_of_an_item_past_its_start(
        self, last_event_at, now, overdue
    ):
        run = build_run(last_event_at=last_event_at, move_checked_at=-1.0)
        assert stragglers.is_overdue(run, 0.04, now) is overdue

    def test_move_that_was_weighed_rests(self):
        run = build_run(last_event_at=9.0, move_checked_at=9.9)
        assert not stragglers.is_overdue(run, 0.04, 10.0)
        assert stragglers.is_overdue(run, 0.04, 10.2)

    def test_run_that_has_not_begun_gets_more_time(self):
        run = build_run(started_at=9.8)
        assert not stragglers.is_overdue(run, 0.04, 10.0)
        assert stragglers.is_overdue(run, 0.04, 10.1)

    def test_typical_pace_is_the_lower_median(self):
        engines = [
            build_engine('a', pace_s=0.04),
            build_engine('b', pace_s=0.1),
            build_engine('c'),
        ]
        assert stragglers.find_typical_pace(engines) == 0.04
        assert stragglers.find_typical_pace([engines[2]]) is None


class TestTail:
    @pytest.mark.parametrize(
        ('hint', 'made', 'left'),
        [(1000, 0, 20), (1000, 15, 7.5), (1000, 19, 9.5), (0, 100, 50)],
    )
    def test_outgrown_hint_means_a_long_tail(self, hint, made, left):
        run = build_run(
            item=types.SimpleNamespace(length_hint=hint), texts=['x'] * made
        )
        assert stragglers.estimate_left(run, 50) == left


class TestTarget:
    def choose(self, current, others, now=10.0, room=has_room, **fields):
        run = build_run(current, **fields)
        return stragglers.choose_target(run, others, 'm0', 1, now, room)

    def test_least_slow_of_the_free_ones(self):
        current = build_engine('a', 2.5)
        full = build_engine('b', slots=1, running=1)
        busy = build_engine('c', 1.2)
        fast = build_engine('d', 1.0, running=3)
        chosen = self.choose(current, [full, busy, fast], last_event_at=9.9)
        assert chosen is fast

    def test_stays_where_others_are_hardly_faster(self):
        current = build_engine('a', 1.2)
        others = [build_engine('b', 1.0)]
        assert self.choose(current, others, last_event_at=9.9) is None

    def test_old_answers_count_for_nothing(self):
        old = {'told_at': 9.8}
        slow = build_engine('a', 2.5)
        assert self.choose(slow, [build_engine('b', **old)]) is None
        slow = build_engine('a', 2.5, **old)
        assert self.choose(slow, [build_engine('b')]) is None

    def test_neither_a_queue_nor_a_lack_of_memory_is_joined(self):
        current = build_engine('a', 2.5)
        queued = build_engine('b', queued=1)
        small = build_engine('c')
        engines = [queued, small]

        def room(state, run):
            return state is not small

        assert (
            self.choose(current, engines, room=room, last_event_at=9.9) is None
        )

    def test_queued_run_goes_where_nothing_waits(self):
        current = build_engine('a', 1.0, queued=2)
        other = build_engine('b', 1.0)
        assert self.choose(current, [other]) is other
        assert self.choose(current, [other], last_event_at=9.9) is None

    def test_engines_asked_do_not_grow_with_the_fleet(self):
        fleet = [build_engine(f'e{number:03}') for number in range(200)]
        asked = stragglers.choose_probed(fleet[7], fleet, 'm0', 1, 10.0)
        assert asked[0] is fleet[7]
        assert len(asked) == 1 + stragglers.PROBED_MAX


class TestMemory:
    def build_service(self, **fields):
        return routes.ServiceTarget('lm', 10, ('m0',), 4, **fields)

    def test_text_must_fit_and_grow(self):
        service = self.build_service(memory_tokens=4000, event_tokens=50)
        state = build_engine('a')
        # 100 of the prompt, 20 events, and 15 events to grow.
        state.item_runs = {build_held(20)}
        assert memory.has_room(state, build_held(20), service)
        state.item_runs.add(build_held(20))
        assert not memory.has_room(state, build_held(1), service)

    def test_empty_engine_and_unknown_memory_take_anything(self):
        state = build_engine('a')
        service = self.build_service(memory_tokens=10, event_tokens=50)
        assert memory.has_room(state, build_held(20), service)
        state.item_runs = {build_held(20)}
        assert memory.has_room(state, build_held(20), None)
        assert memory.has_room(state, build_held(20), self.build_service())

    def test_own_reservation_is_not_counted_twice(self):
        service = self.build_service(memory_tokens=2000, event_tokens=50)
        state = build_engine('a')
        run = build_held(20)
        state.item_runs = {run}
        assert memory.has_room(state, run, service)


class HeldRun(types.SimpleNamespace):
    __hash__ = object.__hash__


def build_held(events):
    return HeldRun(
        item=types.SimpleNamespace(prompt_tokens=100), texts=['x'] * events
    )
