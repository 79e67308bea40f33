"""Wire form of organisations and their keys."""

import base64
import json

import pytest

from clementineline import errors
from clementineline.platform import batches
from clementineline.platform import calls
from clementineline.platform import endpoints
from clementineline.platform import manifest
from clementineline.platform import settings
from clementineline.platform.tests import standin
from clementineline.state import organisations
from clementineline.transport import http

ENTRY = {
    'service': 'lm',
    'address': '10.0.0.9:8080',
    'zone': 'walvis-a',
    'version': 'v1',
    'slots': 12,
    'state': 'ready',
    'coldLeftMs': 0,
    'models': [],
    'seq': 4,
    'born': 1700000000000,
}


def decode(*tenants, **changes):
    value = standin.build_manifest(tenants=list(tenants), **changes)
    return manifest.decode_manifest(value)


class TestManifest:
    def test_missing_list_differs_from_an_empty_one(self):
        # An empty list that counts as missing would admit every request.
        missing = manifest.decode_manifest(standin.build_manifest())
        null = manifest.decode_manifest(standin.build_manifest(tenants=None))
        assert missing.organisations is null.organisations is None
        assert len(decode().organisations) == 0

    def test_all_keys_of_many_organisations_are_found(self):
        # A key that is not indexed would be refused.
        tenants = [
            {'name': f'o{n}', 'apiKeys': [f'a{n}', f'b{n}'], 'priority': n}
            for n in range(75)
        ]
        found = decode(*tenants).organisations
        for number in range(75):
            expected = organisations.Organisation(f'o{number}', number)
            assert found.find(f'a{number}') == expected
            assert found.find(f'b{number}') == expected
            assert found.get(f'o{number}') == expected
        assert [found.find(key) for key in ('a', '', None)] == [None] * 3

    def test_empty_key_is_never_valid(self):
        # It would admit requests with an empty header, or with two keys.
        found = decode({'name': 'north', 'apiKeys': ['']}).organisations
        assert found.find('') is None

    def test_priority_of_the_organisation_precedes_that_of_the_route(self):
        # Urgent work would wait behind that of less urgent organisations.
        table = decode(
            {'name': 'north', 'apiKeys': ['n'], 'priority': 0},
            {'name': 'south'},
        )
        route = table.find('r-live')
        ranks = [
            table.get_priority(route, name)
            for name in ('north', 'south', 'gone', '', None)
        ]
        assert ranks == [0, 2, 2, 2, 2]

    @pytest.mark.parametrize('name', ['', 'a\r\nb', ' a', 'a\n'])
    def test_name_that_no_header_can_hold_is_refused(self, name):
        # It would make every request of the organisation fail at the send.
        with pytest.raises(errors.PlatformError, match='tenants') as raised:
            decode({'name': name, 'apiKeys': ['secret']})
        assert 'secret' not in str(raised.value)

    def test_keys_are_in_no_representation(self):
        # Log lines of errors contain representations.
        table = decode({'name': 'north', 'apiKeys': ['secret']})
        head = http.Head(b'GET', b'/api/lots/s1', ((b'Api-Key', b'secret'),))
        facts = calls.read_call(head)
        call = batches.read_batch_call(head)
        assert facts.key == call.key == 'secret'
        assert 'secret' not in repr((table, facts, call))


class TestKeys:
    @pytest.mark.parametrize(
        ('sent', 'key'),
        [
            ([], None),
            ([b'k1'], 'k1'),
            ([b'k1', b'k1'], 'k1'),
            ([b'k1', b'k2'], ''),
            ([b''], ''),
        ],
    )
    def test_headers_with_different_values_are_no_key(self, sent, key):
        # Another process could take the other value for the key.
        headers = tuple((b'api-KEY', value) for value in sent)
        assert calls.read_key(headers) == key


class TestItems:
    HEADERS = {'api-key': 'secret', 'TENANT': 'forged', 'Model': 'm0'}

    def decode(self, organisation):
        facts = calls.read_call(http.Head(b'POST', b'/batch/s1', ()))
        item = {
            'id': 'i1',
            'path': '/batch/1',
            'headers': self.HEADERS,
            'body': base64.b64encode(b'x').decode(),
        }
        body = json.dumps({'items': [item]}).encode()
        route = decode().find('r-batch')
        return batches.decode_submission(
            facts, route, 'lm', body, 1.0, 1, organisation
        )

    def test_record_holds_the_name_and_no_key(self):
        # Guards against keys in records of the store.
        submission = self.decode('north')
        assert submission.organisation == 'north'
        assert submission.items[0].headers == (('Model', 'm0'),)
        assert len(self.decode(None).items[0].headers) == 3

    @pytest.mark.parametrize(
        ('organisation', 'sent'),
        [('north', [b'north']), ('', []), (None, [b'secret', b'forged'])],
    )
    def test_item_is_sent_under_the_recorded_name_only(
        self, organisation, sent
    ):
        # A record from before organisations may hold both headers.
        submission = self.decode(None)
        head = calls.build_item_call(
            submission,
            submission.items[0],
            endpoints.decode_endpoint('i-1', ENTRY),
            0,
            organisation,
        )
        names = (b'api-key', b'tenant')
        found = [value for key, value in head.headers if key.lower() in names]
        assert found == sent

    @pytest.mark.parametrize('organisation', ['north', ''])
    def test_item_cannot_have_the_name_removed(
        self, organisation, monkeypatch
    ):
        # A proxy before the endpoint drops the headers that Connection names,
        # and may frame the body otherwise.
        headers = {
            'Connection': 'Tenant, Expect-Instance',
            'transfer-encoding': 'chunked',
        }
        monkeypatch.setattr(self, 'HEADERS', headers, raising=False)
        submission = self.decode(organisation)
        head = calls.build_item_call(
            submission,
            submission.items[0],
            endpoints.decode_endpoint('i-1', ENTRY),
            0,
            organisation,
        )
        names = {key.lower() for key, _ in head.headers}
        assert not names & {b'connection', b'transfer-encoding'}
        assert b'expect-instance' in names
        assert ((b'Tenant', b'north') in head.headers) == bool(organisation)


class TestSettings:
    @pytest.mark.parametrize(
        ('bounds', 'expected'),
        [
            ({}, (False, 5.0)),
            ({'failClosed': True, 'revokeMs': 800}, (True, 0.8)),
        ],
    )
    def test_bounds_of_access_are_read(self, tmp_path, bounds, expected):
        # A process that ignores them would trust keys that were removed.
        path = tmp_path / 'node.json'
        boot = {
            'nodeName': 'entry-1',
            'ip': '10.0.0.1',
            'zone': 'walvis-a',
            'portRange': [7720, 7735],
            'platform': {'address': '10.9.9.9:80'},
            'bounds': bounds,
        }
        path.write_text(json.dumps(boot))
        access = settings.load_gateway_settings(str(path)).access
        assert (access.fail_closed, access.revoke_s) == expected
