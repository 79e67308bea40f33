"""Tests of the checks of settings, and of their errors."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from clementineline import errors
from clementineline.state import settings

ENTRY = {
    'name': 'entry-1',
    'availability_zone': 'walvis-a',
    'listen': '127.0.0.1:7100',
    'http': '127.0.0.1:7200',
    'platform': {'url': 'http://127.0.0.1:7000'},
}
SIDECAR = {**ENTRY, 'engine': {'url': 'http://127.0.0.1:1', 'model': 'm'}}


def parse(fields, kind=settings.EntrySettings):
    return settings.parse_settings(json.dumps(fields).encode(), kind, 'file')


class TestSettings:
    """An error in the settings names the path of the wrong value."""

    def test_optional_settings_have_defaults(self):
        assert parse(ENTRY).links.heartbeat_s == 0.8
        assert parse(SIDECAR, settings.SidecarSettings).engine.slots == 8

    @pytest.mark.parametrize(
        ('change', 'expected'),
        [
            ({'listn': 'x'}, 'unknown field `listn`'),
            ({'waiting_max': '40'}, r'Expected `int`.*\$\.waiting_max'),
            ({'waiting_max': 0}, r'>= 1.*\$\.waiting_max'),
            ({'listen': 'nowhere'}, r'\$\.listen.*HOST:PORT'),
            ({'seeds': ['a:99999']}, r'\$\.seeds\[0\].*1 to 65535'),
            ({'name': 'has space'}, r'\$\.name'),
            ({'links': {'heartbeat': 1}}, r'`heartbeat`.*\$\.links'),
            ({'links': {'silence_s': 0.1}}, r'\$\.links\.silence_s: got 0.1'),
            ({'lease': {'duration_s': 1.0}}, r'\$\.lease\.duration_s'),
            ({'platform': {'url': 'ftp://x'}}, r'\$\.platform\.url'),
            ({'policy': {'balancing': 'best'}}, r'\$\.policy\.balancing'),
        ],
    )
    def test_error_names_the_path(self, change, expected):
        with pytest.raises(errors.SettingsError, match=expected):
            parse({**ENTRY, **change})

    @pytest.mark.parametrize(
        ('change', 'expected'),
        [
            ({'engine': None}, 'exactly one of "engine" and "service"'),
            (
                {'service': {'url': 'http://a', 'service': 's'}},
                'exactly one of',
            ),
            (
                {
                    'engine': {
                        'url': 'http://a',
                        'model': 'm',
                        'slots': 2,
                        'live_reserve_slots': 2,
                    }
                },
                r'\$\.engine\.live_reserve_slots: got 2',
            ),
        ],
    )
    def test_sidecar_error_names_the_path(self, change, expected):
        with pytest.raises(errors.SettingsError, match=expected):
            parse({**SIDECAR, **change}, settings.SidecarSettings)

    def test_error_names_the_missing_file(self, tmp_path):
        path = tmp_path / 'none.json'
        with pytest.raises(errors.SettingsError, match='none.json'):
            settings.load_settings(path, settings.EntrySettings)

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.text(max_size=8),
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(
                    strategies.sampled_from([*ENTRY, 'links', 'x']), inner
                )
            ),
            max_leaves=8,
        )
    )
    def test_arbitrary_json_is_valid_or_an_error(self, fields):
        try:
            parsed = parse(fields)
        except errors.SettingsError as error:
            assert str(error).startswith('file: ')
        else:
            assert parsed.name
