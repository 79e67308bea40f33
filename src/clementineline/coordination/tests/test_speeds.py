import math
import random
import types

import pytest

from clementineline.coordination import speeds


def build_states(count):
    states = []
    for number in range(count):
        tracker = speeds.SpeedTracker()
        states.append(types.SimpleNamespace(id=f'e{number}', speed=tracker))
    return states


def observe(state, rate, until, draw, interval_s=0.04, tail=0.0, since=0.0):
    """Observe work on an endpoint with noisy neighbours.

    :param tail: spread of the logarithm of the work's size
    """
    now = since
    noise_until = quiet_until = since
    while now < until:
        if now >= quiet_until:
            noise_until = now + 0.6
            quiet_until = noise_until + draw.expovariate(1 / 3.4)
        took = (2.5 if now < noise_until else 1.0) / rate
        state.speed.add(math.log(took) + draw.gauss(0, tail), now)
        now += interval_s


class TestRateEndpoints:
    def test_lasting_speeds_are_told_from_noise(self):
        """Guards against engines that are avoided for a neighbour's burst."""
        draw = random.Random(5)
        states = build_states(8)
        for number, state in enumerate(states):
            observe(state, 0.55 if number < 2 else 1.2, 30, draw)
        rated = speeds.rate_endpoints(states, 30)
        fast = [rated[state.id] for state in states[2:]]
        assert min(fast) > 0.9 and max(fast) < 1.1
        assert max(rated['e0'], rated['e1']) < 0.6

    @pytest.mark.parametrize('seed', range(20))
    def test_uneven_calls_on_equal_endpoints_show_no_difference(self, seed):
        """Guards against a rule that is fulfilled by chance alone.

        The times of plain calls vary so much that the medians of equal
        endpoints differ by more than the factor of the rule.
        """
        draw = random.Random(seed)
        states = build_states(4)
        for state in states:
            observe(state, 1.0, 30, draw, 0.3, tail=0.8)
        rated = speeds.rate_endpoints(states, 30).values()
        assert max(rated) / min(rated) < 1.3

    def test_few_observations_do_not_count(self):
        """Guards against a verdict from a single disturbance."""
        draw = random.Random(5)
        states = build_states(2)
        observe(states[0], 0.5, 4, draw)
        observe(states[1], 1.0, 4, draw)
        assert speeds.rate_endpoints(states, 4) == {}

    def test_changed_speed_counts_within_seconds(self):
        """Guards against a minute of long items on an engine now slow."""
        draw = random.Random(5)
        states = build_states(4)
        for state in states:
            observe(state, 1.2, 60, draw)
            speeds.rate_endpoints(states, 60)
        for now in range(61, 67):
            for state in states:
                rate = 0.55 if state.id == 'e0' else 1.2
                observe(state, rate, now, draw, since=now - 1)
            rated = speeds.rate_endpoints(states, now)
        assert rated['e0'] < 0.6

    def test_old_observations_expire(self):
        """Guards against an endpoint that is never tried again."""
        draw = random.Random(5)
        states = build_states(3)
        for state in states:
            observe(state, 0.5 if state.id == 'e0' else 1.0, 10, draw)
        for state in states[1:]:
            observe(state, 1.0, 140, draw, since=10)
        assert set(speeds.rate_endpoints(states, 140)) == {'e1', 'e2'}


class TestTypicalSlowness:
    def test_reports_of_a_lasting_slowness_are_told_from_bursts(self):
        """Guards against a lasting slowness that is counted twice."""
        lasting, bursts = speeds.SpeedTracker(), speeds.SpeedTracker()
        for number in range(20):
            lasting.add_report(2.2, number)
            bursts.add_report(2.5 if number % 5 == 0 else 1.0, number)
        assert lasting.typical_slowness == 2.2
        assert bursts.typical_slowness == 1.0
