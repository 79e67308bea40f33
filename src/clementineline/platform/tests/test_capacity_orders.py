"""Orders of capacity over the wire."""

import asyncio

import pytest

from clementineline.coordination import capacityorders
from clementineline.coordination import duties
from clementineline.platform.tests import dutyapi
from clementineline.platform.tests import standin
from clementineline.state import settings

BOOT_S = 1.0
REPEAT_S = 0.5


@pytest.fixture
async def api(deployment, log, monkeypatch):
    """Start the API, and make everything faster."""
    monkeypatch.setattr(capacityorders, 'DECISION_INTERVAL_S', 0.1)
    monkeypatch.setattr(capacityorders, 'REPEAT_INTERVAL_S', REPEAT_S)
    monkeypatch.setattr(duties, 'CALL_TIMEOUT_S', 0.3)
    started = dutyapi.DutyApiStandIn(log, lease_s=0.1)
    await started.start()
    deployment.duties = settings.DutySettings(
        address=started.address, scaling=True
    )
    yield started
    await started.stop()
    assert started.violations == []


@pytest.fixture
async def scaled(deployment, api, wait_until):
    """Start a gateway, a keeper and a service in two zones."""
    manifest = standin.build_manifest(2)
    manifest['services'][0]['scaling'] = {'min': 1, 'max': 3, 'bootS': BOOT_S}
    deployment.store.put('config', 'main', manifest)
    await deployment.start_server('i-1', 'desk', zone='a')
    await deployment.start_server('i-2', 'desk', zone='b')
    await deployment.start_server('i-lm', 'lm', {'m0': 1}, zone='a')
    gateway = await deployment.start_gateway('gateway-1')
    await deployment.start_keeper('keeper-1')
    await wait_until(lambda: gateway.is_ready and deployment.find_leader())
    return deployment


def get_latest(api):
    """Return the number of the last order by service and zone."""
    return {(order[0], order[1]): order[2] for order in api.orders}


class TestOrders:
    async def test_calls_at_gateways_order_endpoints(
        self, scaled, api, wait_until
    ):
        # The leader sees only its own requests; those of gateways must count.
        for server in scaled.servers.values():
            server.delay_s = 30.0
        gateway = scaled.gateways['gateway-1']
        calls = [
            asyncio.create_task(
                scaled.call(
                    gateway,
                    'POST',
                    '/live/a',
                    ((b'Request-Id', b'r%d' % number),),
                )
            )
            for number in range(12)
        ]
        gateway._directory.endpoints['i-1'].in_flight += 12
        # The first order may be older than the gateway's first report, which
        # it sends once a second.
        await wait_until(lambda: get_latest(api).get(('desk', 'a'), 0) > 1)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    async def test_order_is_repeated_and_waits_for_booting_endpoints(
        self, scaled, api, wait_until
    ):
        # An order that a new leader sends at once ends the endpoints that its
        # predecessor has ordered.
        keeper = scaled.keepers['keeper-1']
        led_at = asyncio.get_running_loop().time()
        await wait_until(lambda: len(api.orders) >= 4)
        assert api.calls[0][0] - led_at > 0.5 * BOOT_S
        assert get_latest(api) == {('desk', 'a'): 1, ('desk', 'b'): 1}
        again = [order[3] for order in api.orders if order[1] == 'a']
        assert again[1] - again[0] >= 0.9 * REPEAT_S
        api.down = True
        await asyncio.sleep(REPEAT_S)
        api.down = False
        count = len(api.orders)
        await wait_until(lambda: len(api.orders) >= count + 2)
        assert keeper._duties.call_age_s < 2 * REPEAT_S

    async def test_service_without_bounds_is_not_ordered(
        self, scaled, api, wait_until
    ):
        # Endpoints that the operator runs by hand must not be ended.
        await wait_until(lambda: len(api.orders) >= 4)
        assert {order[0] for order in api.orders} == {'desk'}
