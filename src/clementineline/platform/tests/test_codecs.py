import json
import urllib.parse

import pytest

from clementineline import errors
from clementineline.platform import batches
from clementineline.platform import calls
from clementineline.platform import endpoints
from clementineline.platform import manifest
from clementineline.platform import settings
from clementineline.platform.tests import standin
from clementineline.state import dialect
from clementineline.state import directory
from clementineline.state import submissions
from clementineline.transport import events
from clementineline.transport import http

ENTRY = {
    'service': 'desk',
    'address': '10.0.0.9:8080',
    'zone': 'walvis-a',
    'version': 'v1',
    'slots': 12,
    'state': 'ready',
    'coldLeftMs': 500,
    'models': [{'name': 'm0', 'version': 3, 'adapters': []}],
    'seq': 4,
    'born': 1700000000000,
}


@pytest.fixture
def table():
    return manifest.decode_manifest(standin.build_manifest())


@pytest.fixture
def endpoint():
    return endpoints.decode_endpoint('i-1', ENTRY)


class TestManifest:
    def test_route_is_decoded(self, table):
        route = table.find('r-batch')
        assert route.batch
        assert route.idempotent
        assert (route.due_s, route.queue_s) == (7.5, 40.0)
        assert route.targets[0].service == 'lm'
        assert table.services['lm'].models == ('m0', 'm1')

    def test_route_with_the_longest_prefix_matches(self):
        manifest_value = standin.build_manifest()
        longer = dict(manifest_value['routes'][0])
        longer.update(name='r-longer', pathPrefix='/live/x/')
        manifest_value['routes'].append(longer)
        table = manifest.decode_manifest(manifest_value)
        assert table.match('shop.example', '/live/x/1').name == 'r-longer'
        assert table.match('shop.example', '/live/y').name == 'r-live'
        assert table.match('other.example', '/live/y') is None
        assert table.match('shop.example', '/liv') is None

    def test_traffic_split_keeps_its_weights(self):
        manifest_value = standin.build_manifest()
        manifest_value['routes'][0]['trafficSplit'] = [
            {'service': 'desk', 'weight': 90},
            {'service': 'lm', 'weight': 10},
        ]
        table = manifest.decode_manifest(manifest_value)
        weights = [target.weight for target in table.routes[0].targets]
        assert weights == [90, 10]

    def test_unsafe_route_is_not_idempotent(self):
        manifest_value = standin.build_manifest()
        manifest_value['routes'][0]['kind'] = 'unsafe'
        assert (
            not manifest.decode_manifest(manifest_value).routes[0].idempotent
        )

    def test_malformed_manifest_raises(self):
        with pytest.raises(errors.PlatformError, match='version'):
            manifest.decode_manifest({'routes': [], 'services': []})


class TestEndpoints:
    def test_entry_is_decoded(self, endpoint):
        assert endpoint.versions == {'m0': 3}
        assert (endpoint.cold_s, endpoint.leaving) == (0.5, False)

    @pytest.mark.parametrize(
        'change',
        [
            {'state': 'resting'},
            {'slots': '12'},
            {'slots': 0},
            {'address': 'nowhere'},
            {'service': None},
            {'models': 'none'},
        ],
    )
    def test_malformed_entry_is_ignored(self, change):
        assert endpoints.decode_endpoint('i-1', {**ENTRY, **change}) is None

    def test_entry_without_a_required_field_is_ignored(self):
        for name in ('service', 'address', 'zone', 'slots', 'state'):
            entry = {key: ENTRY[key] for key in ENTRY if key != name}
            assert endpoints.decode_endpoint('i-1', entry) is None

    def test_order_has_fencing_token_holder_and_accepted_count(self, endpoint):
        order = dialect.EngineOrder('i-1', 'm0', 4, 'vm-1', 9, 2, True)
        head, body = endpoints.build_order_call(order, endpoint)
        assert (b'Expect-Instance', b'i-1') in head.headers
        assert json.loads(body) == {
            'operation': 'version',
            'model': 'm0',
            'version': 4,
            'mode': 'keep',
            'holder': 'vm-1',
            'fencingToken': 9,
            'expected': 2,
        }

    def test_report_is_decoded(self):
        report = endpoints.decode_report(
            b'{"stage":"both","models":[{"name":"m0","version":1}],'
            b'"busy":true,"seq":2,"numWaiting":1,"numRunning":12,'
            b'"kvUsed":41,"kvTotal":90,"handles":0}'
        )
        assert report == directory.EngineReport(
            {'m0': 1}, True, 2, 12, 1, 41, 90
        )

    def test_malformed_report_raises(self):
        with pytest.raises(errors.ProtocolError):
            endpoints.decode_report(b'{"models":1}')


class TestCalls:
    def test_forwarded_call_replaces_headers_of_the_caller(self, endpoint):
        head = http.Head(
            b'POST',
            b'/live/1?q',
            (
                (b'Host', b'shop.example'),
                (b'Request-Id', b'r1'),
                (b'Timeout-Ms', b'900'),
                (b'Expect-Instance', b'i-other'),
                (b'Connection', b'keep-alive'),
                (b'X-Mine', b'1'),
            ),
        )
        sent = calls.build_call(head, endpoint, 0.5)
        assert sent.target == b'/live/1?q'
        assert sorted(sent.headers) == [
            (b'Expect-Instance', b'i-1'),
            (b'Host', b'shop.example'),
            (b'Request-Id', b'r1'),
            (b'Timeout-Ms', b'500'),
            (b'X-Mine', b'1'),
        ]

    @pytest.mark.parametrize(
        ('organisation', 'sent'),
        [
            (None, [(b'Api-Key', b'k1'), (b'tenant', b'forged')]),
            ('', []),
            ('north', [(b'Tenant', b'north')]),
        ],
    )
    def test_call_carries_no_key_and_only_the_own_name(
        self, endpoint, organisation, sent
    ):
        # An endpoint that is sent a key, or a name that the caller made up,
        # discloses the key or runs the request for another organisation.
        head = http.Head(
            b'GET', b'/', ((b'Api-Key', b'k1'), (b'tenant', b'forged'))
        )
        built = calls.build_call(
            head, endpoint, None, organisation=organisation
        )
        own = (b'Expect-Instance', b'i-1')
        assert [each for each in built.headers if each != own] == sent

    def test_refusal_of_a_request_that_did_not_run_is_recognised(self):
        facts = calls.read_reply(
            (
                (b'Not-Executed', b'1'),
                (b'Request-Id', b'r1'),
                (b'Server-Load', b'3,2,8,250'),
            )
        )
        assert facts.not_run
        assert (facts.running, facts.waiting) == (3, 2)
        assert facts.slowness == 2.5

    def test_malformed_load_is_ignored(self):
        facts = calls.read_reply(((b'Server-Load', b'x,2'),))
        assert facts.running is None

    @pytest.mark.parametrize(
        ('named', 'limit'),
        [(b'3.8', 3.8), (b'2', 2.0), (b'-1', None), (b'nan', None)],
    )
    def test_limit_of_requests_a_second_is_read(self, named, limit):
        facts = calls.read_reply(((b'Server-Limit', named),))
        assert facts.rate_limit == limit

    def test_response_without_a_limit_names_none(self):
        assert calls.read_reply(()).rate_limit is None


class TestBatches:
    def test_calls_about_submissions_are_distinguished(self):
        def read(method, target, headers=()):
            return batches.read_batch_call(
                http.Head(method, target, tuple(headers))
            )

        call = read(b'GET', b'/api/lots/s1?after=12', ((b'Wait-Ms', b'5000'),))
        assert (call.submission_id, call.after, call.wait_s) == ('s1', 12, 1.0)
        assert read(b'GET', b'/api/items/s1?id=i1').item_id == 'i1'
        assert read(b'DELETE', b'/api/lots/s1').verb is dialect.BatchVerb.END
        assert read(b'POST', b'/batch/s1') is None

    def test_error_of_a_malformed_submission_names_the_field(self, table):
        facts = dialect.CallFacts('s1', 'shop.example', '/batch/s1', None)
        with pytest.raises(errors.RequestError, match='items'):
            batches.decode_submission(
                facts, table.find('r-batch'), 'lm', b'{"items":3}', 1.0, 1
            )

    def test_page_is_encoded_under_wire_names(self):
        page = submissions.ResultPage(
            2,
            1,
            (submissions.Result('i1', 'completed', 'a\nb', (6, 7)),),
        )
        assert json.loads(batches.encode_page(page)) == {
            'total': 2,
            'next': 1,
            'results': [
                {
                    'id': 'i1',
                    'state': 'completed',
                    'text': 'a\nb',
                    'versions': [6, 7],
                }
            ],
        }


class TestSettings:
    def test_unknown_fields_are_ignored(self, tmp_path):
        path = tmp_path / 'node.json'
        path.write_text(
            json.dumps(
                {
                    'nodeName': 'store-1',
                    'ip': '10.0.0.1',
                    'zone': 'walvis-a',
                    'later': {'x': 1},
                    'portRange': [7720, 7735],
                    'platform': {'address': '10.9.9.9:80', 'form': 'objects'},
                    'bounds': {'leaseMs': 2500, 'statusS': 10},
                }
            )
        )
        loaded = settings.load_keeper_settings(str(path))
        assert loaded.listen == '10.0.0.1:7720'
        assert loaded.lease.quiet_s == 2.5

    @pytest.mark.parametrize(
        ('given', 'expected'),
        [
            ({}, 'fixed'),
            ({'contracts': ['base', 'engine']}, 'fixed'),
            ({'contracts': ['base', 'pressure']}, 'announced'),
        ],
    )
    def test_announced_idle_timeouts_are_used_only_if_asked_for(
        self, tmp_path, given, expected
    ):
        # Guards against longer idle connections without the contract.
        path = tmp_path / 'node.json'
        boot = {
            'nodeName': 'entry-1',
            'ip': '10.0.0.1',
            'zone': 'walvis-a',
            'portRange': [7720, 7735],
            'platform': {'address': '10.9.9.9:80'},
        }
        path.write_text(json.dumps({**boot, **given}))
        loaded = settings.load_gateway_settings(str(path))
        assert loaded.keep_alive == expected
        loaded = settings.load_keeper_settings(str(path))
        assert loaded.keep_alive == expected

    def test_error_of_malformed_settings_names_the_file(self, tmp_path):
        path = tmp_path / 'node.json'
        path.write_text('{"nodeName": "a"}')
        with pytest.raises(errors.SettingsError, match='node.json'):
            settings.load_gateway_settings(str(path))


class TestNumbers:
    """Thousands of digits failed the task that read them."""

    LONG = b'9' * 5000

    def test_long_numbers_in_headers_are_ignored(self):
        facts = calls.read_reply(
            (
                (b'Server-Load', b'1,%s,4' % self.LONG),
                (b'Weight-Versions', self.LONG),
                (b'Server-Limit', b'1e999'),
            )
        )
        assert (facts.running, facts.version, facts.rate_limit) == (
            None,
            None,
            None,
        )
        head = http.Head(
            b'GET',
            b'/live/a',
            ((b'Timeout-Ms', b'nan'), (b'Last-Event-Id', self.LONG)),
        )
        read = calls.read_call(head)
        assert (read.timeout_s, read.last_event) == (None, 0)

    @pytest.mark.parametrize('number', ['9' * 5000, '\u00b2', '-1', 'x'])
    def test_odd_position_is_read_as_the_first(self, number):
        target = f'/api/lots/s1?after={urllib.parse.quote(number)}'
        head = http.Head(b'GET', target.encode(), ((b'Wait-Ms', self.LONG),))
        call = batches.read_batch_call(head)
        assert (call.after, call.wait_s) == (0, 0.0)

    def test_long_event_id_is_an_error_of_the_protocol(self):
        with pytest.raises(errors.ProtocolError):
            events.EventReader().feed(b'id: %s\ndata: x\n\n' % self.LONG)
        ((number, _),) = events.EventSplitter().feed(
            b'id: %s\ndata: x\n\n' % self.LONG
        )
        assert number is None
