"""Counts of the requests of each organisation, by windows of Unix time.

Each gateway counts in a :class:`UsageMeter` and states its counts to the
keepers, which hold them in a :class:`UsageCollector`. A statement holds all
requests that were counted in a window so far, so it may be lost, repeated or
overtaken. Meant for 58 gateways, each with a thousand calls a second of some
tens of organisations.
"""

import asyncio
import time

from clementineline.protocol import verdicts
from clementineline.state import questions

__all__ = [
    'RETAIN_S',
    'UNANSWERED_COUNT_S',
    'BeginningNotice',
    'UsageCollector',
    'UsageMeter',
]

# A call without an answer counts after this time: endpoints refuse at once,
# and a window cannot wait for the slowest call. A window is complete at a
# gateway when it ended this long ago.
UNANSWERED_COUNT_S = 1.0
# Counts are kept this long after the start of their window. The report of a
# window is abandoned before.
RETAIN_S = 60.0
# A member that has stated nothing for this long is not waited for, unless it
# is still registered.
SILENT_MEMBER_S = 5.0


class BeginningNotice:
    """Notes once that an endpoint began an attempt.

    :param on_began: function that takes the organisation and the Unix time;
        None if the beginning is not counted
    :param organisation: name of the organisation; '' or None for none
    """

    __slots__ = ('_began_at', '_on_began', '_organisation', '_timer')

    def __init__(self, on_began, organisation):
        self._began_at = None
        self._on_began = on_began
        self._organisation = organisation
        self._timer = None

    def note_sent(self, count_after_s=None):
        """Note that the request was sent just now.

        :param count_after_s: time after which an attempt without an answer
            counts, in seconds; None for the end of the attempt
        """
        if self._on_began is None or not self._organisation:
            return
        self._began_at = time.time()
        if self._timer is not None:
            self._timer.cancel()
        if count_after_s is not None:
            self._timer = asyncio.get_running_loop().call_later(
                count_after_s, self._report
            )

    def note_first_event(self):
        """Note that the endpoint began a stream just now."""
        if self._began_at is not None:
            self._began_at = time.time()
            self._report()

    def end(self, verdict):
        """Note the end of the attempt.

        :param verdict: its verdict; None if it was cancelled, which tells
            nothing of whether the endpoint began it
        """
        if isinstance(verdict, verdicts.NotRun):
            self._began_at = None
        self._report()

    def _report(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        began_at, self._began_at = self._began_at, None
        if began_at is not None:
            self._on_began(self._organisation, began_at)


class UsageMeter:
    """Counts the requests of one process.

    :param window_s: length of a window, in seconds
    :param read_time_of_day: function that returns the Unix time, in seconds
    :ivar fixed_through: last window whose counts cannot change any more
    :ivar late: number of requests that began in a window which was fixed
    """

    __slots__ = (
        '_changed',
        '_counts',
        '_read_time_of_day',
        '_window_s',
        'fixed_through',
        'late',
    )

    def __init__(self, window_s, read_time_of_day=time.time):
        # Counts by organisation, by window; and the windows that changed.
        self._counts = {}
        self._changed = set()
        self._read_time_of_day = read_time_of_day
        self._window_s = window_s
        self.fixed_through = -1
        self.late = 0

    def count(self, organisation, began_at):
        """Count a request.

        :param organisation: its organisation; nothing is counted without one
        :param began_at: Unix time at which an endpoint began it, in seconds
        """
        if not organisation:
            return
        window = int(began_at // self._window_s)
        if window <= self.fixed_through:
            self.late += 1
            return
        counts = self._counts.setdefault(window, {})
        counts[organisation] = counts.get(organisation, 0) + 1
        self._changed.add(window)

    def get_complete_through(self):
        """Return the last window in which nothing more will be counted."""
        now = self._read_time_of_day()
        return int((now - UNANSWERED_COUNT_S) // self._window_s) - 1

    def take_changes(self):
        """Return the counts of the windows that changed since the last call.

        :returns: dict from window to the counts by organisation
        """
        changed, self._changed = self._changed, set()
        return {
            window: dict(self._counts[window])
            for window in changed
            if window in self._counts
        }

    def list_all(self):
        """Return the counts of all windows that are kept, by window."""
        return {
            window: dict(counts) for window, counts in self._counts.items()
        }

    def forget(self, fixed_through=-1):
        """Forget windows that are fixed or old.

        :param fixed_through: last window that is fixed, -1 if unknown
        """
        self.fixed_through = max(self.fixed_through, fixed_through)
        oldest = self._read_time_of_day() - RETAIN_S
        for window in list(self._counts):
            if (
                window <= self.fixed_through
                or window * self._window_s < oldest
            ):
                del self._counts[window]
                self._changed.discard(window)


class _Statement:
    """What an incarnation of a gateway has stated."""

    __slots__ = (
        'busy',
        'complete_through',
        'final',
        'heard_at',
        'windows',
    )

    def __init__(self):
        self.busy = {}
        self.complete_through = -1
        self.final = False
        self.heard_at = 0.0
        self.windows = {}


class UsageCollector:
    """Holds the counts that gateways state, and adds them up.

    :param window_s: length of a window, in seconds
    :param read_time_of_day: function that returns the Unix time, in seconds
    """

    __slots__ = ('_read_time_of_day', '_statements', '_window_s')

    def __init__(self, window_s, read_time_of_day=time.time):
        self._read_time_of_day = read_time_of_day
        # By member and incarnation.
        self._statements = {}
        self._window_s = window_s

    def add(self, stated, relayed=False):
        """Add what a gateway states.

        Counts only grow, so of two statements the larger number counts.

        :param stated: a :class:`~questions.StatedUsage`
        :param relayed: whether another keeper repeats it
        """
        key = (stated.member, stated.incarnation)
        known = self._statements.get(key)
        if known is None:
            known = self._statements[key] = _Statement()
        known.final = known.final or stated.final
        known.complete_through = max(
            known.complete_through, stated.complete_through
        )
        now = self._read_time_of_day()
        if relayed:
            # It may have ended since it stated this.
            known.heard_at = max(known.heard_at, now - SILENT_MEMBER_S)
        else:
            known.heard_at = now
            known.busy = stated.busy
        for window, counts in stated.windows.items():
            merged = known.windows.setdefault(window, {})
            for name, count in counts.items():
                merged[name] = max(count, merged.get(name, 0))

    def list_missing(self, window, registered):
        """Return the members whose counts of a window are not complete.

        :param registered: names of the gateways that are registered
        """
        now = self._read_time_of_day()
        latest = {}
        for (member, incarnation), known in self._statements.items():
            previous = latest.get(member)
            if previous is None or incarnation > previous[0]:
                latest[member] = (incarnation, known)
        missing = []
        for member in sorted({*registered, *latest}):
            if member not in latest:
                missing.append(member)
                continue
            known = latest[member][1]
            if known.final or known.complete_through >= window:
                continue
            if member in registered or now - known.heard_at < SILENT_MEMBER_S:
                missing.append(member)
        return missing

    def has_stopped(self, member):
        """Return whether the last start of a member has stated everything."""
        starts = [
            (incarnation, known.final)
            for (name, incarnation), known in self._statements.items()
            if name == member
        ]
        return max(starts, default=(0, False))[1]

    def sum_counts(self, window):
        """Return the counts of a window by organisation."""
        total = {}
        for known in self._statements.values():
            for name, count in known.windows.get(window, {}).items():
                total[name] = total.get(name, 0) + count
        return total

    def sum_busy(self):
        """Return the requests that run for all gateways, by service."""
        heard_after = self._read_time_of_day() - SILENT_MEMBER_S
        total = {}
        for known in self._statements.values():
            if known.final or known.heard_at < heard_after:
                continue
            for service, count in known.busy.items():
                total[service] = total.get(service, 0) + count
        return total

    def get_oldest_window(self):
        """Return the oldest window with a request, None if there is none."""
        windows = set()
        for known in self._statements.values():
            windows.update(known.windows)
        return min(windows, default=None)

    def list_statements(self):
        """Return all statements, for another keeper."""
        return [
            questions.StatedUsage(
                member,
                incarnation,
                known.complete_through,
                known.windows,
                known.final,
            )
            for (member, incarnation), known in self._statements.items()
        ]

    def forget(self, fixed_through=-1):
        """Forget windows that are fixed or old, and members without any.

        A member that has stopped stays registered for a minute, in which it
        is not waited for.

        :param fixed_through: last window that is fixed, -1 if unknown
        """
        oldest = self._read_time_of_day() - RETAIN_S
        for key, known in list(self._statements.items()):
            for window in list(known.windows):
                if window <= fixed_through or window * self._window_s < oldest:
                    del known.windows[window]
            if not known.windows and known.heard_at < oldest - RETAIN_S:
                del self._statements[key]
