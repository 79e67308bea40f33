"""Tests of the versioned configuration."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from clementineline import errors
from clementineline.protocol import messages
from clementineline.state import configuration


def build_change(key, version, value):
    return messages.Change(
        key, version, msgspec.Raw(msgspec.msgpack.encode(value))
    )


def build_weights(version):
    return {'version': version, 'announced_by': 't'}


def build_history(count):
    """Return successive deltas that set and remove keys."""
    deltas = []
    for version in range(1, count + 1):
        value = None if version % 5 == 0 else build_weights(version)
        key = f'weights/m{version % 3}'
        deltas.append(
            messages.ConfigurationDelta(
                version - 1, version, [build_change(key, version, value)]
            )
        )
    return deltas


class TestConfiguration:
    """A process converges on the newest configuration.

    If an old delta is adopted, or a delta lacks a change or a removal,
    processes act on different configurations of the same version.
    """

    def test_older_delta_is_not_adopted(self):
        current = configuration.Configuration()
        deltas = build_history(4)
        for delta in deltas:
            assert current.adopt(delta)
        assert not current.adopt(deltas[0])
        assert not current.adopt(deltas[3])
        assert current.version == 4

    def test_delta_after_a_gap_is_not_adopted(self):
        current = configuration.Configuration()
        assert not current.adopt(build_history(3)[2])
        assert current.version == 0

    @hypothesis.settings(derandomize=True, max_examples=100)
    @hypothesis.given(strategies.integers(0, 12), strategies.integers(0, 12))
    def test_delta_leads_to_the_same_state(self, since, upto):
        since, upto = min(since, upto), max(since, upto)
        ahead, behind = (
            configuration.Configuration(),
            configuration.Configuration(),
        )
        for delta in build_history(upto):
            ahead.adopt(delta)
            if delta.version <= since:
                behind.adopt(delta)
        behind.adopt(ahead.build_delta(behind.version))
        assert behind.version == ahead.version
        assert behind.find('weights') == ahead.find('weights')

    def test_delta_is_complete_after_removals_were_forgotten(
        self, monkeypatch
    ):
        monkeypatch.setattr(configuration, 'REMOVALS_KEPT', 1)
        ahead, behind = (
            configuration.Configuration(),
            configuration.Configuration(),
        )
        sets = [
            build_change(f'weights/m{n}', 1, build_weights(1))
            for n in range(3)
        ]
        first = messages.ConfigurationDelta(0, 1, sets)
        ahead.adopt(first)
        behind.adopt(first)
        removals = [
            build_change(f'weights/m{n}', n + 2, None) for n in range(2)
        ]
        ahead.adopt(messages.ConfigurationDelta(1, 3, removals))
        delta = ahead.build_delta(1)
        assert delta.since == 0
        behind.adopt(delta)
        assert sorted(behind.find('weights')) == ['m2']

    def test_error_names_the_key_of_a_malformed_value(self):
        current = configuration.Configuration()
        delta = messages.ConfigurationDelta(
            0, 1, [build_change('weights/m', 1, {'version': 'x'})]
        )
        with pytest.raises(errors.IntentError, match='weights/m'):
            current.adopt(delta)
