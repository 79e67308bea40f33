"""Lasting speeds of endpoints, relative to the other ones of their service.

A quarter of the endpoints of a service may be half as fast as the others for
good, while noisy neighbours slow each one down for some 600 ms now and then.
The observations of an endpoint are therefore averaged over spans of the length
of such a disturbance, and the median of many spans counts: disturbances that
fill less than half of the time do not change it.
"""

import collections
import itertools
import math
import statistics

__all__ = ['SpeedTracker', 'rate_endpoints']

# Noisy neighbours slow an endpoint for about 600 ms at a time.
SPAN_S = 0.5
SPANS_MAX = 120
# Fewer spans may all lie within a few disturbances.
SPANS_MIN = 10
# The lasting speed has changed if the median of the last spans, together far
# longer than a disturbance, differs from the median of all by the factor and
# by the standard errors. More than half of the last spans are from after the
# change then, and only these are kept.
CHANGE_SPANS = 12
CHANGE_KEPT = CHANGE_SPANS // 2
CHANGE_MIN = math.log(1.3)
CHANGE_ERRORS = 3.0
# A slow endpoint gets little work. Its observations expire after this time, so
# that one that has become faster is tried again.
SPAN_MAX_AGE_S = 120.0
# Differences of up to this many standard errors are attributed to chance.
STANDARD_ERRORS = 2.0
# The standard error of the median of N values, from the median of their
# absolute deviations: 1.4826 to the standard deviation, 1.2533 to the error.
ERROR_FACTOR = 1.4826 * 1.2533
# The median of the reported slowness needs as many reports.
REPORTS_MIN = 5
REPORTS_MAX = 15


class SpeedTracker:
    """Observations of one instance of an endpoint.

    An observation is the logarithm of the time that some work took, divided
    by the time that such work usually takes in the service.
    """

    __slots__ = (
        '_changed',
        '_count',
        '_estimate',
        '_report_at',
        '_reports',
        '_span_at',
        '_spans',
        '_sum',
        'typical_slowness',
    )

    def __init__(self):
        # Start and mean of each complete span, oldest first.
        self._spans = None
        self._span_at = -math.inf
        self._sum = 0.0
        self._count = 0
        # Whether the spans before a change were dropped.
        self._changed = False
        # Time up to which the result is kept, and the result.
        self._estimate = (-math.inf, None)
        self._reports = None
        self._report_at = -math.inf
        # Slowness that the endpoint usually reports. It exceeds 1 if the
        # reports include the lasting speed.
        self.typical_slowness = 1.0

    def add(self, logarithm, now):
        """Add an observation.

        :param now: loop time, in seconds
        """
        if now - self._span_at >= SPAN_S:
            self._close_span()
            self._span_at = now
        self._sum += logarithm
        self._count += 1

    def _close_span(self):
        if not self._count:
            return
        if self._spans is None:
            self._spans = collections.deque(maxlen=SPANS_MAX)
        self._spans.append((self._span_at, self._sum / self._count))
        self._sum = 0.0
        self._count = 0

    def add_report(self, slowness, now):
        """Add a slowness that the endpoint reported."""
        if now - self._report_at < SPAN_S:
            return
        self._report_at = now
        if self._reports is None:
            if slowness <= 1.0:
                return
            self._reports = collections.deque(maxlen=REPORTS_MAX)
        self._reports.append(max(slowness, 1.0))
        if len(self._reports) >= REPORTS_MIN:
            self.typical_slowness = statistics.median_low(self._reports)

    def estimate(self, now):
        """Return the median observation and its standard error.

        :returns: ``(median, error)``; None if there are too few observations
        """
        expires_at, kept = self._estimate
        if now < expires_at:
            return kept
        result = None
        while self._spans and now - self._spans[0][0] > SPAN_MAX_AGE_S:
            self._spans.popleft()
        count = len(self._spans) if self._spans else 0
        if count < SPANS_MIN:
            self._changed = self._changed and count >= CHANGE_KEPT
        if count >= SPANS_MIN or self._changed:
            result = _find_median([value for _, value in self._spans])
            if count > 2 * CHANGE_SPANS and self._has_changed(*result):
                while len(self._spans) > CHANGE_KEPT:
                    self._spans.popleft()
                self._changed = True
                result = _find_median([value for _, value in self._spans])
        self._estimate = (now + SPAN_S, result)
        return result

    def _has_changed(self, middle, error):
        """Return whether the last spans differ from those before."""
        spread = error * math.sqrt(len(self._spans))
        bound = max(
            CHANGE_MIN, CHANGE_ERRORS * spread / math.sqrt(CHANGE_SPANS)
        )
        last = itertools.islice(reversed(self._spans), CHANGE_SPANS)
        found = statistics.median(value for _, value in last)
        return abs(found - middle) > bound


def _find_median(values):
    """Return the median of some values and its standard error."""
    middle = statistics.median(values)
    deviation = statistics.median(abs(value - middle) for value in values)
    return middle, ERROR_FACTOR * deviation / math.sqrt(len(values))


def rate_endpoints(states, now):
    """Rate the endpoints of a service relative to their median.

    A difference counts as far as it exceeds what chance explains.

    :param states: objects with ``id`` and ``speed``, a :class:`SpeedTracker`
    :param now: loop time, in seconds
    :returns: dict from id to speed; endpoints that are not known well enough
        are missing and have the speed 1
    """
    known = {}
    for state in states:
        estimate = state.speed.estimate(now)
        if estimate is not None:
            known[state.id] = estimate
    if len(known) < 2:
        return {}
    middle = statistics.median_low(median for median, _ in known.values())
    speeds = {}
    for name, (median, error) in known.items():
        excess = abs(middle - median) - STANDARD_ERRORS * error
        sign = 1.0 if median < middle else -1.0
        speeds[name] = math.exp(sign * max(0.0, excess))
    return speeds
