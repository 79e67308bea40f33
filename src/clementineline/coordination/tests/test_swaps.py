"""Tests of weight orders and of the versions that chunks get."""

import pytest

from clementineline.coordination import swaps
from clementineline import errors
from clementineline.protocol import messages
from clementineline.transport import engine as engines


class FakeEngine:
    """An engine whose swaps can fail, or succeed without effect."""

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


class FakePlatform:
    """A platform that serves the lease's fencing token or is down."""

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
    return FakePlatform()


@pytest.fixture
async def updater(engine, platform, log):
    built = swaps.WeightUpdater(
        's', 'm', engine, False, platform.read_fence, lambda: None, log
    )
    await built.verify()
    return built


def build_order(action, version, fence, model='m'):
    return messages.Order(fence, 'o', ['s'], action, model, version)


async def swap(updater, version, fence=5):
    await updater.execute(build_order('stage', version, fence))
    return await updater.execute(build_order('activate', version, fence))


class TestWeightUpdater:
    """Guards against outdated orders and wrong versions on chunks.

    A leader that lost the lease may still send orders, and an engine may fail
    a swap or claim one that did not happen. Orders below the highest known
    fencing token are refused, and chunks get only versions that the engine
    confirmed.
    """

    async def test_swap_is_verified(self, updater):
        answer = await swap(updater, 2)
        assert answer.outcome == 'obeyed'
        assert updater.resolve_version(2) == 2
        assert updater.resolve_version(1) == swaps.UNVERIFIED

    async def test_lower_fence_is_refused(self, updater, engine):
        await swap(updater, 2, fence=7)
        answer = await updater.execute(build_order('stage', 3, 6))
        assert answer.outcome == 'refused'
        assert 'below 7' in answer.reason
        assert ('stage', 3, 6) not in engine.orders

    async def test_refuses_orders_below_the_lease_after_start(self, updater):
        answer = await updater.execute(build_order('stage', 3, 4))
        assert answer.outcome == 'refused'

    async def test_refuses_all_orders_while_the_lease_is_unknown(
        self, updater, platform, engine
    ):
        platform.down = True
        answer = await updater.execute(build_order('stage', 3, 9))
        assert answer.outcome == 'refused'
        assert engine.orders == []
        platform.down = False
        answer = await updater.execute(build_order('stage', 3, 9))
        assert answer.outcome == 'obeyed'

    @pytest.mark.parametrize('fault', ['fail', 'lie'])
    async def test_failed_swap_makes_the_endpoint_suspect(
        self, updater, engine, fault
    ):
        engine.fault = fault
        answer = await swap(updater, 2)
        assert answer.outcome == 'failed'
        assert updater.state == 'suspect'
        assert updater.resolve_version(1) == swaps.UNVERIFIED
        engine.fault = ''
        answer = await swap(updater, 2)
        assert answer.outcome == 'obeyed'
        assert updater.state == 'ready'

    async def test_chunk_without_known_version_is_unverified_in_swap(
        self, updater, engine
    ):
        versions = []
        order = engine.order_weights

        async def order_and_resolve(*arguments):
            await order(*arguments)
            versions.extend(
                [updater.resolve_version(None), updater.resolve_version(9)]
            )

        await updater.execute(build_order('stage', 2, 5))
        engine.order_weights = order_and_resolve
        await updater.execute(build_order('activate', 2, 5))
        assert versions == [swaps.UNVERIFIED] * 2
        assert updater.resolve_version(None) == 2

    async def test_engine_outage_is_detected_and_ends(self, updater, engine):
        engine.fault = 'down'
        await updater.verify()
        assert updater.state == 'down'
        engine.fault = ''
        await updater.verify()
        assert updater.state == 'ready'

    async def test_other_model_is_refused(self, updater):
        answer = await updater.execute(build_order('stage', 2, 5, 'other'))
        assert answer.outcome == 'refused'
        assert 'serves m' in answer.reason
