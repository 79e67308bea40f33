"""The decision how many reward calls a service may run at once."""

import types

from clementineline.coordination import scoring

NOW = 100.0


def build_endpoint(
    slots=6, others=0, load_at=NOW, backoff_until=0.0, limit=None
):
    """Return the observed state of an endpoint."""
    return types.SimpleNamespace(
        record=types.SimpleNamespace(slots=slots),
        other_requests=others,
        load_at=load_at,
        backoff_until=backoff_until,
        limit=limit,
    )


class TestRewardSlots:
    """Live calls keep half of the slots, and never stop the rewards."""

    def test_rewards_get_half_of_the_slots(self):
        states = [build_endpoint() for _ in range(3)]
        assert scoring.count_reward_slots(states, NOW) == 9

    def test_slots_that_others_use_are_not_counted(self):
        states = [build_endpoint(others=2), build_endpoint()]
        assert scoring.count_reward_slots(states, NOW) == 4

    def test_endpoint_full_of_live_calls_takes_one(self):
        states = [build_endpoint(others=9)]
        assert scoring.count_reward_slots(states, NOW) == 1

    def test_old_load_report_is_ignored(self):
        states = [build_endpoint(others=9, load_at=NOW - 2)]
        assert scoring.count_reward_slots(states, NOW) == 3

    def test_endpoint_with_a_limit_of_requests_takes_one(self):
        states = [build_endpoint(limit=object()), build_endpoint()]
        assert scoring.count_reward_slots(states, NOW) == 4

    def test_endpoint_in_backoff_takes_none(self):
        states = [build_endpoint(backoff_until=NOW + 1)]
        assert scoring.count_reward_slots(states, NOW) == 0

    def test_endpoint_with_one_slot_takes_one(self):
        assert scoring.count_reward_slots([build_endpoint(slots=1)], NOW) == 1
