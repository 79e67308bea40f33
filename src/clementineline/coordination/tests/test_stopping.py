"""Requests that a process accepts between the stop signal and its end."""

import pytest

from clementineline.coordination import stopping

LATE_AT = 103.0
ENDS_AT = 107.0


class TestStopSchedule:
    @pytest.mark.parametrize(
        ('now', 'deadline', 'repeatable', 'accepted'),
        [
            (100.5, 106.9, False, True),
            (100.5, 107.1, False, False),
            (100.5, 112.0, True, True),
            (102.9, 112.0, True, True),
            (103.1, 112.0, True, False),
            (104.0, 104.8, True, True),
            (106.5, 107.3, True, False),
            (104.0, 104.8, False, True),
        ],
    )
    def test_request_is_accepted_if_it_is_answered_or_may_be_repeated(
        self, now, deadline, repeatable, accepted
    ):
        schedule = stopping.StopSchedule(LATE_AT, ENDS_AT)
        refusal = schedule.find_refusal(now, deadline, repeatable)
        assert (refusal == '') == accepted
