"""Tests of the records that sidecars keep."""

import pytest

from clementineline.protocol import messages
from clementineline.state import records


def build_claim(key, request_id, generation=0):
    record = messages.KeyRecord(
        key, generation + 1, 'f', request_id, 'endpoint', 1
    )
    return messages.KeyClaim('call', 1, key, generation, record)


@pytest.fixture
def keys(clock):
    return records.KeyRecords(clock, 600.0, 10_000)


@pytest.fixture
def outcomes(clock):
    return records.OutcomeRecords(clock, 600.0, 10_000)


class TestKeyRecords:
    """Only one attempt at a time may hold a key.

    If a second claim of a held key is granted, or a record is dropped before
    its time, the request of that key runs twice.
    """

    def test_second_claim_returns_the_record_of_the_holder(self, keys):
        assert keys.claim(build_claim('k', 'a')).outcome == 'granted'
        answer = keys.claim(build_claim('k', 'b'))
        assert answer.outcome == 'held'
        assert answer.record.request_id == 'a'

    def test_repeated_claim_is_granted_again(self, keys):
        keys.claim(build_claim('k', 'a'))
        assert keys.claim(build_claim('k', 'a')).outcome == 'granted'

    def test_claim_of_the_next_generation_replaces_the_holder(self, keys):
        keys.claim(build_claim('k', 'a'))
        assert keys.claim(build_claim('k', 'b', 1)).outcome == 'granted'
        assert keys.claim(build_claim('k', 'c', 1)).outcome == 'held'

    def test_first_outcome_is_kept(self, keys):
        keys.claim(build_claim('k', 'a'))
        for body in (b'first', b'second'):
            done = messages.Done('a', 'answered', body=body)
            keys.settle(messages.KeySettle('k', 'a', done))
        answer = keys.claim(messages.KeyClaim('call', 1, 'k', 0))
        assert answer.record.answer.body == b'first'

    def test_records_expire_and_free_their_bytes(self, keys, clock):
        keys.claim(build_claim('k', 'a'))
        clock.time_s += 601
        assert keys.claim(build_claim('j', 'b')).outcome == 'granted'
        assert len(keys) == 1
        assert keys.used_bytes == records.KEY_OVERHEAD_BYTES

    def test_claim_is_refused_when_records_are_full(self, keys):
        for number in range(25):
            keys.claim(build_claim(f'k{number}', 'a'))
        answer = keys.claim(build_claim('one more', 'a'))
        assert answer.outcome == 'refused'
        assert keys.claim(build_claim('k0', 'b')).outcome == 'held'


class TestOutcomeRecords:
    """Outcomes are kept for a bounded time and within a byte limit.

    If an outcome is forgotten too early, a late copy of its dispatch runs the
    attempt again.
    """

    def test_kept_response_is_returned_until_it_expires(self, outcomes, clock):
        outcomes.start('a')
        assert outcomes.get('a') is None
        done = messages.Done('a', 'answered', body=b'x')
        outcomes.finish(done, keep=True)
        clock.time_s += 599
        outcomes.expire()
        assert outcomes.get('a') == done
        clock.time_s += 2
        outcomes.expire()
        assert not outcomes.is_known('a')
        assert outcomes.used_bytes == 0

    def test_outcome_without_response_expires_earlier(self, outcomes, clock):
        outcomes.finish(messages.Done('a', 'answered', body=b'x'), False)
        assert outcomes.get('a').body == b''
        clock.time_s += records.DUPLICATE_GUARD_RETAIN_S + 1
        outcomes.expire()
        assert not outcomes.is_known('a')

    def test_has_room_respects_the_byte_limit(self, outcomes):
        assert outcomes.has_room(5000)
        done = messages.Done('a', 'answered', body=b'x' * 6000)
        outcomes.finish(done, keep=True)
        assert not outcomes.has_room(5000)
