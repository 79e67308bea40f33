import asyncio

import pytest

from clementineline import errors
from clementineline.platform import objects
from clementineline.platform.tests import standin
from clementineline.transport import frames


class TestWrites:
    async def test_creation_and_replacement_are_conditional(
        self, store, client
    ):
        version = await client.write('lease', 'a', {'x': 1}, 0)
        with pytest.raises(errors.WriteConflict):
            await client.write('lease', 'a', {'x': 2}, 0)
        newer = await client.write('lease', 'a', {'x': 3}, version)
        assert newer > version
        with pytest.raises(errors.WriteConflict):
            await client.write('lease', 'a', {'x': 4}, version)
        found = await client.read('lease', 'a')
        assert (found.value['x'], found.version) == (3, newer)

    async def test_write_without_response_is_resolved_by_a_read(
        self, store, client
    ):
        store.lose_writes = 1
        version = await client.write('lease', 'a', {'x': 1}, 0)
        assert version == store.objects[('lease', 'a')]['metadata']['revision']
        assert len([c for c in store.calls if c[0] == 'POST']) == 1

    async def test_write_that_takes_effect_late_is_ambiguous(
        self, store, client
    ):
        store.hold_writes = 1
        with pytest.raises(errors.AmbiguousWrite):
            await client.write('lease', 'a', {'x': 1}, 0)
        store.apply_held_writes()
        with pytest.raises(errors.WriteConflict):
            await client.write('lease', 'a', {'x': 1}, 0)

    @pytest.mark.parametrize('status', [500, 502, 504, 302, 204])
    async def test_status_that_refuses_nothing_leaves_the_outcome_open(
        self, store, client, status
    ):
        """The write took effect, and callers were told that it had not."""
        raw = b'HTTP/1.1 %d X\r\nConnection: close\r\n\r\n' % status
        store.raw_write_answers = [raw, raw, raw]
        version = await client.write('lease', 'a', {'x': 1}, 0)
        assert version == store.objects[('lease', 'a')]['metadata']['revision']
        for change in (
            client.write_status('lease', 'a', {}),
            client.delete('lease', 'a'),
        ):
            with pytest.raises(errors.AmbiguousWrite):
                await change

    async def test_status_is_replaced_without_the_spec(self, store, client):
        store.put('retirements', 'n', {'durationS': 1})
        assert await client.write_status('retirements', 'n', {'state': 'x'})
        assert store.get_status('retirements', 'n') == {'state': 'x'}
        assert store.get_spec('retirements', 'n') == {'durationS': 1}
        assert not await client.write_status('retirements', 'o', {})


class TestLists:
    async def test_list_reads_all_pages(self, store, client):
        store.page_size = 2
        for number in range(5):
            store.put('servers', f's{number}', {'n': number})
        page = await client.list_objects('servers')
        assert [found.name for found in page.objects] == [
            f's{number}' for number in range(5)
        ]

    async def test_spec_that_is_not_an_object_is_read_as_empty(
        self, store, client
    ):
        store.put('servers', 's', 'not an object')
        page = await client.list_objects('servers')
        assert page.objects[0].value == {}

    async def test_watch_reports_changes_and_removals(self, store, client):
        store.put('servers', 'a', {})
        since = store.revision
        store.put('servers', 'b', {})
        store.remove('servers', 'a')
        page = await client.watch('servers', since, 1.0)
        assert [found.name for found in page.objects] == ['b']
        assert page.removed == ['a']

    async def test_watch_from_a_forgotten_version_raises(self, store, client):
        since = store.revision
        store.put('servers', 'a', {})
        store.forget_history()
        with pytest.raises(errors.HistoryGone):
            await client.watch('servers', since, 1.0)


class TestOutage:
    async def test_refused_call_raises_platform_unavailable(
        self, store, client
    ):
        store.down = True
        with pytest.raises(errors.PlatformUnavailable):
            await client.read('lease', 'a')
        assert not client.reachable

    async def test_calls_are_relayed_until_the_store_responds(
        self, store, client, monkeypatch, wait_until
    ):
        monkeypatch.setattr(objects, 'PROBE_INTERVAL_S', 0.02)
        relayed = []

        async def relay(method, path, body, timeout_s):
            relayed.append((method, path))
            return 404, b''

        client.relay = relay
        store.down = True
        assert await client.read('lease', 'a') is None
        assert relayed == [('GET', '/lease/a')]
        store.down = False
        await wait_until(lambda: client.reachable)
        store.put('lease', 'a', {'x': 1})
        assert (await client.read('lease', 'a')).value == {'x': 1}
        assert len(relayed) == 1

    async def test_write_without_response_is_not_relayed(self, store, client):
        calls = []

        async def relay(method, path, body, timeout_s):
            calls.append(method)
            await asyncio.sleep(0)
            return 404, b''

        client.relay = relay
        store.hold_writes = 1
        with pytest.raises(errors.AmbiguousWrite):
            await client.write('lease', 'a', {'x': 1}, 0)
        assert calls == ['GET']


class TestEndOfOutage:
    """Calls through a relay that cannot reach the store either."""

    @pytest.fixture
    async def cut_off(self, store, client):
        """Return the client during an outage, with a relay that hangs."""

        async def hang(*call):
            await asyncio.sleep(30)

        client.relay = hang
        store.put('lease', 'a', {'x': 1})
        store.down = True
        call = asyncio.create_task(client.read('lease', 'b'))
        async with asyncio.timeout(5):
            while client.reachable:
                await asyncio.sleep(0.01)
        yield client
        call.cancel()

    async def test_read_is_made_directly_when_the_store_is_back(
        self, store, cut_off
    ):
        reading = asyncio.create_task(cut_off.read('lease', 'a'))
        await asyncio.sleep(0.1)
        assert not reading.done()
        store.down = False
        async with asyncio.timeout(objects.PROBE_INTERVAL_S + 0.5):
            found = await reading
        assert found.value['x'] == 1

    async def test_write_is_resolved_when_the_store_is_back(
        self, store, cut_off
    ):
        """The lease of a leader lapsed 0.55 s after an outage of 2.9 s.

        Its renewal still waited for a relay, and another keeper took over.
        """
        writing = asyncio.create_task(cut_off.write('lease', 'c', {'x': 1}, 0))
        await asyncio.sleep(0.1)
        store.down = False
        async with asyncio.timeout(objects.PROBE_INTERVAL_S + 0.5):
            with pytest.raises(errors.AmbiguousWrite):
                await writing
            await cut_off.write('lease', 'c', {'x': 1}, 0)


class TestNewConnectionsRefused:
    """A VM whose open connections to the store still work."""

    @pytest.fixture
    def relayed(self, store, client, log):
        """Return the client; another process makes its calls, slowly."""
        other = objects.ObjectStore(frames.parse_address(store.address), log)

        async def relay(*call):
            await asyncio.sleep(0.4)
            return await other.call_directly(*call)

        client.relay = relay
        return client

    def refuse_connections(self, client):
        address = f'127.0.0.1:{standin.find_free_port()}'
        client._address = frames.parse_address(address)
        client._idle_connections.clear()

    async def test_end_of_an_earlier_watch_abandons_no_relayed_write(
        self, store, relayed
    ):
        """The leader lost its lease to its own renewal."""
        watch = asyncio.create_task(relayed.watch('k', store.revision, 0.2))
        await asyncio.sleep(0.05)
        self.refuse_connections(relayed)
        version = await relayed.write('lease', 'c', {'x': 1}, 0)
        assert version == store.revision
        assert watch.done()
        assert not relayed.reachable

    async def test_end_of_an_earlier_watch_shows_the_end_of_an_outage(
        self, store, relayed, monkeypatch, wait_until
    ):
        monkeypatch.setattr(objects, 'PROBE_INTERVAL_S', 60.0)
        watch = asyncio.create_task(relayed.watch('k', store.revision, 0.8))
        await asyncio.sleep(0.05)
        store.down = True
        with pytest.raises(errors.PlatformUnavailable):
            await relayed.read('lease', 'c')
        assert not relayed.reachable
        store.down = False
        await watch
        await wait_until(lambda: relayed.reachable, 1.0)
