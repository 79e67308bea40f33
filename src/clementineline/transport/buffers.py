"""One limit on all bytes that a process holds for others.

Everything that a peer can make the process keep has a :class:`Hold`: requests
that are being read or forwarded, frames, responses, and bytes that a slow
reader has not taken. When the budget is short, holds that may be ended are
ended, the largest and slowest first.
"""

import time

__all__ = ['BufferBudget', 'Hold']

# Holds up to this size may use the reserve, and are ended last. Ordinary
# requests and responses are smaller.
SMALL_BYTES = 64 * 1024
# Part of the limit that larger holds cannot use, so that there is room for
# small requests.
RESERVE_SHARE = 0.125
# Added to the age of a hold, so that the size decides among new ones.
AGE_OFFSET_S = 0.5


class Hold:
    """Bytes that a process holds for one peer.

    :param budget: the :class:`BufferBudget`
    :param end: called to end what holds the bytes; None while it may not be
        ended
    :param weight: importance of the bytes when one of several is ended;
        smaller ones are kept longer
    :ivar ended: whether it was ended for the budget
    :ivar size: bytes held now
    """

    __slots__ = ('_budget', 'end', 'ended', 'size', 'started_at', 'weight')

    def __init__(self, budget, end, weight=1.0):
        self._budget = budget
        self.end = end
        self.ended = False
        self.size = 0
        self.started_at = 0.0
        self.weight = weight

    def add(self, count):
        """Add bytes; end the largest holds if there is no room.

        :returns: whether this hold was not ended
        """
        return self.resize(self.size + count)

    def resize(self, size):
        """Set the number of bytes; end the largest holds if needed.

        :returns: whether this hold was not ended
        """
        if self.ended:
            return False
        return self._budget.change(self, size)

    def restart_age(self):
        """Count the age from now, as the bytes are for something new."""
        self.started_at = time.monotonic()

    def release(self):
        """Hold nothing any more."""
        self._budget.change(self, 0)


class BufferBudget:
    """Bytes that a process may hold for others.

    :param limit_bytes: the limit
    :ivar used_bytes: bytes held now
    :ivar ended: number of holds ended because of the limit
    """

    __slots__ = ('_holds', 'ended', 'limit_bytes', 'used_bytes')

    def __init__(self, limit_bytes):
        self._holds = set()
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.ended = 0

    def open(self, end=None, weight=1.0):
        """Return a new :class:`Hold` of no bytes; see there."""
        return Hold(self, end, weight)

    def change(self, hold, size):
        """Set the size of a hold; see :meth:`Hold.resize`."""
        grows = size > hold.size
        self.used_bytes += size - hold.size
        if not hold.size:
            hold.started_at = time.monotonic()
        hold.size = size
        if not size:
            self._holds.discard(hold)
            return not hold.ended
        self._holds.add(hold)
        if grows:
            self._make_room()
        return not hold.ended

    def _make_room(self):
        large_limit = self.limit_bytes * (1.0 - RESERVE_SHARE)
        while self.used_bytes > large_limit:
            victim = self._choose_victim(SMALL_BYTES)
            if victim is None:
                break
            self._end(victim)
        while self.used_bytes > self.limit_bytes:
            victim = self._choose_victim(0)
            if victim is None:
                break
            self._end(victim)

    def _choose_victim(self, min_bytes):
        """Return the hold that has most bytes for the longest time."""
        now = time.monotonic()
        chosen = None
        most = 0.0
        for hold in self._holds:
            if hold.end is None or hold.size <= min_bytes:
                continue
            age_s = now - hold.started_at + AGE_OFFSET_S
            score = hold.size * age_s * hold.weight
            if score > most:
                chosen, most = hold, score
        return chosen

    def _end(self, hold):
        self.ended += 1
        hold.ended = True
        end = hold.end
        self.change(hold, 0)
        end()
