"""The pace of endpoints, as an entry sees it on its own requests.

An engine's pace is its time for one token, a service's pace its time for one
call. The pace of an endpoint is compared with the median of its pool; work
that is overdue counts before it ends, so a slowed endpoint shows at once.
"""

import statistics

__all__ = ['PaceTracker', 'find_typical_pace']

SMOOTHING = 0.3
FAST_RECOVERY = 0.6
# An endpoint that was slow and has no work is tried again after this long.
FORGET_AFTER_S = 1.0


class PaceTracker:
    """Smoothed pace of one endpoint, in seconds for one unit of work."""

    __slots__ = ('_oldest', 'pace_s', 'updated_at')

    def __init__(self):
        self.pace_s = 0.0
        self.updated_at = 0.0
        self._oldest = {}

    def start(self, attempt_id, now):
        """Note that a unit of work was asked for."""
        self._oldest[attempt_id] = now

    def note(self, attempt_id, units, now):
        """Note that units of work arrived.

        :param units: tokens, or 1 for a call
        :param now: monotonic time, in seconds
        """
        started = self._oldest.get(attempt_id)
        if started is None or not units:
            return
        self._oldest[attempt_id] = now
        sample = (now - started) / units
        if not self.pace_s:
            self.pace_s = sample
        else:
            # A faster sample counts more, so that recovery shows soon.
            weight = FAST_RECOVERY if sample < self.pace_s else SMOOTHING
            self.pace_s += weight * (sample - self.pace_s)
        self.updated_at = now

    def finish(self, attempt_id):
        """Note that an attempt ended."""
        self._oldest.pop(attempt_id, None)

    def estimate(self, now, units):
        """Return the pace, overdue work included.

        :param now: monotonic time, in seconds
        :param units: units that usually arrive at once
        :returns: seconds for one unit
        """
        if not self._oldest:
            if now - self.updated_at > FORGET_AFTER_S:
                return 0.0
            return self.pace_s
        overdue = now - min(self._oldest.values())
        return max(self.pace_s, overdue / units)


def find_typical_pace(trackers):
    """Return the median pace of a pool, in seconds; 0 if unknown.

    :param trackers: the pool's :class:`PaceTracker` objects
    """
    paces = []
    for tracker in trackers:
        if tracker.pace_s:
            paces.append(tracker.pace_s)
    if not paces:
        return 0.0
    return statistics.median_low(paces)
