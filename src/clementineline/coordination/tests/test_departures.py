"""Tests of the removal of departed members.

A VM that is replaced leaves its member object in the store. It must be
removed, but a member that is unreachable only for a short time must stay.
"""

import asyncio
import types

import pytest

from clementineline.coordination import departures
from clementineline.coordination import members
from clementineline import errors
from clementineline.state import objects


class FakeStore:
    """Member objects in memory."""

    def __init__(self, *names):
        self.addresses = {name: '10.0.0.1:9000' for name in names}
        self.down = False

    async def delete(self, kind, name):
        if self.down:
            raise errors.PlatformUnavailable('down')
        del self.addresses[name]

    async def read(self, kind, name):
        if name not in self.addresses:
            return None
        value = {'address': self.addresses[name]}
        return objects.PlatformObject(kind, name, 1, value)

    async def write(self, kind, name, value, expected):
        self.addresses[name] = value['address']

    async def list_objects(self, kind, stale=False):
        listed = [await self.read(kind, name) for name in self.addresses]
        return objects.ObjectPage(1, listed, [])


@pytest.fixture
def fleet(clock, log, monkeypatch):
    """A leader that knows three members and removes unreachable ones."""
    monkeypatch.setattr(departures, 'PROBE_INTERVAL_S', 0.0)
    store = FakeStore('a', 'b', 'c')
    known = members.MemberRegistry('me', '10.0.0.9:1', True, store, log)
    known.addresses = dict(store.addresses)
    unreachable = set()
    checked = asyncio.Queue()

    async def probe(address):
        name = remover._checking
        checked.put_nowait(name)
        return name not in unreachable

    class Remover(departures.DepartedMemberRemover):
        async def _check(self, name):
            self._checking = name
            await super()._check(name)

    fleet = types.SimpleNamespace(
        store=store,
        members=known,
        unreachable=unreachable,
        leads=True,
        checked=checked,
    )
    remover = Remover(known, lambda: fleet.leads, clock, log, probe)
    fleet.remover = remover
    return fleet


async def run_checks(fleet, count):
    task = asyncio.create_task(fleet.remover.run())
    async with asyncio.timeout(5):
        for _ in range(count):
            await fleet.checked.get()
    task.cancel()


class TestDepartedMemberRemover:
    async def test_member_unreachable_for_a_minute_is_removed(
        self, fleet, clock
    ):
        fleet.unreachable.add('b')
        await run_checks(fleet, 6)
        clock.time_s += departures.UNREACHABLE_TIMEOUT_S - 1
        await run_checks(fleet, 6)
        assert 'b' in fleet.store.addresses
        clock.time_s += 2
        await run_checks(fleet, 6)
        assert sorted(fleet.store.addresses) == ['a', 'c']
        assert sorted(fleet.members.addresses) == ['a', 'c']

    async def test_member_that_answers_within_the_minute_stays(
        self, fleet, clock
    ):
        fleet.unreachable.add('b')
        await run_checks(fleet, 6)
        fleet.unreachable.clear()
        clock.time_s += departures.UNREACHABLE_TIMEOUT_S / 2
        await run_checks(fleet, 6)
        fleet.unreachable.add('b')
        clock.time_s += departures.UNREACHABLE_TIMEOUT_S / 2 + 1
        await run_checks(fleet, 6)
        assert 'b' in fleet.store.addresses

    async def test_store_outage_only_delays_the_removal(self, fleet, clock):
        fleet.unreachable.add('b')
        fleet.store.down = True
        await run_checks(fleet, 6)
        clock.time_s += departures.UNREACHABLE_TIMEOUT_S + 1
        await run_checks(fleet, 6)
        fleet.store.down = False
        await run_checks(fleet, 6)
        assert 'b' not in fleet.store.addresses

    async def test_member_whose_object_is_missing_registers_again(
        self, fleet, monkeypatch, wait_until
    ):
        monkeypatch.setattr(members, 'REFRESH_INTERVAL_S', 0.01)
        task = asyncio.create_task(fleet.members.run())
        await wait_until(lambda: 'me' in fleet.store.addresses)
        await asyncio.sleep(0)
        del fleet.store.addresses['me']
        await wait_until(lambda: 'me' in fleet.store.addresses)
        task.cancel()
