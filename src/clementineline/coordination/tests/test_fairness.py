"""Tests of the division of insufficient capacity among organisations."""

import math

import pytest

from clementineline.coordination import fairness


def build_claim(key, organisation='a', **fields):
    given = {
        'pool': 'p',
        'priority': 5,
        'due_at': math.inf,
        'accepted_at': 0.0,
        'waiting': 10.0,
        'needed': 10.0,
        'longest_s': 0.0,
        'begun': False,
    }
    given.update(fields)
    return fairness.Claim(key, organisation, **given)


def list_keys(claims, queue=None, rate=None, now=0.0):
    queue = queue or fairness.FairQueue()
    ranked = fairness.rank(claims, queue, {'p': rate}, now)
    return [claim.key for claim, _ in ranked]


class TestRank:
    def test_priority_then_due_time_decide_within_an_organisation(self):
        # Guards against submissions in the order of their age alone.
        claims = [
            build_claim('old', due_at=30.0),
            build_claim('due', due_at=20.0, accepted_at=1.0),
            build_claim('urgent', priority=0, accepted_at=2.0),
        ]
        assert list_keys(claims) == ['urgent', 'due', 'old']

    def test_priority_gains_nothing_over_other_organisations(self):
        # Guards against an organisation that calls all its work urgent.
        claims = [
            build_claim('urgent', 'a', priority=0, waiting=20.0),
            build_claim('small', 'b', waiting=10.0),
        ]
        assert list_keys(claims) == ['small', 'urgent']

    def test_trainers_of_an_organisation_divide_its_share(self):
        # Guards against shares by the number of trainers.
        claims = [build_claim(f'a{number}') for number in range(3)]
        claims.append(build_claim('b', 'b', waiting=15.0))
        assert list_keys(claims) == ['a0', 'b', 'a1', 'a2']

    def test_order_of_steps_does_not_change_while_one_is_served(self):
        # Guards against two steps that take turns until both are late.
        queue = fairness.FairQueue()
        claims = [build_claim('a'), build_claim('b', 'b')]
        queue.update({'a': 10.0, 'b': 10.0}, 0.0)
        for left in (10.0, 6.0, 2.0):
            claims[0].waiting = left
            assert list_keys(claims, queue) == ['a', 'b']
            queue.charge('a', 4.0)

    def test_due_times_decide_where_all_can_be_in_time_only_so(self):
        # Guards against a late step beside a small one that had time left.
        claims = [
            build_claim('small', 'a', needed=4.0, waiting=4.0, due_at=30.0),
            build_claim('large', 'b', due_at=12.0),
        ]
        assert list_keys(claims, rate=1.0) == ['large', 'small']
        assert list_keys(claims, rate=2.0) == ['small', 'large']

    def test_longest_item_decides_what_can_be_in_time(self):
        # Guards against capacity for a step whose longest item ends too late.
        claims = [
            build_claim('lost', 'a', waiting=1.0, longest_s=9.0, due_at=8.0),
            build_claim('other', 'b', due_at=8.0),
        ]
        assert list_keys(claims, rate=10.0) == ['other', 'lost']

    def test_unknown_pace_makes_nothing_late(self):
        # Guards against wrong order before the first event of an engine.
        claim = build_claim('a', needed=1e9, due_at=1.0)
        ranked = fairness.rank([claim], fairness.FairQueue(), {}, 0.0)
        assert ranked == [(claim, fairness.Standing.IN_TIME)]


class TestFairQueue:
    def test_idle_organisation_gains_no_credit(self):
        # Guards against a burst after idle time that displaces all others.
        queue = fairness.FairQueue()
        queue.update({'a': 100.0}, 0.0)
        queue.charge('a', 100.0)
        queue.update({'a': 100.0, 'b': 100.0}, 1.0)
        assert queue.get_progress('b') == queue.get_progress('a')

    def test_use_of_idle_capacity_costs_nothing_later(self):
        # Guards against an organisation that waits for work it did earlier.
        queue = fairness.FairQueue()
        queue.update({'a': 100.0}, 0.0)
        for _ in range(10):
            queue.charge('a', 100.0)
        claims = [build_claim('b', 'b', accepted_at=1.0), build_claim('a')]
        queue.update({'a': 10.0, 'b': 10.0}, 1.0)
        assert list_keys(claims, queue) == ['a', 'b']

    def test_run_that_was_refused_costs_nothing(self):
        # Guards against organisations that pay for their engines' refusals.
        queue = fairness.FairQueue()
        queue.update({'a': 10.0, 'b': 10.0}, 0.0)
        queue.charge('a', 10.0)
        queue.correct('a', -10.0)
        assert queue.get_progress('a') == 0.0

    def test_organisations_without_work_are_forgotten(self):
        # Guards against memory that grows with names.
        queue = fairness.FairQueue()
        for number in range(50):
            name = f'o{number}'
            queue.update({name: 1.0}, 100.0 * number)
            queue.ask(name, 1.0)
            queue.charge(name, 1.0)
        queue.update({'a': 1.0}, 6000.0)
        queue.charge('a', 1000.0)
        queue.update({'a': 1.0}, 7000.0)
        for costs in (queue._progress, queue._asked, queue._served):
            assert set(costs) <= {'a'}


class TestShareCapacity:
    @pytest.mark.parametrize(
        ('demands', 'capacity', 'expected'),
        [
            ({'a': 3.0, 'b': 2.0}, 6.0, {'a': 3.0, 'b': 2.0}),
            ({'a': 8.0, 'b': 8.0}, 8.0, {'a': 4.0, 'b': 4.0}),
            ({'a': 90.0, 'b': 2.0}, 12.0, {'a': 10.0, 'b': 2.0}),
        ],
    )
    def test_small_demand_is_met_and_the_rest_divided(
        self, demands, capacity, expected
    ):
        # Guards against shares by work, which leave a small organisation late.
        assert fairness.share_capacity(demands, capacity) == pytest.approx(
            expected
        )

    def test_no_organisation_gets_less_than_a_quarter_of_its_part(self):
        # Guards against equal shares for unequal needs.
        demands = {f's{number}': 4.0 for number in range(20)}
        demands['large'] = 400.0
        shares = fairness.share_capacity(demands, 60.0)
        assert sum(shares.values()) == pytest.approx(60.0)
        assert shares['large'] >= 0.25 * 60.0 * 400.0 / 480.0
