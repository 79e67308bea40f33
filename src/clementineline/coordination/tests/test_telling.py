"""Limits that are told to members, without a network."""

import asyncio

import pytest

from clementineline.coordination import permits
from clementineline.coordination import telling
from clementineline.state import questions


class MembersStandIn:
    """Members that record what they are told.

    :ivar told: ``(name, rates)`` of each message
    :ivar silent: names of those that do not answer
    """

    def __init__(self):
        self.addresses = {'gateway-1': '', 'gateway-2': ''}
        self.silent = set()
        self.told = []

    async def ask(self, name, question):
        rates = [limit.rate for limit in question.limits.values()]
        self.told.append((name, *rates))
        return None if name in self.silent else questions.Acknowledged()


@pytest.fixture
def members():
    return MembersStandIn()


@pytest.fixture
async def tell(members, monkeypatch):
    """Return a function that tells all members the limit of an endpoint."""
    monkeypatch.setattr(telling, 'BACKOFF_S', 0.02)
    tasks = []
    teller = telling.Teller(
        members,
        members.ask,
        lambda coroutine: tasks.append(asyncio.create_task(coroutine)),
        telling.build_limits_question,
        0.0,
    )

    def tell_all(rate):
        now = asyncio.get_running_loop().time()
        teller.tell_all('e', permits.KnownLimit(rate, now, now))

    yield tell_all
    for task in tasks:
        task.cancel()


class TestTeller:
    async def test_silent_member_is_told_the_newest_limit_later(
        self, members, tell, wait_until
    ):
        members.silent = {'gateway-2'}
        tell(1.5)
        await wait_until(lambda: members.told.count(('gateway-2', 1.5)) > 1)
        tell(0.5)
        await wait_until(lambda: ('gateway-2', 0.5) in members.told)
        assert members.told.count(('gateway-1', 1.5)) == 1
        members.silent.clear()
        before = len(members.told)
        await asyncio.sleep(0.2)
        assert members.told[before:] == [('gateway-2', 0.5)]

    async def test_member_that_is_gone_is_not_told_again(
        self, members, tell, wait_until
    ):
        members.silent = {'gateway-2'}
        tell(1.5)
        await wait_until(lambda: members.told.count(('gateway-2', 1.5)) > 1)
        del members.addresses['gateway-2']
        before = len(members.told)
        await asyncio.sleep(0.2)
        assert len(members.told) <= before + 1

    async def test_changes_at_the_same_time_are_one_message(
        self, members, tell, wait_until
    ):
        tell(1.5)
        tell(0.5)
        await wait_until(lambda: len(members.told) == 2)
        assert members.told == [('gateway-1', 0.5), ('gateway-2', 0.5)]
