"""Endpoints that say in their responses that they leave.

The process that got the response sends the endpoint nothing new, whatever the
store says. Requests that are there already are finished.
"""

import asyncio

import pytest

from clementineline.platform.tests import standin

SAYS = (b'1',)


@pytest.fixture
async def gateway(served, wait_until):
    """Add a second endpoint to the plain service; return the gateway."""
    await served.start_server('i-desk2', 'desk')
    found = served.gateways['gateway-1']
    await wait_until(lambda: len(found._directory.list_usable('desk')) == 2)
    return found


async def call(served, gateway, number):
    status, _, body = await served.call(
        gateway,
        'POST',
        '/live/a',
        ((b'Request-Id', b'r%d' % number),),
        b'q',
    )
    return status, body


async def call_until_it_says_so(served, gateway, server):
    """Call until the endpoint has answered; return how often it ran."""
    for number in range(100):
        if server.arrivals:
            break
        await call(served, gateway, number)
    assert gateway._directory.count_leaving() == 1
    return len(server.arrivals)


async def check_no_request(served, gateway, server, arrivals):
    for number in range(100, 110):
        assert (await call(served, gateway, number))[0] == 200
    assert len(server.arrivals) == arrivals


class TestLiveCalls:
    async def test_no_call_goes_to_it_though_the_store_lists_it_as_ready(
        self, served, gateway
    ):
        server = served.servers['i-desk']
        server.leaving = SAYS
        arrivals = await call_until_it_says_so(served, gateway, server)
        await check_no_request(served, gateway, server, arrivals)

    async def test_it_holds_though_the_entry_is_written_again(
        self, served, gateway, wait_until
    ):
        server = served.servers['i-desk']
        server.leaving = SAYS
        arrivals = await call_until_it_says_so(served, gateway, server)
        entry = {**server.describe('desk'), 'coldLeftMs': 500}
        served.store.put('servers', 'i-desk', entry)
        states = gateway._directory.endpoints
        await wait_until(lambda: states['i-desk'].record.cold_s == 0.5)
        await check_no_request(served, gateway, server, arrivals)

    async def test_it_holds_though_the_entry_is_removed_and_comes_back(
        self, served, gateway, wait_until
    ):
        """As in an outage of the store, in which entries lapse."""
        server = served.servers['i-desk']
        server.leaving = SAYS
        arrivals = await call_until_it_says_so(served, gateway, server)
        served.store.remove('servers', 'i-desk')
        states = gateway._directory.endpoints
        await wait_until(lambda: 'i-desk' not in states)
        served.store.put('servers', 'i-desk', server.describe('desk'))
        await wait_until(lambda: 'i-desk' in states)
        await check_no_request(served, gateway, server, arrivals)

    async def test_it_holds_while_the_store_is_down(self, served, gateway):
        served.store.down = True
        server = served.servers['i-desk']
        server.leaving = SAYS
        arrivals = await call_until_it_says_so(served, gateway, server)
        await check_no_request(served, gateway, server, arrivals)

    async def test_refusal_says_it_too(self, served, gateway):
        server = served.servers['i-desk']
        server.leaving = SAYS
        server.shed = True
        arrivals = await call_until_it_says_so(served, gateway, server)
        await check_no_request(served, gateway, server, arrivals)

    async def test_failure_says_it_too(self, served, gateway):
        server = served.servers['i-desk']
        server.leaving = SAYS
        server.fail_next = 1000
        arrivals = await call_until_it_says_so(served, gateway, server)
        await check_no_request(served, gateway, server, arrivals)

    async def test_another_instance_is_used(self, served, gateway, wait_until):
        server = served.servers['i-desk']
        server.leaving = SAYS
        arrivals = await call_until_it_says_so(served, gateway, server)
        server.leaving = ()
        entry = {**server.describe('desk'), 'born': 1700000009999}
        served.store.put('servers', 'i-desk', entry)
        await wait_until(lambda: not gateway._directory.count_leaving())
        for number in range(100, 140):
            await call(served, gateway, number)
        assert len(server.arrivals) > arrivals

    async def test_request_that_is_there_already_is_finished(
        self, served, gateway, wait_until
    ):
        for server in served.servers.values():
            server.delay_s = 0.05
        server = served.servers['i-desk']
        server.leaving = SAYS
        answers = await asyncio.gather(
            *(call(served, gateway, number) for number in range(8))
        )
        assert {status for status, _ in answers} == {200}
        assert gateway._directory.count_leaving() == 1

    async def test_call_with_nowhere_else_to_go_is_refused_at_once(
        self, served, gateway
    ):
        """Also if the endpoint lies and goes on for long."""
        loop = asyncio.get_running_loop()
        for name in ('i-desk', 'i-desk2'):
            served.servers[name].leaving = SAYS
        for number in range(100):
            if gateway._directory.count_leaving() == 2:
                break
            await call(served, gateway, number)
        started = loop.time()
        status, headers, _ = await served.call(
            gateway, 'POST', '/live/a', ((b'Request-Id', b'last'),)
        )
        assert status == 503
        assert b'retry-after' in dict(headers)
        assert loop.time() - started < 0.1
        for name in ('i-desk', 'i-desk2'):
            assert 'last' not in served.servers[name].targets

    @pytest.mark.parametrize(
        'values', [(), (b'0',), (b'1', b'1'), (b'1, 1',), (b'true',), (b'',)]
    )
    async def test_other_values_take_no_endpoint_away(
        self, served, gateway, values
    ):
        server = served.servers['i-desk']
        server.leaving = values
        for number in range(20):
            await call(served, gateway, number)
        assert server.arrivals
        assert not gateway._directory.count_leaving()

    async def test_answer_of_another_endpoint_concerns_that_one(
        self, served, gateway, wait_until
    ):
        """The address was assigned to another endpoint."""
        server = served.servers['i-desk']
        served.store.put(
            'servers', 'i-gone', {**server.describe('desk'), 'born': 1}
        )
        states = gateway._directory.endpoints
        await wait_until(lambda: 'i-gone' in states)
        gateway._directory.mark_leaving(states['i-gone'], 'call', another=True)
        assert not states['i-gone'].leaving
        assert states['i-desk'].leaving


class TestStreams:
    async def test_head_of_a_stream_says_it(self, served, wait_until):
        gateway = served.gateways['gateway-1']
        manifest = standin.build_manifest(2)
        manifest['routes'].append(
            {
                **manifest['routes'][0],
                'name': 'r-stream',
                'pathPrefix': '/stream/',
                'kind': 'stream',
                'service': 'lm',
            }
        )
        served.store.put('config', 'main', manifest)
        await wait_until(lambda: gateway._routes.table.version == 2)
        server = served.servers['i-lm0']
        server.leaving = SAYS
        for number in range(30):
            headers = ((b'Request-Id', b'q%d' % number), (b'Model', b'm0'))
            status, _, _ = await served.call(
                gateway, 'POST', '/stream/a', headers, b'p'
            )
            assert status == 200
        assert len(server.runs) == 1


class TestItems:
    async def test_no_item_starts_and_no_probe_or_order_is_sent(
        self, served, wait_until
    ):
        gateway = served.gateways['gateway-1']
        leader = served.keepers[served.find_leader()]
        server = served.servers['i-lm0']
        server.leaving = SAYS
        server.gap_s = 0.02
        await served.submit(gateway, 's1', items=4)
        results = await served.read_all(gateway, 's1', 4)
        assert {result['state'] for result in results} == {'completed'}
        await wait_until(leader._directory.count_leaving)
        await asyncio.sleep(0.2)
        arrivals = len(server.arrivals)
        served.store.put('versions', 'm0', {'model': 'm0', 'version': 2})
        await served.submit(gateway, 's2', items=8)
        results = await served.read_all(gateway, 's2', 8)
        assert {result['state'] for result in results} == {'completed'}
        assert len(server.arrivals) == arrivals
        assert not server.orders

    async def test_cut_from_the_store_items_go_elsewhere(
        self, served, wait_until
    ):
        gateway = served.gateways['gateway-1']
        leader = served.keepers[served.find_leader()]
        for name in ('i-lm0', 'i-lm1'):
            served.servers[name].gap_s = 0.1
        await served.submit(gateway, 's1', items=20)
        await wait_until(lambda: len(leader._owner.list_runs()) == 20)
        served.store.down = True
        server = served.servers['i-lm0']
        server.leaving = SAYS
        await wait_until(leader._directory.count_leaving)
        started = len(server.runs)
        await asyncio.sleep(1.0)
        # Those that had been chosen when the first answer came.
        assert len(server.runs) <= started + server.describe('lm')['slots']
        after = len(server.runs)
        served.store.down = False
        await served.read_all(gateway, 's1', 20)
        assert len(server.runs) == after
