"""Wire form of reports and orders, and their settings."""

import json

import pytest

from clementineline import errors
from clementineline.platform import duties
from clementineline.platform import manifest
from clementineline.platform import settings
from clementineline.platform.tests import standin
from clementineline.state import dialect
from clementineline.state import routes

TOKEN = dialect.DutyToken('vm-7', 41)
HEADERS = (
    (b'Duty-Holder', b'vm-7'),
    (b'Fencing-Token', b'41'),
    (b'Content-Type', b'application/json'),
)
BOOT = {
    'nodeName': 'vm-7',
    'ip': '10.0.0.7',
    'zone': 'a',
    'platform': {'address': '10.0.0.1:1'},
    'portRange': [7720, 7735],
}


def load(tmp_path, **changes):
    path = tmp_path / 'boot.json'
    path.write_text(json.dumps({**BOOT, **changes}))
    return settings.load_keeper_settings(str(path)).duties


class TestCalls:
    def test_repeated_report_is_the_same_byte_for_byte(self):
        # A successor that adds up in another order would report another body.
        head, body = duties.build_usage_call(TOKEN, 9, {'s': 2, 'n': 1})
        again = duties.build_usage_call(TOKEN, 9, {'n': 1, 's': 2})
        assert (head, body) == again
        assert (head.method, head.target) == (b'POST', b'/usage')
        assert head.headers == HEADERS
        assert json.loads(body) == {'window': 9, 'counts': {'n': 1, 's': 2}}

    def test_order(self):
        # An order in another form is refused, and nothing boots.
        head, body = duties.build_capacity_call(TOKEN, 'desk', 'a', 3)
        assert (head.target, head.headers) == (b'/scale', HEADERS)
        assert json.loads(body) == {
            'service': 'desk',
            'zone': 'a',
            'desired': 3,
        }

    def test_only_status_200_accepts(self):
        # A window that was refused and not sent again is never reported.
        accepted = []
        for status in (200, 202, 409, 412, 429, 500, 503):
            outcome = duties.read_duty_status(status)
            if outcome is dialect.DutyOutcome.ACCEPTED:
                accepted.append(status)
        assert accepted == [200]


class TestSettings:
    def test_deployment_without_duties_has_none(self, tmp_path):
        # Counting must not cost anything where nobody asks for it.
        assert load(tmp_path) is None
        cloud = {'address': '10.0.0.2:1', 'duties': []}
        assert load(tmp_path, cloud=cloud) is None

    def test_duties_and_their_times(self, tmp_path):
        # Windows of another length would be refused or miss requests.
        cloud = {
            'address': '10.0.0.2:1',
            'ratePerS': 50.0,
            'duties': ['usage', 'later'],
            'dutiesPerS': 8.0,
        }
        bounds = {'reportWindowS': 2, 'usageLateS': 6, 'requireFence': True}
        found = load(tmp_path, cloud=cloud, bounds=bounds)
        assert (found.usage, found.scaling) == (True, False)
        assert (found.calls_per_s, found.window_s, found.late_s) == (8, 2, 6)
        with pytest.raises(errors.SettingsError, match='HOST:PORT'):
            load(tmp_path, cloud={**cloud, 'address': 'nowhere'})

    def test_bounds_of_scaling(self):
        # Without them, endpoints that the operator runs would be ended.
        value = standin.build_manifest()
        value['services'][1]['scaling'] = {'min': 2, 'max': 9, 'bootS': 30}
        services = manifest.decode_manifest(value).services
        assert services['desk'].scaling is None
        expected = routes.ScalingBounds(2, 9, 30.0)
        assert services['lm'].scaling == expected
