import asyncio

import pytest

from clementineline.daemons import metrics
from clementineline.standins import ports
from clementineline.transport import frames
from clementineline.transport import http
from clementineline.transport import outgoing


class TestMetrics:
    def test_updates_before_the_import_are_kept(self):
        process_metrics = metrics.Metrics({'process': 'p'})
        process_metrics.count('requests_total', route='r', outcome='answered')
        process_metrics.observe('request_seconds', 0.03, route='r')
        process_metrics.load()
        process_metrics.count('requests_total', route='r', outcome='answered')
        text = process_metrics.render().decode()
        assert (
            'clementineline_requests_total{outcome="answered",process="p",'
            'route="r"} 2' in text
        )
        assert 'clementineline_request_seconds_bucket{le="0.05"' in text

    def test_unknown_name_is_rejected_before_the_import(self):
        process_metrics = metrics.Metrics({})
        with pytest.raises(KeyError, match='no_such_total'):
            process_metrics.count('no_such_total')

    def test_gauges_are_set_at_each_rendering(self):
        process_metrics = metrics.Metrics(
            {}, lambda process_metrics: process_metrics.set('endpoints', 7)
        )
        assert b'clementineline_endpoints 7' in process_metrics.render()

    async def test_scraper_reads_the_metrics(self, log, monkeypatch):
        monkeypatch.setattr(metrics, 'LOAD_DELAY_S', 0.0)
        address = f'127.0.0.1:{ports.find_free_ports(1)[0]}'
        process_metrics = metrics.Metrics({})
        process_metrics.count('orders_total', outcome='accepted')
        await asyncio.create_task(process_metrics.serve(address, log))
        client = await outgoing.connect(frames.parse_address(address), 1.0)
        host = ((b'Host', address.encode()),)
        client.send_request(http.Head(b'GET', b'/metrics', host), b'')
        reply = await client.receive_head()
        body = await client.receive_body(1 << 20)
        client.close()
        assert reply.status_code == 200
        assert b'clementineline_orders_total{outcome="accepted"} 1' in body


class TestLabelLimiter:
    def test_number_of_values_is_bounded(self):
        # Guards against metrics that grow with the names in manifests.
        limiter = metrics.LabelLimiter(2)
        names = ['a', 'b', 'c', 'a', '']
        found = [limiter.get(name) for name in names]
        assert found == ['a', 'b', 'other', 'a', 'none']
