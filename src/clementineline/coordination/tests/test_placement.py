import types

import pytest

from clementineline.coordination import directory
from clementineline.coordination import placement
from clementineline.state import directory as records


def build_engine(name, slots=4, running=0, pace_s=None, **versions):
    state = directory.EndpointState(
        records.EndpointRecord(
            id=name,
            service='lm',
            address='10.0.0.1:80',
            zone='walvis-a',
            slots=slots,
            leaving=False,
            cold_s=0.0,
            versions=versions,
            born_ms=0,
        )
    )
    state.item_runs = set(range(running))
    state.pace_s = pace_s
    return state


class TestChooseEngine:
    def test_least_running_of_those_with_the_version(self):
        engines = [
            build_engine('a', running=1, m0=2),
            build_engine('b', running=0, m0=1),
            build_engine('c', running=2, m0=2),
        ]
        chosen = placement.choose_engine(engines, 'm0', 2, 0.0)
        assert chosen.id == 'a'

    def test_full_loading_resting_and_excluded_engines_get_nothing(self):
        full = build_engine('a', slots=1, running=1, m0=2)
        loading = build_engine('b', m0=2)
        loading.loading_models.add('m0')
        resting = build_engine('c', m0=2)
        resting.backoff_until = 5.0
        excluded = build_engine('d', m0=2)
        engines = [full, loading, resting, excluded]
        assert placement.choose_engine(engines, 'm0', 2, 0.0, ('d',)) is None
        assert placement.choose_engine(engines, 'm0', 2, 6.0).id == 'c'

    def test_slow_engine_comes_last(self):
        slow = build_engine('a', pace_s=0.16, m0=1)
        fast = build_engine('b', running=3, pace_s=0.04, m0=1)
        assert placement.choose_engine([slow, fast], 'm0', 1, 0.0) is fast


class TestKeepVersion:
    def test_engines_that_have_it_and_do_not_change(self):
        engines = [build_engine(name, m0=2) for name in 'ab']
        engines.append(build_engine('c', m0=3))
        engines[1].loading_models.add('m0')
        kept = placement.filter_by_version(engines, 'm0', 2)
        assert [state.id for state in kept] == ['a']
        assert placement.filter_by_version(engines, 'm1', 2) == []


class TestStragglers:
    def test_slow_engine_loses_runs_only_after_a_while(self):
        slow = build_engine('a', running=2, pace_s=0.15, m0=1)
        fast = build_engine('b', pace_s=0.04, m0=1)
        engines = [slow, fast, build_engine('c', pace_s=0.04, m0=1)]

        def is_faster_elsewhere(now):
            placement.note_slow_engines(engines, now)
            return placement.has_faster_engine(slow, engines, 'm0', 1, now)

        assert not is_faster_elsewhere(10.0)
        assert not is_faster_elsewhere(10.4)
        assert is_faster_elsewhere(10.6)

    def test_short_slowness_is_forgotten(self):
        engine = build_engine('a', running=2, pace_s=0.15, m0=1)
        engines = [engine, build_engine('b', pace_s=0.04, m0=1)]
        engines.append(build_engine('c', pace_s=0.04, m0=1))
        placement.note_slow_engines(engines, 10.0)
        engine.pace_s = 0.05
        placement.note_slow_engines(engines, 10.3)
        assert engine.slow_since is None

    def test_no_move_to_a_stale_engine(self):
        slow = build_engine('a', running=2, pace_s=0.15, m0=2)
        slow.slow_since = 0.0
        stale = build_engine('b', pace_s=0.04, m0=1)
        assert not placement.has_faster_engine(
            slow, [slow, stale], 'm0', 2, 10.0
        )


class TestOrderWaiting:
    def test_carried_groups_first_then_the_longest(self):
        def build(name, carried, hint):
            item = types.SimpleNamespace(length_hint=hint)
            return types.SimpleNamespace(name=name, carried=carried, item=item)

        runs = [
            build('short', False, 1),
            build('long', False, 9),
            build('carried', True, 0),
        ]
        names = [run.name for run in placement.sort_waiting_runs(runs)]
        assert names == ['carried', 'long', 'short']


class TestShareEngines:
    @pytest.mark.parametrize(
        ('count', 'work', 'shares'),
        [
            (6, {'m0': 0, 'm1': 0}, {'m0': 3, 'm1': 3}),
            (6, {'m0': 2100, 'm1': 1000}, {'m0': 4, 'm1': 2}),
            (6, {'m0': 9000, 'm1': 1}, {'m0': 5, 'm1': 1}),
            (1, {'m0': 5, 'm1': 4}, {'m0': 1, 'm1': 0}),
            (0, {'m0': 5}, {'m0': 0}),
            (6, {}, {}),
        ],
    )
    def test_by_work_with_one_each(self, count, work, shares):
        assert placement.share_engines(count, work, {}) == shares

    def test_small_changes_of_work_move_nothing(self):
        previous = {'m0': 4, 'm1': 2}
        for work in (1700, 2300, 2600):
            assert (
                placement.share_engines(6, {'m0': work, 'm1': 1000}, previous)
                == previous
            )
        assert placement.share_engines(
            6, {'m0': 1000, 'm1': 1000}, previous
        ) == {'m0': 3, 'm1': 3}


class TestAssignModels:
    def test_shares_are_kept(self):
        engines = {f'e{number}': {} for number in range(6)}
        shares = {'m0': 4, 'm1': 2}
        assignment = placement.assign_models(shares, engines, {})
        assert sorted(assignment.values()) == ['m0'] * 4 + ['m1'] * 2

    def test_a_changed_share_moves_one_engine(self):
        engines = {f'e{number}': {} for number in range(6)}
        first = placement.assign_models({'m0': 3, 'm1': 3}, engines, {})
        second = placement.assign_models({'m0': 4, 'm1': 2}, engines, first)
        moved = [name for name in engines if first[name] != second[name]]
        assert len(moved) == 1

    def test_a_lost_engine_moves_as_few_as_possible(self):
        engines = {f'e{number}': {} for number in range(6)}
        first = placement.assign_models({'m0': 3, 'm1': 3}, engines, {})
        lost = next(name for name in engines if first[name] == 'm0')
        del engines[lost]
        second = placement.assign_models({'m0': 2, 'm1': 3}, engines, first)
        assert {name: first[name] for name in engines} == second

    def test_no_models_get_nothing(self):
        assert placement.assign_models({}, {'e0': {}}, {}) == {}


class TestChooseLoads:
    def test_engine_that_serves_the_open_step_waits_for_the_lull(self):
        engine = build_engine('a', m0=1)
        busy = placement.ModelDemand(waiting=3, version_min=1)
        busy.newest_version_min = 1
        assert not placement.choose_loads([engine], ('m0', 2), busy, 9.0, 2)
        lull = placement.ModelDemand(0, 0, 1)
        chosen = placement.choose_loads([engine], ('m0', 2), lull, 0.1, 2)
        assert chosen == [engine]

    def test_engine_too_old_for_what_waits_loads_at_once(self):
        engines = [build_engine(name, m0=1) for name in 'abc']
        demand = placement.ModelDemand(3, 2, 2)
        chosen = placement.choose_loads(engines, ('m0', 3), demand, 0.0, 0)
        assert chosen == engines

    def test_engine_too_old_for_the_next_step_loads_before_it_comes(self):
        # trouble-2 of wbm-smoke: engines two versions behind waited for the
        # patience to end, and the next step waited 1.2 s for their loads.
        engines = [build_engine(name, m0=4) for name in 'ab']
        engines.append(build_engine('c', m0=5))
        demand = placement.ModelDemand(0, 0, 4, 1)
        chosen = placement.choose_loads(engines, ('m0', 6), demand, 0.0, 1)
        assert [state.id for state in chosen] == ['a', 'b']

    def test_trainer_that_accepts_old_versions_lets_engines_wait(self):
        engine = build_engine('a', m0=4)
        demand = placement.ModelDemand(0, 0, 2, 3)
        assert not placement.choose_loads([engine], ('m0', 6), demand, 0.0, 2)

    def test_few_load_together_in_a_lull(self):
        engines = [build_engine(name, m0=1) for name in 'abc']
        lull = placement.ModelDemand(0, 0, 2)
        chosen = placement.choose_loads(engines, ('m0', 2), lull, 0.0, 1)
        assert len(chosen) == 1

    @pytest.mark.parametrize(
        ('engines', 'together'), [(1, 2), (6, 2), (19, 7), (25, 10)]
    )
    def test_more_load_together_in_a_larger_fleet(self, engines, together):
        assert placement.count_loads_at_once(engines) == together

    def test_version_nobody_asks_for_is_loaded_in_the_end(self):
        engine = build_engine('a', m0=1)
        idle = placement.ModelDemand()
        assert not placement.choose_loads([engine], ('m0', 2), idle, 0.5, 2)
        assert placement.choose_loads([engine], ('m0', 2), idle, 2.0, 2)
