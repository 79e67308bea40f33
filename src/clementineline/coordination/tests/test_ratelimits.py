"""Permits of one process, without other processes."""

import asyncio
import types

import h11
import pytest

from clementineline.coordination import directory
from clementineline.coordination import ratelimits
from clementineline import errors
from clementineline.state import directory as records
from clementineline.state import questions


def build_response(limit=None, status=200):
    """Return the head of a response that names a limit, or none."""
    headers = [] if limit is None else [('Server-Limit', str(limit))]
    return h11.Response(status_code=status, headers=headers)


def read_reply(headers):
    found = dict(headers).get(b'Server-Limit')
    return types.SimpleNamespace(rate_limit=float(found) if found else None)


@pytest.fixture
def state():
    return directory.EndpointState(
        records.EndpointRecord(
            'e', 'lm', '10.0.0.1:80', 'z', 4, False, 0.0, {}, 0
        )
    )


@pytest.fixture
def limits(state, clock, log):
    known = directory.Directory(lambda name, value: value, clock, log)
    known.add(state)
    members = types.SimpleNamespace(
        addresses={'keeper-1': '127.0.0.1:1'}, keepers={'keeper-1'}
    )
    return ratelimits.RateLimits(
        'gateway-1', False, members, known, read_reply, log
    )


class TestRateLimits:
    async def test_first_response_sets_the_limit_and_a_later_one_ends_it(
        self, limits, state
    ):
        limits.observe(state, build_response(1.5))
        assert state.limit.known.rate == 1.5
        assert limits.list_limited() == [state]
        limits.observe(state, build_response())
        assert state.limit is None

    async def test_response_of_another_endpoint_says_nothing(
        self, limits, state
    ):
        limits.observe(state, build_response(1.5, status=421))
        assert state.limit is None

    async def test_probe_is_never_admitted(self, limits, state):
        limits.observe(state, build_response(100.0))
        with pytest.raises(errors.LimitReached):
            await limits.admit(state, ratelimits.Purpose.PROBE, 1.0)

    async def test_limit_that_ends_while_a_permit_is_asked_for(
        self, limits, state, wait_until
    ):
        started = asyncio.Event()
        limits.on_permit = started.set
        limits.observe(state, build_response(1.5))
        limit = state.limit
        assert not limits.may_start(state)
        limits.observe(state, build_response())
        await wait_until(started.is_set, 5.0)
        assert not limit.asking
        assert limits.may_start(state)

    async def test_limit_of_an_endpoint_that_is_found_later(
        self, limits, state
    ):
        """A restarted process may ask others before it reads the endpoints."""
        endpoints = limits._directory.endpoints
        del endpoints[state.id]
        stated = questions.StatedLimit(1.5, 0.1, 0.1)
        await limits.answer(questions.TellLimits({state.id: stated}))
        limits.apply_early()
        assert not limits.list_limited()
        endpoints[state.id] = state
        limits.apply_early()
        assert state.limit.known.rate == 1.5

    async def test_newest_limit_of_an_endpoint_that_is_found_later(
        self, limits, state
    ):
        """Members may answer with limits of different ages."""
        endpoints = limits._directory.endpoints
        del endpoints[state.id]
        for rate, age_s in ((0.5, 0.1), (1.5, 2.0)):
            stated = questions.StatedLimit(rate, age_s, 5.0)
            await limits.answer(questions.TellLimits({state.id: stated}))
        endpoints[state.id] = state
        limits.apply_early()
        assert state.limit.known.rate == 0.5
