"""Leaders that were frozen or stopped before another keeper led."""

import asyncio

import pytest

from clementineline.coordination import carryover
from clementineline.state import questions

ITEMS = 4


class FrozenLeader:
    """The leader, whose lease makes no step until it wakes."""

    def __init__(self, deployment, monkeypatch):
        self.name = deployment.find_leader()
        self.keeper = deployment.keepers[self.name]
        self._awake = asyncio.Event()
        manager = self.keeper._lease
        step = type(manager).step

        async def step_when_awake(stepping):
            if stepping is manager:
                await self._awake.wait()
            await step(stepping)

        monkeypatch.setattr(type(manager), 'step', step_when_awake)

    def wake(self):
        self._awake.set()


@pytest.fixture
async def frozen(served, monkeypatch):
    for name in ('i-lm0', 'i-lm1'):
        served.servers[name].gap_s = 0.4
    status = await served.submit(
        served.gateways['gateway-1'], 's1', items=ITEMS
    )
    assert status == 202
    leader = FrozenLeader(served, monkeypatch)
    yield leader
    leader.wake()


class TestFrozenLeader:
    async def test_results_come_again_when_it_leads_again(
        self, served, frozen, wait_until
    ):
        """It answered from the state that it had before (review/4)."""
        gateway = served.gateways['gateway-1']
        await wait_until(
            lambda: served.find_leader() not in (None, frozen.name)
        )
        successor = served.find_leader()
        results = await served.read_all(gateway, 's1', ITEMS)
        status, _, _ = await served.call(gateway, 'DELETE', '/api/lots/s1')
        assert status == 200
        # The watch of the frozen leader's owner reports the end, so the owner
        # never meets the chunks that its successor has recorded.
        owner = frozen.keeper._owner
        await wait_until(lambda: owner.open_submissions['s1'].ended)
        await served.keepers[successor].stop()
        del served.keepers[successor]
        frozen.wake()
        await wait_until(lambda: served.find_leader() == frozen.name)
        answer = await frozen.keeper._answer(
            questions.ReadResults('s1', 0, 0.0)
        )
        listed = [result.item_id for result in answer.page.results]
        assert listed == [result['id'] for result in results]

    async def test_read_that_waits_is_not_answered_after_the_term(
        self, served, frozen, wait_until
    ):
        """The page of the old owner lacks what another one has recorded."""
        keeper = frozen.keeper
        owner = keeper._owner
        await wait_until(lambda: 's1' in owner.open_submissions)
        read = asyncio.create_task(
            keeper._answer(questions.ReadResults('s1', ITEMS, 1.0))
        )
        await asyncio.sleep(0.05)
        frozen.wake()
        await keeper._stop_leading('test')
        keeper._start_leading()
        answer = await read
        assert isinstance(answer, questions.NotLeading)


class TestLateCreate:
    """The store carries out a create of results after its owner has gone."""

    @pytest.mark.parametrize('ended', [False, True])
    @pytest.mark.parametrize(
        ('first', 'listed'), [('successor', 0), ('late', ITEMS)]
    )
    async def test_all_readers_see_the_same_results(
        self, served, wait_until, monkeypatch, ended, first, listed
    ):
        """Gateways read results that the leader never listed (review/8).

        :param first: whose create the store carries out first
        """
        # The successor has no text that it could record itself.
        monkeypatch.setattr(carryover, 'restore_text', lambda *given: None)
        gateway = served.gateways['gateway-1']
        store = served.store
        store.hold_kind = 'results-'
        store.hold_writes = 1
        assert await served.submit(gateway, 's1', items=ITEMS) == 202
        await wait_until(lambda: store.held_writes)
        for name in ('i-lm0', 'i-lm1'):
            served.servers[name].gap_s = 60.0
        if first == 'late':
            store.hold_writes = 100
        leader = served.find_leader()
        await served.keepers.pop(leader).stop()
        await wait_until(lambda: served.find_leader() not in (None, leader))
        owner = served.keepers[served.find_leader()]._owner
        await wait_until(lambda: owner.open_submissions['s1'].loaded)
        if ended:
            status, _, _ = await served.call(gateway, 'DELETE', '/api/lots/s1')
            assert status == 200
            # The leader looks at an ended submission when it is read.
            await served.read(gateway, 's1')
        if first == 'late':
            await wait_until(lambda: len(store.held_writes) > 1)
            store.hold_writes = 0
        else:
            await wait_until(lambda: store.get_spec('results-s1', '000000'))
        store.apply_held_writes()
        recorded = await gateway._submissions._ledger.read_chunks('s1')
        assert sum(len(chunk.results) for chunk in recorded) == listed
        await wait_until(
            lambda: len(owner.open_submissions['s1'].results) == listed
        )
        _, page = await served.read(gateway, 's1')
        assert page['next'] == listed
