"""Reward calls: items whose results need the score of another service.

The tests play the reward service's failures and the load that a step's end
causes there, and check what the trainer reads and what live callers get.
"""

import asyncio

import pytest

from clementineline.platform.tests import standin

ITEMS = 8


@pytest.fixture
def desk(served):
    """Return the stand-in of the plain service that answers reward calls."""
    return served.servers['i-desk']


@pytest.fixture
def gateway(served):
    """Return the only gateway."""
    return served.gateways['gateway-1']


def list_reward_ids(server):
    """Return the ids of the reward calls that a server ran, in order."""
    return [run[0] for run in server.runs if '-r' in run[0]]


class TestScores:
    """An item with a reward call is listed with its score, or not at all."""

    async def test_each_item_is_listed_with_its_score(
        self, served, gateway, desk
    ):
        assert await served.submit(gateway, 's1', ITEMS, scored=True) == 202
        results = await served.read_all(gateway, 's1', ITEMS)
        for result in results:
            assert result['state'] == 'completed'
            assert result['text'] == 'e1\ne2\ne3'
            assert result['score'] == 'stamp'
        assert sorted(list_reward_ids(desk)) == sorted(
            f's1-r{number}' for number in range(ITEMS)
        )

    async def test_call_is_sent_as_the_trainer_gave_it(
        self, served, gateway, desk
    ):
        await served.submit(gateway, 's1', 2, scored=True)
        await served.read_all(gateway, 's1', 2)
        runs = {run[0]: run for run in desk.runs}
        _, headers, body = runs['s1-r1']
        assert desk.targets['s1-r1'] == '/live/score/1?of=s1'
        assert body == b'reply 1'
        assert headers['host'] == 'shop.example'
        assert 0 < int(headers['timeout-ms']) <= 800

    async def test_call_follows_the_last_event_of_the_text(
        self, served, gateway, desk
    ):
        for name in ('i-lm0', 'i-lm1'):
            served.servers[name].gap_s = 0.1
        await served.submit(gateway, 's1', 2, scored=True)
        await asyncio.sleep(0.25)
        assert not list_reward_ids(desk)
        await served.read_all(gateway, 's1', 2)
        assert len(list_reward_ids(desk)) == 2

    async def test_items_without_a_reward_call_have_no_score(
        self, served, gateway, desk
    ):
        await served.submit(gateway, 's1', 2)
        results = await served.read_all(gateway, 's1', 2)
        assert all('score' not in result for result in results)
        assert not desk.runs


class TestFailures:
    """The reward service refuses, fails, loses answers or is gone."""

    async def test_lost_answer_is_asked_for_again(self, served, gateway, desk):
        await served.start_server('i-desk2', 'desk')
        desk.lose_answers = 2
        await served.submit(gateway, 's1', 4, scored=True)
        results = await served.read_all(gateway, 's1', 4)
        assert all(result['score'] == 'stamp' for result in results)

    async def test_refused_call_is_repeated(self, served, gateway, desk):
        desk.shed = True
        await served.submit(gateway, 's1', 2, scored=True)
        await asyncio.sleep(0.5)
        status, page = await served.read(gateway, 's1')
        assert (status, page['results']) == (200, [])
        desk.shed = False
        results = await served.read_all(gateway, 's1', 2)
        assert all(result['state'] == 'completed' for result in results)

    async def test_call_that_always_fails_abandons_the_item(
        self, served, gateway, desk
    ):
        desk.failing_ids.add('s1-r0')
        await served.submit(gateway, 's1', 2, scored=True)
        results = await served.read_all(gateway, 's1', 2)
        states = {result['id']: result['state'] for result in results}
        assert states == {'s1-i0': 'abandoned', 's1-i1': 'completed'}
        # The item's route allows three attempts, the call's route two.
        assert list_reward_ids(desk).count('s1-r0') == 3

    async def test_nothing_is_called_after_the_end_of_the_submission(
        self, served, gateway, desk, wait_until
    ):
        desk.shed = True
        await served.submit(gateway, 's1', 2, scored=True)
        await asyncio.sleep(0.5)
        status, _, _ = await served.call(gateway, 'DELETE', '/api/lots/s1')
        assert status == 200
        owner = served.keepers[served.find_leader()]._owner
        await wait_until(lambda: owner.open_submissions['s1'].ended)
        desk.shed = False
        await asyncio.sleep(0.6)
        assert not list_reward_ids(desk)

    async def test_new_leader_scores_texts_that_were_complete(
        self, served, gateway, desk, wait_until
    ):
        """A text that waits for its score is not generated again."""
        desk.shed = True
        await served.submit(gateway, 's1', 4, scored=True)
        leader = served.find_leader()
        owner = served.keepers[leader]._owner

        def all_wait_for_scores():
            entry = owner.open_submissions.get('s1')
            if entry is None or len(entry.runs) < 4:
                return False
            return all(run.whole for run in entry.runs.values())

        await wait_until(all_wait_for_scores)
        await asyncio.sleep(0.6)
        generated = sum(
            len(served.servers[name].runs) for name in ('i-lm0', 'i-lm1')
        )
        assert generated == 4
        await served.keepers[leader].stop()
        await wait_until(lambda: served.find_leader() not in (None, leader))
        desk.shed = False
        results = await served.read_all(gateway, 's1', 4)
        assert all(result['score'] == 'stamp' for result in results)
        assert generated == sum(
            len(served.servers[name].runs) for name in ('i-lm0', 'i-lm1')
        )


class TestLoad:
    """The reward calls of a step all become due within a moment."""

    async def test_live_calls_find_free_slots_during_the_rewards(
        self, served, gateway, desk
    ):
        """Reward calls fill at most half of the service's four slots."""
        desk.delay_s = 0.05
        await served.submit(gateway, 's1', 24, scored=True)
        async with asyncio.timeout(20):
            while not list_reward_ids(desk):
                await asyncio.sleep(0.01)
        loop = asyncio.get_running_loop()
        for number in range(6):
            started = loop.time()
            status, _, _ = await served.call(
                gateway,
                'POST',
                '/live/a',
                ((b'Request-Id', b'live%d' % number),),
            )
            assert status == 200
            # The route's target latency.
            assert loop.time() - started < 0.19
        results = await served.read_all(gateway, 's1', 24)
        assert all(result['score'] == 'stamp' for result in results)
        assert desk.running_max <= 3

    async def test_rewards_of_a_service_that_is_down_hold_no_others(
        self, served, gateway, desk, wait_until
    ):
        manifest = standin.build_manifest(2)
        route = dict(manifest['routes'][0])
        route.update(name='r-gone', pathPrefix='/gone/', service='gone')
        manifest['routes'].append(route)
        manifest['services'].append(
            {**manifest['services'][0], 'name': 'gone'}
        )
        served.store.put('config', 'main', manifest)
        leader = served.keepers[served.find_leader()]
        await wait_until(lambda: leader._routes.table.version == 2)
        await wait_until(lambda: gateway._routes.table.version == 2)
        await served.submit(
            gateway, 's1', 2, scored=True, scorer_path='/gone/x'
        )
        await asyncio.sleep(0.3)
        await served.submit(gateway, 's2', 4, scored=True)
        results = await served.read_all(gateway, 's2', 4)
        assert all(result['score'] == 'stamp' for result in results)
        status, page = await served.read(gateway, 's1')
        assert (status, page['results']) == (200, [])
