"""Tests of the routing of waiting requests to free slots."""

import asyncio

import pytest

from clementineline.coordination import endpoints
from clementineline.coordination import routing
from clementineline.coordination import shares
from clementineline.coordination import waiting
from clementineline.protocol import messages
from clementineline.state import settings


class FakeSession:
    """A connected session that records the messages sent."""

    def __init__(self, peer):
        self.connected = True
        self.peer = peer
        self.sent = []

    def send(self, body):
        self.sent.append(body)


@pytest.fixture
def build_endpoint(build_member, clock):
    def build(name, capacity=4, kind='engine', **report):
        member = build_member(name, kind=kind, serves='m')
        endpoint = endpoints.Endpoint(member, clock)
        endpoint.session = FakeSession(member)
        fields = {
            'running': {},
            'reserve': 0,
            'active_version': 0,
            'staged_version': -1,
            'leaving': False,
            'fence': 0,
            'state': 'ready',
        }
        endpoint.handle_report(messages.Report(capacity, **(fields | report)))
        return endpoint

    return build


@pytest.fixture
def build_router(clock, decision_log):
    def build(*pool_endpoints, weights=None, **policy):
        weights = weights or {}
        router = routing.Router(
            settings.PolicySettings(**policy),
            clock,
            decision_log,
            lambda trainer: weights.get(trainer, 1.0),
        )
        for endpoint in pool_endpoints:
            router.add_endpoint(endpoint)
        return router

    return build


def build_request(id='r', share='live', weight=1.0, order=(0, 0), **fields):
    future = asyncio.get_running_loop().create_future()
    return waiting.WaitingRequest(
        id, share, weight, order, '', 1, future, **fields
    )


def place(router, kind, *requests):
    pool = router.get_pool(kind, 'm')
    for request in requests:
        router.add(pool, request)
    router.place_waiting(pool)
    return pool


class TestRouter:
    """Requests wait for a free slot at an endpoint that may run them."""

    async def test_request_waits_until_a_slot_is_free(
        self, build_endpoint, build_router
    ):
        endpoint = build_endpoint('a', capacity=1)
        router = build_router(endpoint)
        first, second = build_request('1'), build_request('2')
        pool = place(router, 'engine', first, second)
        assert first.future.result().endpoint is endpoint
        assert not second.future.done()
        endpoint.release('live')
        router.place_waiting(pool)
        assert second.future.done()

    @pytest.mark.parametrize(
        'report', [{'leaving': True}, {'capacity': 0}, {'capacity': 4}]
    )
    async def test_unusable_endpoint_gets_no_requests(
        self, build_endpoint, build_router, report
    ):
        endpoint = build_endpoint('a', **report)
        if not report.get('leaving') and report['capacity']:
            endpoint.session.connected = False
        request = build_request()
        place(build_router(endpoint), 'engine', request)
        assert not request.future.done()

    async def test_reserve_is_kept_for_live_requests(
        self, build_endpoint, build_router
    ):
        endpoint = build_endpoint('a', capacity=2, reserve=1)
        router = build_router(endpoint)
        trainers = [build_request(str(n), 'trainer') for n in range(2)]
        live = build_request('live')
        place(router, 'engine', *trainers, live)
        assert live.future.done()
        assert [item.future.done() for item in trainers] == [True, False]

    async def test_endpoint_with_old_weights_gets_no_samples(
        self, build_endpoint, build_router
    ):
        old = build_endpoint('old', active_version=3)
        new = build_endpoint('new', active_version=4)
        request = build_request('s', 'trainer', min_version=4)
        place(build_router(old, new), 'engine', request)
        assert request.future.result().endpoint is new

    async def test_scoring_calls_ignore_weight_versions(
        self, build_endpoint, build_router
    ):
        endpoint = build_endpoint('a', kind='service', active_version=-1)
        request = build_request('s', 'trainer')
        place(build_router(endpoint), 'service', request)
        assert request.future.done()

    async def test_refusal_as_full_blocks_until_the_next_report(
        self, build_endpoint, build_router
    ):
        endpoint = build_endpoint('a')
        router = build_router(endpoint)
        first = build_request('1')
        place(router, 'engine', first)
        endpoint.dispatch(
            messages.Dispatch(
                '1', 'live', 0.0, False, '', messages.Generate('m', 'p', b'')
            )
        )
        endpoint.handle_event(messages.Done('1', 'not-run', 'full'))
        again = build_request('2')
        pool = place(router, 'engine', again)
        assert not again.future.done()
        endpoint.handle_report(endpoint.report)
        router.place_waiting(pool)
        assert again.future.done()

    async def test_live_request_preempts_trainer_on_full_engine(
        self, build_endpoint, build_router
    ):
        endpoint = build_endpoint('a', capacity=2, running={'trainer': 2})
        live = build_request('live')
        place(build_router(endpoint), 'engine', live)
        assert live.future.result().preempts == 'trainer'

    async def test_service_calls_are_never_preempted(
        self, build_endpoint, build_router
    ):
        endpoint = build_endpoint(
            'a', capacity=2, kind='service', running={'trainer': 2}
        )
        live = build_request('live')
        place(build_router(endpoint), 'service', live)
        assert not live.future.done()

    async def test_slow_endpoint_gets_only_one_probe(
        self, build_endpoint, build_router, clock
    ):
        fast = build_endpoint('fast', capacity=3)
        other = build_endpoint('other', capacity=3)
        slow = build_endpoint('slow', capacity=3)
        fast.pace.pace_s = other.pace.pace_s = 0.01
        slow.pace.pace_s = 0.1
        for endpoint in (fast, other, slow):
            endpoint.pace.updated_at = clock.now()
        requests = [build_request(str(n)) for n in range(9)]
        router = build_router(fast, other, slow)
        place(router, 'engine', *requests)
        assert fast.total_outstanding == 3
        assert other.total_outstanding == 3
        assert slow.total_outstanding == 1

    async def test_idle_slow_endpoint_is_tried_again(
        self, build_endpoint, build_router, clock
    ):
        fast, slow = build_endpoint('fast'), build_endpoint('slow')
        fast.pace.pace_s, slow.pace.pace_s = 0.01, 0.1
        fast.pace.updated_at = slow.pace.updated_at = clock.now()
        pool = build_router(fast, slow).get_pool('engine', 'm')
        assert pool.get_slow_factor(slow, clock.now()) == 10.0
        clock.time_s += 2.0
        assert pool.get_slow_factor(slow, clock.now()) < 1.0

    async def test_withdrawn_request_releases_its_slot(
        self, build_endpoint, build_router
    ):
        endpoint = build_endpoint('a')
        router = build_router(endpoint)
        placed, waits = build_request('1'), build_request('2')
        pool = place(router, 'engine', placed)
        router.add(pool, waits)
        router.withdraw(pool, placed)
        router.withdraw(pool, waits)
        assert endpoint.total_outstanding == 0
        assert len(pool.queue) == 0

    async def test_dispatch_after_a_lost_session_ends_as_not_run(
        self, build_endpoint, build_router
    ):
        endpoint = build_endpoint('a')
        request = build_request('1')
        place(build_router(endpoint), 'engine', request)
        endpoint.session = None
        attempt = endpoint.dispatch(
            messages.Dispatch(
                '1', 'live', 0.0, False, '', messages.Generate('m', 'p', b'')
            )
        )
        assert attempt.events.get_nowait().outcome == 'not-run'
        assert endpoint.total_outstanding == 0


class TestShares:
    """Trainers share slots by weight and reclaim slots by preemption."""

    async def test_slots_follow_the_weights(
        self, build_endpoint, build_router
    ):
        weights = {'a': 3.0, 'b': 1.0}
        endpoint = build_endpoint('e', capacity=8)
        requests = []
        for trainer, weight in weights.items():
            for number in range(8):
                requests.append(
                    build_request(f'{trainer}{number}', trainer, weight)
                )
        place(build_router(endpoint, weights=weights), 'engine', *requests)
        assert endpoint.count_share('a') == 6
        assert endpoint.count_share('b') == 2

    async def test_unused_share_is_lent_and_reclaimed(
        self, build_endpoint, build_router
    ):
        weights = {'a': 3.0, 'b': 1.0}
        endpoint = build_endpoint('e', capacity=8)
        router = build_router(endpoint, weights=weights)
        borrowed = [build_request(f'b{n}', 'b', 1.0) for n in range(8)]
        place(router, 'engine', *borrowed)
        assert endpoint.count_share('b') == 8
        reclaiming = [build_request(f'a{n}', 'a', 3.0) for n in range(8)]
        place(router, 'engine', *reclaiming)
        assert reclaiming[0].future.result().preempts == 'b'

    @pytest.mark.parametrize(
        ('used', 'expected'),
        [
            ({'a': 5, 'b': 3}, 'b'),
            ({'a': 6, 'b': 2}, None),
            ({'a': 0, 'b': 1}, None),
            ({'a': 2, 'live': 6}, None),
        ],
    )
    async def test_only_trainer_above_fair_share_is_preempted(
        self, used, expected
    ):
        request = build_request('r', 'a', 3.0)
        weights = {'a': 3.0, 'b': 1.0}
        assert shares.choose_victim_share(request, used, weights) == expected

    async def test_reclaims_are_spaced_by_an_interval(
        self, build_endpoint, build_router, clock
    ):
        """Guard against entries that preempt each other in turn.

        Two entries with outdated reports would both reclaim slots, again and
        again, and preempt each other's samples.
        """
        weights = {'a': 1.0, 'b': 1.0}
        endpoint = build_endpoint('e', capacity=8, running={'b': 8})
        router = build_router(endpoint, weights=weights)
        first = [build_request(f'a{n}', 'a') for n in range(2)]
        pool = place(router, 'engine', *first)
        assert [item.future.done() for item in first] == [True, True]
        clock.time_s += 0.5
        late = build_request('late', 'a')
        place(router, 'engine', late)
        assert not late.future.done()
        clock.time_s += 1.0
        router.place_waiting(pool)
        assert late.future.result().preempts == 'b'
