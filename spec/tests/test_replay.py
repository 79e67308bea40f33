"""Replays steps of the models on the code and compares the results."""

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

RECORDS = [keyed_calls.NO_RECORD, *itertools.product((1, 2), (1, 2, 3))]


def build_claim(record, replaced_generation):
    attempt, generation = record
    return messages.KeyClaim(
        'call',
        1,
        'k',
        replaced_generation,
        messages.KeyRecord('k', generation, 'f', str(attempt), 'e', 1),
    )


class TestClaims:
    """A home grants the same claims in the model and in the code.

    If they differed, the model would prove nothing about the code: an entry
    could get a claim that the model refuses, and run a keyed call twice.
    """

    @pytest.mark.parametrize('current', RECORDS)
    @pytest.mark.parametrize('record', RECORDS[1:])
    @pytest.mark.parametrize('replaced_generation', [0, 1, 2, 3])
    def test_code_grants_what_model_grants(
        self, current, record, replaced_generation
    ):
        home = records.KeyRecords(clocks.Clock(), 600.0, 10_000)
        if current != keyed_calls.NO_RECORD:
            home.claim(build_claim(current, 0))
        outcome, kept = keyed_calls.claim(current, record, replaced_generation)
        answer = home.claim(build_claim(record, replaced_generation))
        assert answer.outcome == outcome
        held = home.claim(messages.KeyClaim('call', 1, 'k', 0)).record
        assert (int(held.request_id), held.generation) == kept


class TestAdoption:
    """The code adopts the same configuration versions as the model.

    A process receives versions late and in any order. If it adopted a lower
    version, it would revert the configuration.
    """

    @pytest.mark.parametrize('seed', range(20))
    def test_random_walk_adopts_same_versions(self, seed):
        rng = random.Random(seed)
        model = orders.Orders()
        state = dict(model.FIELDS)
        process = configuration.Configuration()
        store = configuration.Configuration()
        for _ in range(60):
            label, changes = rng.choice(list(model.list_steps(state)))
            state.update(changes)
            while store.version < state['version']:
                self._write_next_version(store)
            if label.startswith('the process adopts version'):
                version = int(label.rpartition(' ')[2])
                process.adopt(self._build_snapshot(store, version))
            assert process.version == state['adopted']
            # A lower version is refused.
            for version in range(process.version):
                assert not process.adopt(self._build_snapshot(store, version))

    def _write_next_version(self, store):
        version = store.version + 1
        value = {'version': version, 'announced_by': 't'}
        change = messages.Change(
            'weights/m', version, msgspec.Raw(msgspec.msgpack.encode(value))
        )
        store.adopt(
            messages.ConfigurationDelta(version - 1, version, [change])
        )

    def _build_snapshot(self, store, version):
        """Return the whole configuration, stamped with a version."""
        changes = []
        for change in store.get_changes():
            changes.append(messages.Change(change.key, version, change.value))
        return messages.ConfigurationDelta(0, version, changes)
