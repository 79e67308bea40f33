"""Metrics of whole processes, as a scraper reads them."""


class TestScrapes:
    async def test_processes_render_their_metrics(self, served):
        # Guards against a gauge without a description, with which no metric
        # of the process can be read.
        for process in [
            *served.gateways.values(),
            *served.keepers.values(),
        ]:
            assert b'clementineline_endpoints' in process.metrics.render()
