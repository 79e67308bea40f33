"""Placement by expected completion in running gateways and keepers."""

import json

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
