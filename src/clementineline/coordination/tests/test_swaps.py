"""Tests of weight orders and of the stamps on chunks."""

import pytest

from clementineline.coordination import swaps
from clementineline import errors
from clementineline.protocol import messages
from clementineline.transport import engine as engines


class FakeEngine:
    """An engine whose swaps can fail or lie."""

    def __init__(self):
        self.active = 1
        self.staged = -1
        self.fault = ''
        self.orders = []

    async def read_weights(self):
        if self.fault == 'down':
            raise engines.EngineError('down', True)
        return engines.EngineWeights(self.active, self.staged)

    async def order_weights(self, action, model, version, fence):
        self.orders.append((action, version, fence))
        if action == 'stage':
            self.staged = version
            return
        self.staged = -1
        if self.fault == 'fail':
            raise engines.EngineError('half done', True)
        if self.fault != 'lie':
            self.active = version


class Platform:
    """The lease's fencing number, or an outage."""

    def __init__(self):
        self.fence = 5
        self.down = False

    async def read_fence(self):
        if self.down:
            raise errors.PlatformUnavailable('down')
        return self.fence


@pytest.fixture
def engine():
    return FakeEngine()


@pytest.fixture
def platform():
    return Platform()


@pytest.fixture
async def keeper(engine, platform, log):
    built = swaps.WeightUpdater(
        's', 'm', engine, False, platform.read_fence, lambda: None, log
    )
    await built.verify()
    return built


def build_order(action, version, fence, model='m'):
    return messages.Order(fence, 'o', ['s'], action, model, version)


async def swap(keeper, version, fence=5):
    await keeper.execute(build_order('stage', version, fence))
    return await keeper.execute(build_order('activate', version, fence))


class TestWeightKeeper:
    """Old orders are refused, and only verified versions are vouched for."""

    async def test_swap_is_verified(self, keeper):
        answer = await swap(keeper, 2)
        assert answer.outcome == 'obeyed'
        assert keeper.resolve_version(2) == 2
        assert keeper.resolve_version(1) == swaps.UNVERIFIED

    async def test_lower_fence_is_refused(self, keeper, engine):
        await swap(keeper, 2, fence=7)
        answer = await keeper.execute(build_order('stage', 3, 6))
        assert answer.outcome == 'refused'
        assert 'below 7' in answer.reason
        assert ('stage', 3, 6) not in engine.orders

    async def test_fresh_start_refuses_orders_below_the_lease(self, keeper):
        answer = await keeper.execute(build_order('stage', 3, 4))
        assert answer.outcome == 'refused'

    async def test_fresh_start_obeys_none_while_the_lease_is_unknown(
        self, keeper, platform, engine
    ):
        platform.down = True
        answer = await keeper.execute(build_order('stage', 3, 9))
        assert answer.outcome == 'refused'
        assert engine.orders == []
        platform.down = False
        answer = await keeper.execute(build_order('stage', 3, 9))
        assert answer.outcome == 'obeyed'

    @pytest.mark.parametrize('fault', ['fail', 'lie'])
    async def test_bad_swap_makes_the_endpoint_suspect(
        self, keeper, engine, fault
    ):
        engine.fault = fault
        answer = await swap(keeper, 2)
        assert answer.outcome == 'failed'
        assert keeper.state == 'suspect'
        assert keeper.resolve_version(1) == swaps.UNVERIFIED
        engine.fault = ''
        answer = await swap(keeper, 2)
        assert answer.outcome == 'obeyed'
        assert keeper.state == 'ready'

    async def test_unstamped_chunk_in_a_swap_is_not_vouched_for(
        self, keeper, engine
    ):
        stamps = []
        order = engine.order_weights

        async def order_and_stamp(*arguments):
            await order(*arguments)
            stamps.extend(
                [keeper.resolve_version(None), keeper.resolve_version(9)]
            )

        await keeper.execute(build_order('stage', 2, 5))
        engine.order_weights = order_and_stamp
        await keeper.execute(build_order('activate', 2, 5))
        assert stamps == [swaps.UNVERIFIED] * 2
        assert keeper.resolve_version(None) == 2

    async def test_engine_down_is_seen_and_recovers(self, keeper, engine):
        engine.fault = 'down'
        await keeper.verify()
        assert keeper.state == 'down'
        engine.fault = ''
        await keeper.verify()
        assert keeper.state == 'ready'

    async def test_other_model_is_refused(self, keeper):
        answer = await keeper.execute(build_order('stage', 2, 5, 'other'))
        assert answer.outcome == 'refused'
        assert 'serves m' in answer.reason
