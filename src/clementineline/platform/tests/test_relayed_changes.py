"""Gateways that learn of changes from a keeper in place of the store.

Whatever happens to the keeper, a change is in force within the bound.
"""

import asyncio

import pytest

from clementineline.coordination import rendezvous
from clementineline.platform.tests import standin

# Defaults of settings.WatchSettings.
APPLY_S = 2.0
ZONE = 'walvis-a'


@pytest.fixture
async def relayed(served, wait_until):
    """Wait until the gateway and the other keeper ask the source."""
    source = rendezvous.rank(ZONE, sorted(served.keepers))[0]
    served.source = served.keepers[source]
    (served.other,) = set(served.keepers.values()) - {served.source}
    served.gateway = served.gateways['gateway-1']
    for process in (served.gateway, served.other):
        await process._members.refresh()
        relay = process._watch_relay
        await wait_until(
            lambda relay=relay: (
                list(relay._sources.values()) == [source, source]
            )
        )
    return served


class Changes:
    """Writes changes to the store and waits until a process has them."""

    def __init__(self, store, wait_until):
        self._store = store
        self._wait_until = wait_until
        self._version = 1

    async def write_routes(self, process):
        self._version += 1
        version = self._version
        self._store.put('config', 'main', standin.build_manifest(version))
        await self._wait_until(
            lambda: process._routes.table.version == version, APPLY_S
        )

    async def write_leaving(self, server, process, **entry):
        self._store.put(
            'servers', server.name, {**server.describe('desk'), **entry}
        )
        await self._wait_until(
            lambda: not process._directory.list_usable('desk'), APPLY_S
        )


@pytest.fixture
def changes(served, wait_until):
    return Changes(served.store, wait_until)


async def hang(*_, **__):
    await asyncio.sleep(60)


class SilentStore:
    """A store that never responds."""

    list_objects = hang
    watch = hang


class TestCallsToTheStore:
    """They must not grow with the number of processes."""

    async def test_processes_that_are_no_source_do_not_watch(self, relayed):
        asking = [
            relayed.clients['gateway-1'],
            relayed.clients[relayed.other._settings.name],
        ]
        shared = {'servers', 'config'}
        await asyncio.sleep(0.1)
        relayed.store.calls.clear()
        await asyncio.sleep(3.0)
        watches = [
            kind
            for _, kind, query in relayed.store.calls
            if kind in shared and 'watch' in query
        ]
        # Two watches of each kind by the source alone.
        assert len(watches) <= 4
        assert all(client.reachable for client in asking)

    async def test_change_reaches_all_processes(self, relayed, changes):
        await changes.write_routes(relayed.gateway)
        await changes.write_routes(relayed.other)
        desk = relayed.servers['i-desk']
        await changes.write_leaving(desk, relayed.gateway, state='leaving')


class TestSourceFails:
    """A change is written when the source has just failed."""

    async def check_changes(self, relayed, changes):
        await changes.write_routes(relayed.gateway)
        await changes.write_routes(relayed.other)
        desk = relayed.servers['i-desk']
        await changes.write_leaving(desk, relayed.gateway, state='leaving')

    async def test_source_falls_silent(self, relayed, changes):
        relayed.source._answer_watch = hang
        await self.check_changes(relayed, changes)

    async def test_source_is_killed(self, relayed, changes):
        await relayed.source._tasks.stop()
        await self.check_changes(relayed, changes)

    async def test_source_loses_the_store(self, relayed, changes):
        """Its connections are silent."""
        watchers = list(relayed.source._shared_watchers.values())
        for watcher in watchers:
            watcher._store = SilentStore()
        # The watches that still wait at the store end.
        await asyncio.sleep(max(watcher._wait_s for watcher in watchers))
        await self.check_changes(relayed, changes)

    async def test_source_misses_the_response_to_its_watch(
        self, relayed, changes
    ):
        relayed.store.lose_watches = 4
        await asyncio.sleep(2.6)
        await self.check_changes(relayed, changes)

    async def test_source_comes_back(self, relayed, changes, wait_until):
        answer = relayed.source._answer_watch
        relayed.source._answer_watch = hang
        await changes.write_routes(relayed.gateway)
        relayed.source._answer_watch = answer
        name = relayed.source._settings.name
        relay = relayed.gateway._watch_relay
        await wait_until(lambda: list(relay._sources.values()) == [name, name])
        await changes.write_routes(relayed.gateway)


class TestOutageOfTheStore:
    """Entries that lapsed in an outage are used until they are back."""

    async def test_entry_that_lapsed_in_an_outage_is_kept(
        self, relayed, wait_until
    ):
        gateway = relayed.gateway
        watchers = [
            process._endpoint_watcher for process in (relayed.source, gateway)
        ]
        relayed.store.down = True
        await wait_until(
            lambda: all(watcher.lost_at is not None for watcher in watchers)
        )
        relayed.store.remove('servers', 'i-desk')
        relayed.store.down = False
        await wait_until(
            lambda: gateway._directory.endpoints['i-desk'].expires_at
        )
        assert gateway._directory.list_usable('desk')
        desk = relayed.servers['i-desk']
        relayed.store.put('servers', 'i-desk', desk.describe('desk'))
        await asyncio.sleep(2.5)
        assert gateway._directory.list_usable('desk')

    async def test_lost_history_is_passed_on(self, relayed, changes):
        relayed.store.forget_history()
        await changes.write_routes(relayed.gateway)
