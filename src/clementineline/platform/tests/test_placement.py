"""Placement by expected completion in running gateways and keepers."""

import asyncio
import json

from clementineline.coordination import completion
from clementineline.platform import settings


def load(path, **fields):
    boot = {
        'nodeName': 'vm-1',
        'ip': '127.0.0.1',
        'zone': 'a',
        'platform': {'address': '127.0.0.1:1'},
        'portRange': [2, 9],
        **fields,
    }
    path.write_text(json.dumps(boot))
    return settings.load_keeper_settings(str(path))


class TestSettings:
    def test_key_turns_expected_completion_off(self, tmp_path):
        """Guards against a key that the settings file cannot carry."""
        path = tmp_path / 'boot.json'
        assert load(path).placement == 'auto'
        off = load(path, placement='least_loaded')
        assert off.placement == 'least_loaded'


class TestLearning:
    async def test_processes_learn_from_what_they_send(
        self, served, wait_until
    ):
        """Guards against estimates that stay empty in real processes."""
        gateway = served.gateways['gateway-1']
        for number in range(30):
            headers = ((b'Request-Id', b'r%d' % number),)
            status, _, _ = await served.call(
                gateway, 'POST', '/live/x', headers, b'x'
            )
            assert status == 200
        await served.submit(gateway, 's1', items=30)
        await served.read_all(gateway, 's1', 30)
        assert gateway._learned.costs.estimate(('call', 'r-live')).learned
        keeper = served.keepers[served.find_leader()]
        kind = next(iter(keeper._learned._kinds['lm']))
        assert keeper._learned.costs.estimate(kind, 3).learned
        for process in (gateway, keeper):
            assert b'clementineline_cost_kinds' in process.metrics.render()
            open_calls = [
                state.open_calls
                for state in process._directory.endpoints.values()
            ]
            assert not any(open_calls)


class TestChoices:
    """Speeds are set, so that no test waits until they are learned."""

    def set_speeds(self, process, service, speeds):
        later = asyncio.get_running_loop().time() + 1000
        view = completion.ServiceView(speeds, True, later)
        process._learned._views[service] = view

    async def test_calls_go_to_the_faster_endpoint(self, served, wait_until):
        """Guards against a decision that the forwarder does not ask for."""
        gateway = served.gateways['gateway-1']
        await served.start_server('i-desk2', 'desk')
        await wait_until(
            lambda: len(gateway._directory.list_usable('desk')) == 2
        )
        for number in range(40):
            if number == 30:
                speeds = {'i-desk': 0.5, 'i-desk2': 1.0}
                self.set_speeds(gateway, 'desk', speeds)
                before = len(served.servers['i-desk'].runs)
            headers = ((b'Request-Id', b'r%d' % number),)
            await served.call(gateway, 'POST', '/live/x', headers, b'x')
        assert len(served.servers['i-desk'].runs) == before

    async def test_items_go_to_the_faster_engine(self, served):
        """Guards against a decision that the owner does not ask for."""
        keeper = served.keepers[served.find_leader()]
        speeds = {'i-lm0': 0.5, 'i-lm1': 1.0}
        self.set_speeds(keeper, 'lm', speeds)
        gateway = served.gateways['gateway-1']
        await served.submit(gateway, 's1', items=4)
        await served.read_all(gateway, 's1', 4)
        assert len(served.servers['i-lm0'].runs) == 0
        assert len(served.servers['i-lm1'].runs) == 4
