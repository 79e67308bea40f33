"""Tests of when refused callers are asked to return."""

import heapq
import random

import pytest

from clementineline.coordination import draining
from clementineline.coordination.tests import test_placement

SLOTS = 6
QUEUE = 12
CALL_S = 0.1


def build_state(name, in_flight=0, others=0, queued=0):
    state = test_placement.build_engine(name, SLOTS)
    state.in_flight = in_flight
    state.other_requests = others
    state.queued = queued
    state.load_at = 10.0
    return state


class TestChooseDelay:
    def test_delay_grows_with_what_is_ahead(self):
        # Guards against callers that return before anything has drained.
        estimator = draining.DrainEstimator(lambda: 0.0)
        estimator.note_answer('desk', 0.4)
        states = [build_state('a', 4, 14, 12)]
        found = [
            estimator.choose_delay('desk', states, 10.0, 9.0) for _ in range(3)
        ]
        assert found == pytest.approx([0.133, 0.233, 0.333], abs=0.01)

    def test_delay_leaves_time_for_other_attempts(self):
        # Guards against a caller that is sent away for the time it has left.
        estimator = draining.DrainEstimator()
        estimator.note_answer('desk', 5.0)
        states = [build_state('a', 0, 18, 12)]
        for left_s in (3.0, 0.6, 0.0):
            for _ in range(5):
                delay_s = estimator.choose_delay('desk', states, 10.0, left_s)
                assert 0 <= delay_s <= left_s / 3

    def test_no_two_callers_return_together(self):
        # Guards against refused callers that meet at the same moment.
        estimator = draining.DrainEstimator()
        states = [build_state('a', 2, 16, 12)]
        delays = sorted(
            estimator.choose_delay('desk', states, 10.0, 60.0)
            for _ in range(50)
        )
        for first, second in zip(delays, delays[2:]):
            assert second - first > 0.02

    def test_no_knowledge_gives_a_short_delay(self):
        # Guards against long waits after the start of a gateway.
        estimator = draining.DrainEstimator()
        assert 0 < estimator.choose_delay('desk', [], 10.0, 9.0) < 0.3


class Overload:
    """Callers at four gateways ask for twice what two endpoints serve.

    A caller has 2 s, and returns after each refusal as it was asked to.

    :param derived: whether delays are derived, or 0.1 s
    """

    def __init__(self, derived, seed=1):
        self._random = random.Random(seed)
        self._derived = derived
        self._estimators = [
            draining.DrainEstimator(self._random.random) for _ in range(4)
        ]
        self._ends = [[], []]
        self._own = [0, 0, 0, 0]
        self.attempts = 0
        self.first_served = 0
        self.first = 0
        self.returned_served = 0
        self.returned = 0
        self.served = 0

    def _describe(self, now):
        states = []
        for number, ends in enumerate(self._ends):
            state = build_state(f'e{number}')
            state.other_requests = len(ends)
            state.queued = max(0, len(ends) - SLOTS)
            state.load_at = now
            states.append(state)
        return states

    def run(self, duration_s=20.0, rate=240.0):
        """Play; the endpoints together serve 120 calls a second."""
        events = []
        asked_at = 0.0
        for number in range(int(duration_s * rate)):
            asked_at += self._random.expovariate(rate)
            heapq.heappush(events, (asked_at, 'call', number, asked_at, True))
        while events:
            now, kind, number, asked_at, new = heapq.heappop(events)
            gateway = self._random.randrange(4)
            if kind == 'end':
                self._own[number % 4] -= 1
                continue
            for ends in self._ends:
                ends[:] = [end for end in ends if end > now]
            self._attempt(events, now, number, asked_at, new, gateway)

    def _attempt(self, events, now, number, asked_at, new, gateway):
        self.attempts += 1
        ends = min(self._ends, key=len)
        served = len(ends) < SLOTS + QUEUE
        if new:
            self.first += 1
            self.first_served += served
        else:
            self.returned += 1
            self.returned_served += served
        if served:
            ahead = sorted(ends)[-SLOTS] if len(ends) >= SLOTS else now
            end = max(now, ahead) + CALL_S * self._random.uniform(0.5, 1.5)
            ends.append(end)
            self.served += 1
            self._estimators[gateway].note_answer('desk', end - now)
            self._own[gateway] += 1
            heapq.heappush(events, (end, 'end', gateway, now, False))
            return
        left_s = asked_at + 2.0 - now
        delay_s = 0.1
        if self._derived:
            states = self._describe(now)
            states[0].in_flight = self._own[gateway]
            states[0].other_requests -= min(
                self._own[gateway], states[0].other_requests
            )
            delay_s = self._estimators[gateway].choose_delay(
                'desk', states, now, left_s
            )
        # A caller gives up when a call would end too late.
        if delay_s + CALL_S < left_s:
            heapq.heappush(
                events, (now + delay_s, 'call', number, asked_at, False)
            )


class TestOverload:
    def test_fewer_attempts_for_the_same_work(self):
        # Guards against callers that return again and again in vain.
        fixed = Overload(derived=False)
        fixed.run()
        derived = Overload(derived=True)
        derived.run()
        assert derived.served >= 0.98 * fixed.served
        assert derived.attempts < fixed.attempts

    def test_returning_callers_are_less_behind_newcomers(self):
        # Guards against places that only newcomers find.
        odds = []
        for derived in (False, True):
            play = Overload(derived)
            play.run()
            first = play.first_served / play.first
            odds.append(play.returned_served / play.returned / first)
        assert odds[1] > 1.1 * odds[0]
