"""The bounds of a process, derived from its VM, and its metrics."""

import json

import pytest

from clementineline.platform import settings

BOOT = {
    'nodeName': 'gateway-1',
    'ip': '127.0.0.1',
    'zone': 'walvis-a',
    'portRange': [7720, 7735],
    'platform': {'address': '127.0.0.1:1'},
}


class TestDerivedBounds:
    @pytest.mark.parametrize('memory_mb', [150, 160, 552])
    @pytest.mark.parametrize('max_fds', [400, 1024, 4096])
    def test_bounds_fit_the_vm(self, tmp_path, memory_mb, max_fds):
        """Bounds that together exceed the VM would bound nothing."""
        limits = {'memoryMb': memory_mb, 'maxFds': max_fds}
        path = tmp_path / 'boot.json'
        path.write_text(json.dumps({**BOOT, 'limits': limits}))
        for load in (
            settings.load_gateway_settings,
            settings.load_keeper_settings,
        ):
            bounds = load(path).bounds
            assert bounds.held_bytes < (memory_mb - 70) * 1e6
            # The largest body and its connection.
            assert bounds.held_bytes * 0.875 > 33_554_432 + 24_576
            connections = bounds.peer_connections + 2 * (
                bounds.probe_connections
            )
            if load is settings.load_gateway_settings:
                connections += bounds.caller_connections
            assert connections <= 0.8 * (max_fds - 200)


class TestMetrics:
    async def test_each_gauge_has_a_description(self, served):
        """A gauge without one made the page of all metrics a 502."""
        for process in (
            *served.gateways.values(),
            *served.keepers.values(),
        ):
            assert b'_held_bytes{' in process.metrics.render()
