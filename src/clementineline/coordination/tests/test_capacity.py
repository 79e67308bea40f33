"""Decisions on capacity, without a network."""

import pytest

from clementineline.coordination import capacity
from clementineline.state import routes

BOUNDS = routes.ScalingBounds(1, 10, 10.0)


class Service:
    """A service whose orders are fulfilled at once, unless a zone is lost."""

    def __init__(self, bounds=BOUNDS, zones='abc', count=2):
        self.planner = capacity.CapacityPlanner(bounds)
        self.endpoints = dict.fromkeys(zones, count)
        self.lost = set()
        self.now = 1000.0
        self.history = []

    def run(self, seconds, busy, waiting=0, run_s=5.0):
        """Decide once a second; return the last decision."""
        for _ in range(seconds):
            load = capacity.ServiceLoad(
                busy, waiting, run_s, 4, dict(self.endpoints)
            )
            desired = self.planner.decide(load, self.now)
            self.now += 1.0
            self.history.append(desired)
            for zone, count in desired.items():
                self.endpoints[zone] = 0 if zone in self.lost else count
        return desired


@pytest.fixture
def service():
    return Service()


class TestGrowth:
    def test_grows_at_once_for_waiting_items(self, service):
        # A step that waits for capacity is late by each second of delay.
        assert service.run(1, 12) == {'a': 2, 'b': 2, 'c': 2}
        # 12 slots in use and 60 x 5 s of work in 10 s: 42 slots, which two
        # zones must be able to carry.
        desired = service.run(1, 12, waiting=60)
        assert desired == {'a': 6, 'b': 6, 'c': 6}

    def test_trend_is_followed_before_the_slots_are_full(self):
        # Endpoints that are ordered when slots are full come bootS too late.
        service = Service(routes.ScalingBounds(1, 40, 10.0), 'a', 8)
        for busy in range(20, 51):
            service.run(1, busy)
        # At least half of the growth during the next bootS.
        slots = 50 + 0.5 * 10
        needed = slots / 4 / capacity.GROW_SHARE
        assert service.history[-1]['a'] >= needed

    def test_no_endpoint_at_all(self):
        # A service without endpoints must get the smallest number.
        service = Service(zones='ab', count=0)
        assert service.run(1, 0) == {'a': 1, 'b': 1}


class TestRelease:
    def test_releases_one_endpoint_after_each_delay(self, service):
        # Capacity that is released at the first pause is missing after it.
        service.run(1, 60)
        before = service.history[-1]['a']
        service.run(70, 0)
        numbers = [desired['a'] for desired in service.history]
        assert max(a - b for a, b in zip(numbers, numbers[1:])) == 1
        assert numbers[29] == before
        assert before - 2 <= numbers[-1] < before

    @pytest.mark.parametrize(
        ('zones', 'low', 'high'), [('a', 15, 17), ('ab', 11, 12)]
    )
    def test_load_within_the_dead_band_changes_nothing(self, zones, low, high):
        # Numbers that follow each change of the load boot endpoints for ever.
        # One endpoint less is enough for the lower load.
        service = Service(zones=zones)
        service.run(80, high)
        settled = service.history[-1]
        service.history.clear()
        for _ in range(4):
            service.run(80, low)
            service.run(80, high)
        assert all(desired == settled for desired in service.history)


class TestLossOfAZone:
    def test_two_zones_can_carry_the_load_of_three(self, service):
        # Without a reserve, the loss of a zone refuses callers.
        desired = service.run(60, 30)
        assert (desired['a'] + desired['b']) * 4 >= 30

    def test_others_grow_and_the_lost_zone_keeps_its_number(self, service):
        # A zone whose number falls to what it has left never comes back.
        before = service.run(60, 30)
        service.lost.add('c')
        service.endpoints['c'] = 0
        after = service.run(3, 30)
        assert after['c'] == before['c']
        assert after['a'] == after['b'] > before['a']
        # The next loss must be bearable, too.
        assert after['a'] * 4 >= 30


class TestBounds:
    def test_stays_between_min_and_max(self, service):
        # Orders beyond the bounds are refused or paid for.
        assert service.run(1, 1000) == {'a': 10, 'b': 10, 'c': 10}
        assert service.run(400, 0) == {'a': 1, 'b': 1, 'c': 1}

    def test_new_bounds_apply_at_once(self, service):
        # An operator who lowers "max" waits for the release otherwise.
        service.run(1, 1000)
        service.planner.bounds = routes.ScalingBounds(1, 3, 10.0)
        assert service.run(1, 1000)['a'] == 3
