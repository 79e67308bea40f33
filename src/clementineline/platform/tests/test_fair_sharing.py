"""What organisations get over the wire while capacity is not sufficient."""

import asyncio

import pytest

from clementineline.platform.tests import standin

TENANTS = [
    {'name': 'large', 'apiKeys': ['key-of-large']},
    {'name': 'small', 'apiKeys': ['key-of-small']},
]


@pytest.fixture
async def shared(deployment, wait_until):
    """Start a deployment in which two organisations share two engines."""
    deployment.store.put(
        'config', 'main', standin.build_manifest(1, tenants=TENANTS)
    )
    await deployment.start_server('i-desk', 'desk')
    for name in ('i-lm0', 'i-lm1'):
        server = await deployment.start_server(name, 'lm', {'m0': 1, 'm1': 1})
        server.gap_s = 0.02
    gateway = await deployment.start_gateway('gateway-1')
    await deployment.start_keeper('keeper-1')
    await wait_until(lambda: gateway.is_ready and deployment.find_leader())
    return deployment


class TestItems:
    async def test_small_submission_does_not_wait_behind_a_large_one(
        self, shared
    ):
        # Guards against a leader that knows no organisations.
        gateway = shared.gateways['gateway-1']
        await shared.submit(gateway, 's1', items=120, key='key-of-large')
        await shared.submit(gateway, 's2', items=4, key='key-of-small')
        await shared.read_all(gateway, 's2', 4, 'key-of-small')
        _, page = await shared.read(gateway, 's1', 0, 'key-of-large')
        assert len(page['results']) < 60
        await shared.read_all(gateway, 's1', 120, 'key-of-large')
        await asyncio.sleep(0.05)
        keeper = shared.keepers[shared.find_leader()]
        text = keeper.metrics.render().decode()
        for name in ('large', 'small'):
            assert f'organisation_tokens_total{{organisation="{name}"' in text


class TestCalls:
    async def test_refusal_names_a_part_of_the_time_left(self, shared):
        # Guards against callers that are sent away for all of their time.
        shared.servers['i-desk'].shed = True
        gateway = shared.gateways['gateway-1']
        for _ in range(12):
            status, headers, _ = await shared.call(
                gateway,
                'POST',
                '/live/a',
                (
                    (b'Request-Id', b'r1'),
                    (b'Api-Key', b'key-of-small'),
                    (b'Timeout-Ms', b'600'),
                ),
            )
            assert status == 503
            assert 0 < float(dict(headers)[b'retry-after']) <= 0.2
        text = gateway.metrics.render().decode()
        assert 'live_refusals_total{' in text
        assert 'outcome="no_room"' in text
