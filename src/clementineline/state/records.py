"""Records that a sidecar keeps: outcomes of attempts and idempotency keys.

Both are kept for a bounded time and within a bounded number of bytes. No
record is dropped early to make room: new work is refused instead.
"""

import collections
import dataclasses

import msgspec

from clementineline.protocol import messages

__all__ = ['KeyRecords', 'OutcomeRecords']

# Counted for each outcome, in addition to its response body.
OUTCOME_OVERHEAD_BYTES = 200
# How long an outcome is kept without its response. It only prevents a late
# copy of the same dispatch from running the attempt again.
DUPLICATE_GUARD_RETAIN_S = 30.0
# Counted for each key, in addition to the response body of its outcome.
KEY_OVERHEAD_BYTES = 400


@dataclasses.dataclass(slots=True)
class _Outcome:
    done: messages.Done | None
    expires_at: float
    size: int


class OutcomeRecords:
    """Outcomes of attempts by attempt id, so that no attempt runs twice.

    :param clock: a :class:`~clementineline.clocks.Clock`
    :param retain_s: how long a response is kept after the end of its
        attempt, in seconds
    :param max_bytes: limit on the bytes of all outcomes
    """

    __slots__ = (
        '_clock',
        '_expiries',
        '_guard_expiries',
        '_max_bytes',
        '_outcomes',
        '_retain_s',
        'used_bytes',
    )

    def __init__(self, clock, retain_s, max_bytes):
        self._clock = clock
        self._retain_s = retain_s
        self._max_bytes = max_bytes
        self._outcomes = {}
        self._expiries = collections.deque()
        self._guard_expiries = collections.deque()
        self.used_bytes = 0

    def __len__(self):
        return len(self._outcomes)

    def has_room(self, size):
        """Return whether a response of ``size`` bytes can be kept."""
        self.expire()
        return (
            self.used_bytes + OUTCOME_OVERHEAD_BYTES + size <= self._max_bytes
        )

    def is_known(self, attempt_id):
        """Return whether the attempt has been started or refused here."""
        return attempt_id in self._outcomes

    def get(self, attempt_id):
        """Return the attempt's Done; None if it is running or unknown."""
        outcome = self._outcomes.get(attempt_id)
        return outcome.done if outcome else None

    def start(self, attempt_id):
        """Record that an attempt has started."""
        self._outcomes[attempt_id] = _Outcome(
            None, 0.0, OUTCOME_OVERHEAD_BYTES
        )
        self.used_bytes += OUTCOME_OVERHEAD_BYTES

    def finish(self, done, keep):
        """Record how an attempt ended.

        :param done: the :class:`messages.Done`
        :param keep: whether to keep the response, not only the outcome
        """
        outcome = self._outcomes.get(done.id)
        if outcome is None:
            outcome = _Outcome(None, 0.0, 0)
            self._outcomes[done.id] = outcome
        self.used_bytes -= outcome.size
        size = OUTCOME_OVERHEAD_BYTES
        expiries = self._guard_expiries
        retain_s = DUPLICATE_GUARD_RETAIN_S
        if keep:
            size += len(done.body)
            expiries = self._expiries
            retain_s = self._retain_s
        else:
            done = messages.Done(done.id, done.outcome, 'answer not kept')
        outcome.done = done
        outcome.size = size
        outcome.expires_at = self._clock.now() + retain_s
        self.used_bytes += size
        expiries.append((outcome.expires_at, done.id))

    def expire(self):
        """Remove the outcomes whose retention time is over."""
        now = self._clock.now()
        for expiries in (self._expiries, self._guard_expiries):
            self._expire_from(expiries, now)

    def _expire_from(self, expiries, now):
        while expiries and expiries[0][0] <= now:
            expires_at, attempt_id = expiries.popleft()
            outcome = self._outcomes.get(attempt_id)
            if outcome is None or outcome.expires_at != expires_at:
                continue
            del self._outcomes[attempt_id]
            self.used_bytes -= outcome.size


class KeyRecords:
    """Records of idempotency keys at one home.

    :param clock: a :class:`~clementineline.clocks.Clock`
    :param retain_s: how long a record is kept, in seconds
    :param max_bytes: limit on the bytes of all records
    """

    __slots__ = (
        '_clock',
        '_expiries',
        '_max_bytes',
        '_records',
        '_retain_s',
        'used_bytes',
    )

    def __init__(self, clock, retain_s, max_bytes):
        self._clock = clock
        self._retain_s = retain_s
        self._max_bytes = max_bytes
        self._records = {}
        self._expiries = collections.deque()
        self.used_bytes = 0

    def __len__(self):
        return len(self._records)

    def claim(self, claim):
        """Grant a claim if it follows the generation of the stored record.

        A claim without a record only looks the key up. A repeated claim of
        the attempt that already holds the key is granted again.

        :param claim: a :class:`messages.KeyClaim`
        :returns: a :class:`messages.KeyAnswer`
        """
        self._expire()
        record = self._records.get(claim.key)
        if claim.record is None:
            outcome = 'held' if record else 'absent'
            return messages.KeyAnswer(claim.call_id, outcome, record)
        if record is not None:
            if record.request_id == claim.record.request_id:
                return messages.KeyAnswer(claim.call_id, 'granted', record)
            if record.generation != claim.generation:
                return messages.KeyAnswer(claim.call_id, 'held', record)
        if record is None and not self._has_room():
            return messages.KeyAnswer(
                claim.call_id, 'refused', None, 'key records are full'
            )
        self._store(claim.record, new=record is None)
        return messages.KeyAnswer(claim.call_id, 'granted', claim.record)

    def settle(self, settle):
        """Store the first outcome for a key; ignore any later one.

        :param settle: a :class:`messages.KeySettle`
        """
        record = self._records.get(settle.key)
        if record is None or record.answer is not None:
            return
        if record.request_id != settle.request_id:
            return
        self.used_bytes += len(settle.answer.body)
        self._records[settle.key] = msgspec.structs.replace(
            record, answer=settle.answer
        )

    def _has_room(self):
        return self.used_bytes + KEY_OVERHEAD_BYTES <= self._max_bytes

    def _store(self, record, new):
        self._records[record.key] = record
        if not new:
            return
        self.used_bytes += KEY_OVERHEAD_BYTES
        expires_at = self._clock.now() + self._retain_s
        self._expiries.append((expires_at, record.key))

    def _expire(self):
        now = self._clock.now()
        while self._expiries and self._expiries[0][0] <= now:
            _, key = self._expiries.popleft()
            record = self._records.pop(key, None)
            if record is None:
                continue
            self.used_bytes -= KEY_OVERHEAD_BYTES
            if record.answer is not None:
                self.used_bytes -= len(record.answer.body)
