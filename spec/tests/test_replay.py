"""Replays steps of the specification on the real code, one to one."""

import itertools
import random

import keyed_calls
import msgspec
import orders
import pytest

from clementineline import clocks
from clementineline.protocol import messages
from clementineline.state import configuration
from clementineline.state import records

RECORDS = [keyed_calls.NONE, *itertools.product((1, 2), (1, 2, 3))]


def build_claim(record, expected):
    attempt, generation = record
    return messages.KeyClaim(
        'call',
        1,
        'k',
        expected,
        messages.KeyRecord('k', generation, 'f', str(attempt), 'e', 1),
    )


class TestClaims:
    """A home's claim in the model is the one in the code."""

    @pytest.mark.parametrize('current', RECORDS)
    @pytest.mark.parametrize('record', RECORDS[1:])
    @pytest.mark.parametrize('expected', [0, 1, 2, 3])
    def test_each_claim(self, current, record, expected):
        home = records.KeyRecords(clocks.Clock(), 600.0, 10_000)
        if current != keyed_calls.NONE:
            home.claim(build_claim(current, 0))
        outcome, kept = keyed_calls.claim(current, record, expected)
        answer = home.claim(build_claim(record, expected))
        assert answer.outcome == outcome
        held = home.claim(messages.KeyClaim('call', 1, 'k', 0)).record
        assert (int(held.request_id), held.generation) == kept


class TestAdoption:
    """Walks of the model's adoptions leave the code at the same version."""

    @pytest.mark.parametrize('seed', range(20))
    def test_walk(self, seed):
        draw = random.Random(seed)
        model = orders.Orders()
        state = dict(model.FIELDS)
        process = configuration.Configuration()
        store = configuration.Configuration()
        for _ in range(60):
            label, changes = draw.choice(list(model.list_steps(state)))
            state.update(changes)
            while store.version < state['version']:
                self._write(store)
            if label.startswith('the process adopts version'):
                version = int(label.rpartition(' ')[2])
                process.adopt(self._build_copy(store, version))
            assert process.version == state['adopted']
            # What is older than the adopted version changes nothing.
            for version in range(process.version):
                assert not process.adopt(self._build_copy(store, version))

    def _write(self, store):
        version = store.version + 1
        value = {'version': version, 'announced_by': 't'}
        change = messages.Change(
            'weights/m', version, msgspec.Raw(msgspec.msgpack.encode(value))
        )
        store.adopt(
            messages.ConfigurationDelta(version - 1, version, [change])
        )

    def _build_copy(self, store, version):
        """Return a whole copy of the configuration at a version."""
        changes = []
        for change in store.get_changes():
            changes.append(messages.Change(change.key, version, change.value))
        return messages.ConfigurationDelta(0, version, changes)
