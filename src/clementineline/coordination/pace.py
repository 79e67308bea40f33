"""Pace of endpoints, measured by an entry on its own requests.

The pace of an engine is its time per token, the pace of a service its time per
call. The pace of an endpoint is compared with the median of its pool. Overdue
attempts count before they end, so an endpoint that becomes slow is detected at
once.
"""

import statistics

__all__ = ['PaceTracker', 'compute_median_pace']

SMOOTHING_FACTOR = 0.3
RECOVERY_SMOOTHING_FACTOR = 0.6
# The pace of an idle endpoint counts for this time only, so that an endpoint
# that was slow is tried again.
IDLE_PACE_VALID_S = 1.0


class PaceTracker:
    """Smoothed pace of one endpoint, in seconds per unit of work.

    A unit of work is a token (engine) or a call (service).
    """

    __slots__ = ('_last_arrivals', 'pace_s', 'updated_at')

    def __init__(self):
        self.pace_s = 0.0
        self.updated_at = 0.0
        self._last_arrivals = {}

    def start(self, attempt_id, now):
        """Record that an attempt was sent."""
        self._last_arrivals[attempt_id] = now

    def record(self, attempt_id, units, now):
        """Record that units of work arrived.

        :param units: tokens, or 1 for a call
        :param now: monotonic time, in seconds
        """
        previous = self._last_arrivals.get(attempt_id)
        if previous is None or not units:
            return
        self._last_arrivals[attempt_id] = now
        measured = (now - previous) / units
        if not self.pace_s:
            self.pace_s = measured
        else:
            # A faster pace weighs more, so that a recovery shows quickly.
            weight = (
                RECOVERY_SMOOTHING_FACTOR
                if measured < self.pace_s
                else SMOOTHING_FACTOR
            )
            self.pace_s += weight * (measured - self.pace_s)
        self.updated_at = now

    def finish(self, attempt_id):
        """Record that an attempt ended."""
        self._last_arrivals.pop(attempt_id, None)

    def estimate(self, now, units):
        """Return the pace, or the pace of overdue work if that is slower.

        :param now: monotonic time, in seconds
        :param units: units of work that usually arrive together
        :returns: seconds per unit; 0 if the pace is unknown
        """
        if not self._last_arrivals:
            if now - self.updated_at > IDLE_PACE_VALID_S:
                return 0.0
            return self.pace_s
        overdue = now - min(self._last_arrivals.values())
        return max(self.pace_s, overdue / units)


def compute_median_pace(trackers):
    """Return the median pace of a pool, in seconds per unit of work.

    :param trackers: the pool's :class:`PaceTracker` objects
    :returns: the pace; 0 if unknown
    """
    paces = []
    for tracker in trackers:
        if tracker.pace_s:
            paces.append(tracker.pace_s)
    if not paces:
        return 0.0
    return statistics.median_low(paces)
