"""Entries of other writers that cannot be read or used.

Each must cost itself alone: the other entries, their changes and processes
that start are as without it.
"""

import msgspec
import pytest

from clementineline.coordination import ledger
from clementineline import errors
from clementineline.platform import dialect
from clementineline.platform.tests import standin
from clementineline.platform.tests import test_documents

# For tests that start processes.
FEW_ODD_VALUES = [
    'half a surrogate pair',
    'integer of over 64 bits',
    'Infinity',
    'arrays nested 900 deep',
    'arrays nested 100000 deep',
]
APPLY_S = 2.0


def build_odd_entry(name):
    """Return an entry that resembles an endpoint's, with one odd value."""
    odd = test_documents.ODD_VALUES[name]
    return standin.RawJson(
        b'{"service":"lm","state":"ready","slots":%s}' % odd
    )


@pytest.mark.parametrize('name', test_documents.ODD_VALUES)
class TestReadingTheStore:
    """One unreadable entry hid all entries of its page (review/5)."""

    def fill(self, store, name):
        store.put('servers', 'a', {'n': 1})
        store.put('servers', 'b', build_odd_entry(name))
        store.put('servers', 'c', {'n': 3})

    def check(self, found):
        values = {each.name: each.value for each in found}
        assert values == {'a': {'n': 1}, 'b': {}, 'c': {'n': 3}}
        (odd,) = [each for each in found if each.name == 'b']
        assert odd.fault
        for each in found:
            msgspec.msgpack.encode(each.value)

    @pytest.mark.parametrize('page_size', [1, 500])
    async def test_list(self, store, client, name, page_size):
        store.page_size = page_size
        self.fill(store, name)
        page = await client.list_objects('servers')
        self.check(page.objects)
        assert page.version == store.revision

    async def test_watch(self, store, client, name):
        since = store.revision
        self.fill(store, name)
        store.put('servers', 'd', {})
        store.remove('servers', 'd')
        page = await client.watch('servers', since, 1.0)
        self.check(page.objects)
        assert page.removed == ['d']
        assert page.version == store.revision

    async def test_read(self, store, client, name):
        self.fill(store, name)
        found = await client.read('servers', 'b')
        assert (found.name, found.value) == ('b', {})

    async def test_status(self, store, client, name):
        odd = standin.RawJson(test_documents.ODD_VALUES[name])
        store.put('retirements', 'a', {'n': 1}, status=odd)
        (found,) = (await client.list_objects('retirements')).objects
        assert (found.value, found.status) == ({'n': 1}, None)


class TestPages:
    async def test_page_that_is_none_is_an_error_of_the_store(
        self, store, client, monkeypatch
    ):
        monkeypatch.setattr(standin, '_encode_json', lambda value: b'[1]')
        with pytest.raises(errors.PlatformError):
            await client.list_objects('servers')
        with pytest.raises(errors.PlatformError):
            await client.watch('servers', 1, 0.1)


ENTRY = {
    'service': 'desk',
    'address': '127.0.0.1:7100',
    'zone': 'walvis-a',
    'slots': 4,
    'state': 'ready',
}


class TestEntriesOfEndpoints:
    decode = staticmethod(dialect.WireDialect.decode_endpoint)

    def test_usual_entry_is_decoded(self):
        assert self.decode('i-1', ENTRY).slots == 4

    @pytest.mark.parametrize(
        'fields',
        [
            {'address': '127.0.0.1:70000'},
            {'address': '127.0.0.1:-1'},
            {'address': '127.0.0.1:0'},
            {'address': '127.0.0.1:\u00b2'},
            {'address': '127.0.0.1:' + '9' * 5000},
            {'address': 'desk.example:7100'},
            {'address': '127.0.0.1\x00:7100'},
            {'address': ''},
            {'address': 7100},
            {'address': 'x' * 1_000_000},
            {'slots': 2**62},
            {'slots': 0},
            {'slots': -4},
            {'slots': 2.5},
            {'slots': None},
            {'zone': ['walvis-a']},
            {'state': 'asleep'},
            {'coldLeftMs': 'long'},
            {'models': {'m0': 1}},
            {'born': '1700000000000'},
        ],
        ids=str,
    )
    def test_odd_entry_names_no_endpoint(self, fields):
        assert self.decode('i-1', {**ENTRY, **fields}) is None

    @pytest.mark.parametrize(
        'name', ['', 'i 1', 'i\r\n1', 'i\u00e9', 'i' * 300]
    )
    def test_id_that_is_no_header_value_names_no_endpoint(self, name):
        assert self.decode(name, ENTRY) is None


@pytest.mark.parametrize('name', FEW_ODD_VALUES)
class TestProcesses:
    """Keepers that started beside an odd entry knew no server (review/3)."""

    async def start(self, deployment, wait_until):
        await deployment.start_server('i-desk', 'desk')
        await deployment.start_server('i-lm0', 'lm', {'m0': 1, 'm1': 1})
        gateway = await deployment.start_gateway('gateway-1')
        await deployment.start_keeper('keeper-1')
        await deployment.start_keeper('keeper-2')
        await wait_until(lambda: gateway.is_ready and deployment.find_leader())
        return gateway

    async def test_start_beside_an_odd_entry(
        self, deployment, wait_until, name
    ):
        deployment.store.put('servers', 'i-odd', build_odd_entry(name))
        gateway = await self.start(deployment, wait_until)
        assert await deployment.submit(gateway, 's1') == 202
        await deployment.read_all(gateway, 's1', 4)

    async def test_change_beside_an_odd_entry(
        self, deployment, wait_until, name
    ):
        gateway = await self.start(deployment, wait_until)
        deployment.store.put('servers', 'i-odd', build_odd_entry(name))
        desk = deployment.servers['i-desk']
        entry = desk.describe('desk', state='draining')
        deployment.store.put('servers', 'i-desk', entry)
        for process in [gateway, *deployment.keepers.values()]:
            await wait_until(
                lambda process=process: (
                    not process._directory.list_usable('desk')
                ),
                APPLY_S,
            )

    async def test_endpoint_whose_entry_becomes_odd_gets_no_requests(
        self, deployment, wait_until, name
    ):
        gateway = await self.start(deployment, wait_until)
        deployment.store.put('servers', 'i-desk', build_odd_entry(name))
        for process in [gateway, *deployment.keepers.values()]:
            await wait_until(
                lambda process=process: (
                    not process._directory.list_usable('desk')
                ),
                APPLY_S,
            )


class TestOtherKinds:
    @pytest.mark.parametrize(
        'value',
        [
            {'address': '127.0.0.1:70000', 'keeps': True},
            {'address': 'nowhere', 'keeps': True},
            {'address': '127.0.0.1:7100', 'keeps': True, 'zone': []},
            {'address': None},
            standin.RawJson(b'{"address":"\\ud83d"}'),
        ],
    )
    async def test_odd_member_is_ignored(self, served, value):
        gateway = served.gateways['gateway-1']
        served.store.put('members', 'a-odd', value)
        await gateway._members.refresh()
        assert 'a-odd' not in gateway._members.addresses
        assert gateway._members.keepers
        served.clients['gateway-1'].reachable = False
        status, _ = await served.read(gateway, 'unknown')
        assert status == 404

    async def test_unreadable_lease_is_replaced(self, served, wait_until):
        served.store.put('lease', 'leader', standin.RawJson(b'{"holder":NaN}'))
        await wait_until(lambda: not served.find_leader())
        await wait_until(served.find_leader, 10.0)

    @pytest.mark.parametrize(
        'value', [{}, {'first': 0}, standin.RawJson(b'[Infinity]')]
    )
    async def test_odd_chunk_is_an_error_of_the_store(
        self, store, client, value
    ):
        """No position may be skipped."""
        store.put('results-s1', '000000', value)
        store.put('results-s1', 'notes', {})
        found = ledger.Ledger(client, 1 << 20)
        with pytest.raises(errors.PlatformError, match='results-s1/000000'):
            await found.read_chunks('s1')

    async def test_object_that_is_no_chunk_is_ignored(self, store, client):
        store.put('results-s1', 'notes', {})
        assert await ledger.Ledger(client, 1 << 20).read_chunks('s1') == []

    async def test_odd_submissions_versions_and_manifests_are_ignored(
        self, served
    ):
        odd = standin.RawJson(b'{"model":"m0","version":-1e999}')
        for kind in ('submissions', 'versions', 'retirements', 'config'):
            served.store.put(kind, 'odd', odd)
        gateway = served.gateways['gateway-1']
        assert await served.submit(gateway, 's1') == 202
        await served.read_all(gateway, 's1', 4)
