"""When callers should return whose calls no endpoint had room for.

The decision does no I/O. It is meant for a gateway that refuses up to some
thousand calls a second for some seconds, beside others that do the same and of
which it knows only what the endpoints report.
"""

import random

from clementineline.coordination import directory

__all__ = ['DrainEstimator']

# Largest part of a caller's time left that it is asked to wait, so that it can
# return more than once.
LEFT_SHARE = 1 / 3
# Smallest wait: two round trips between a caller and a gateway.
RETRY_MIN_S = 0.02
# Used until a call of the service was answered: about the duration of one.
DURATION_DEFAULT_S = 0.1
# Weight of a call in the mean duration, so that the last twenty or so count.
DURATION_WEIGHT = 0.05
# Part of the queues that has to drain before a caller returns. After a full
# drain, endpoints would have been idle.
QUEUE_SHARE = 0.5


class _Service:
    """What a gateway saw of a service.

    :ivar duration_s: mean time from sending a call to its answer, in seconds
    :ivar next_at: loop time at which the last refused caller should return
    """

    __slots__ = ('duration_s', 'next_at')

    def __init__(self):
        self.duration_s = None
        self.next_at = 0.0


class DrainEstimator:
    """Tells refused callers when to return, one after the other.

    The rate at which calls leave the endpoints is the number there divided by
    the mean time that they stay. This process returns its callers at the part
    of that rate which its own calls have, so that they find the places that
    become free, and do not meet each other.

    :param draw: function that returns a random number from 0 to 1
    """

    __slots__ = ('_draw', '_services')

    def __init__(self, draw=random.random):
        self._draw = draw
        self._services = {}

    def note_answer(self, service, duration_s):
        """Record how long a call stayed at an endpoint.

        :param service: name of the service
        """
        known = self._services.setdefault(service, _Service())
        if known.duration_s is None:
            known.duration_s = duration_s
        else:
            change = duration_s - known.duration_s
            known.duration_s += DURATION_WEIGHT * change

    def choose_delay(self, service, states, now, left_s):
        """Choose the delay after which a refused caller should return.

        :param service: name of the service
        :param states: its usable :class:`~directory.EndpointState`
        :param now: loop time, in seconds
        :param left_s: time that the caller has left, in seconds
        """
        known = self._services.setdefault(service, _Service())
        duration_s = known.duration_s or DURATION_DEFAULT_S
        own = present = queued = 0
        for state in states:
            own += state.in_flight
            present += state.in_flight
            if now - state.load_at < directory.LOAD_TTL_S:
                present += state.other_requests
                queued += state.queued
        present = max(1, present)
        drain_s = QUEUE_SHARE * min(queued, present) / present * duration_s
        interval_s = duration_s / max(1, own)
        return_at = max(now + drain_s, known.next_at + interval_s)
        longest_s = max(0.0, left_s * LEFT_SHARE)
        if return_at - now >= longest_s:
            # More callers than places in their time: they are spread over it.
            return longest_s * (1 + self._draw()) / 2
        known.next_at = return_at
        delay_s = return_at - now + interval_s * self._draw()
        return min(longest_s, max(RETRY_MIN_S, delay_s))
