"""Submissions that are too large for one object of the store.

Their items are stored in several objects. These tests guard against items that
are lost, listed twice or left in the store after the submission is removed.
"""

import pytest

VALUE_BYTES = 2000
ITEMS = 30


@pytest.fixture
async def small(deployment, wait_until):
    """Start a gateway, two keepers and two engines with small store values."""
    deployment.store.value_bytes = 1 << 20
    deployment.value_bytes = VALUE_BYTES
    await deployment.start_server('i-lm0', 'lm', {'m0': 1, 'm1': 1})
    await deployment.start_server('i-lm1', 'lm', {'m0': 1, 'm1': 1})
    gateway = await deployment.start_gateway('gateway-1')
    await deployment.start_keeper('keeper-1')
    await deployment.start_keeper('keeper-2')
    await wait_until(lambda: gateway.is_ready and deployment.find_leader())
    # The manifest is larger than this, so the limit is set only now. The lease
    # and the members are smaller.
    deployment.store.value_bytes = VALUE_BYTES
    return deployment


def count_item_objects(deployment, submission_id):
    """Count the objects that hold the items of a submission."""
    kind = f'items-{submission_id}'
    return sum(1 for key in deployment.store.objects if key[0] == kind)


class TestLargeSubmissions:
    async def test_each_item_is_listed_once(self, small):
        gateway = small.gateways['gateway-1']
        assert await small.submit(gateway, 's1', items=ITEMS) == 202
        assert count_item_objects(small, 's1') > 2
        results = await small.read_all(gateway, 's1', ITEMS)
        listed = [result['id'] for result in results]
        assert sorted(listed) == sorted(f's1-i{n}' for n in range(ITEMS))
        assert await small.submit(gateway, 's1', items=ITEMS) == 202

    async def test_items_are_readable_after_a_change_of_the_leader(
        self, small, wait_until
    ):
        for server in small.servers.values():
            server.gap_s = 0.2
        gateway = small.gateways['gateway-1']
        await small.submit(gateway, 's1', items=ITEMS)
        leader = small.keepers.pop(small.find_leader())
        await leader._tasks.stop()
        target = '/api/items/s1?id=s1-i29'
        status, _, body = await small.call(gateway, 'GET', target)
        assert (status, body) == (200, b'prompt 29')
        for server in small.servers.values():
            server.gap_s = 0.0
        results = await small.read_all(gateway, 's1', ITEMS)
        assert len({result['id'] for result in results}) == ITEMS

    async def test_submission_is_refused_if_an_item_cannot_be_written(
        self, small
    ):
        small.store.value_bytes = 300
        gateway = small.gateways['gateway-1']
        assert await small.submit(gateway, 's1', items=ITEMS) == 503
        assert ('submissions', 's1') not in small.store.objects
        small.store.value_bytes = VALUE_BYTES
        assert await small.submit(gateway, 's1', items=ITEMS) == 202

    async def test_item_objects_are_removed_with_the_submission(
        self, small, wait_until
    ):
        gateway = small.gateways['gateway-1']
        await small.submit(gateway, 's1', items=ITEMS)
        await small.read_all(gateway, 's1', ITEMS)
        small.keepers[small.find_leader()]._owner.retain_s = 0.0
        await wait_until(lambda: not count_item_objects(small, 's1'))
        await wait_until(
            lambda: ('submissions', 's1') not in small.store.objects
        )
