"""Rendering of the metrics of running processes."""


class TestRendering:
    async def test_gauges_of_gateways_and_keepers_are_described(self, served):
        """Guards against a gauge without a description.

        It makes every scrape of the process fail.
        """
        gateway = served.gateways['gateway-1']
        keeper = served.keepers[served.find_leader()]
        for process in (gateway, keeper):
            text = process.metrics.render()
            assert b'clementineline_endpoints{' in text
            assert b'clementineline_requests_with_crashes' in text
