"""The duties of the leader towards the platform, over its terms."""

import math
import time

from clementineline.coordination import duties
from clementineline.coordination import usage
from clementineline.coordination import usagereports
from clementineline.state import questions

__all__ = ['DutyLeader']

# Difference between the times of day of a gateway and the leader from which
# requests may be counted in the wrong window.
CLOCK_DIFFERENCE_S = 0.5
CLOCK_LOG_INTERVAL_S = 60.0


class DutyLeader:
    """Reports usage while the process leads, and holds counts at all times.

    :param name: name of this VM, as lease holder
    :param settings: the :class:`~settings.DutySettings`
    :param store: the client of the platform's store
    :param members: the :class:`~members.MemberRegistry`
    :param dialect: the platform's dialect
    :param metrics: the process's metrics, which count calls and windows
    :param log: logger
    """

    __slots__ = (
        '_clock_logged_at',
        '_collector',
        '_dialect',
        '_log',
        '_members',
        '_metrics',
        '_name',
        '_reporter',
        '_sender',
        '_settings',
        '_spacer',
        '_store',
    )

    def __init__(self, name, settings, store, members, dialect, metrics, log):
        self._clock_logged_at = {}
        self._collector = usage.UsageCollector(settings.window_s)
        self._dialect = dialect
        self._log = log
        self._members = members
        self._metrics = metrics
        self._name = name
        # Both are None while another process leads.
        self._reporter = None
        self._sender = None
        self._settings = settings
        self._spacer = duties.CallSpacer(
            settings.calls_per_s * duties.RATE_SHARE
        )
        self._store = store

    @property
    def call_age_s(self):
        """Time since the last call of this term, in seconds."""
        return self._sender.call_age_s if self._sender else math.inf

    def begin(self, term, quiet_s):
        """Begin a term; :meth:`list_tasks` has what must run in it.

        :param term: the :class:`~lease.Term`
        :param quiet_s: time before the first call, in seconds
        """
        self._sender = duties.DutySender(
            self._name,
            term,
            quiet_s,
            self._settings,
            self._spacer,
            self._dialect,
            self._log,
        )
        self._sender.on_outcome = self._count_call
        if self._settings.usage:
            self._reporter = usagereports.UsageReporter(
                self._store,
                self._collector,
                self._members,
                term,
                self._sender,
                self._settings,
                self._dialect,
                self._log,
            )
            self._reporter.on_window = self._count_windows

    def list_tasks(self):
        """Return the coroutine functions that run during the term."""
        tasks = []
        if self._reporter is not None:
            tasks += [self._reporter.run, self._reporter.run_sends]
        return tasks

    def end(self):
        """End the term."""
        self._reporter = None
        self._sender = None

    def _count_call(self, duty, outcome):
        self._metrics.count(
            'duty_calls_total', duty=duty, outcome=outcome.value
        )

    def _count_windows(self, outcome, count):
        self._metrics.count('usage_windows_total', count, outcome=outcome)

    def answer(self, question, leads, leader):
        """Answer a question about usage.

        :param leads: whether this process leads
        :param leader: name of the leader that this process knows
        """
        if isinstance(question, questions.ReadUsage):
            return questions.UsageAnswer(self._collector.list_statements())
        self._collector.add(question.usage)
        self._collector.forget()
        if not leads or self._sender is None:
            return questions.NotLeading(leader)
        self._check_clock(question.usage)
        if self._reporter is None:
            return questions.UsageKept(-1)
        return questions.UsageKept(self._reporter.fixed_through)

    def _check_clock(self, stated):
        """Log a gateway whose time of day differs from the one here."""
        now = time.time()
        difference_s = stated.time_of_day - now
        if abs(difference_s) < CLOCK_DIFFERENCE_S:
            return
        logged_at = self._clock_logged_at.get(stated.member, -math.inf)
        if now - logged_at > CLOCK_LOG_INTERVAL_S:
            self._clock_logged_at[stated.member] = now
            self._log.warning(
                'clock of a gateway differs',
                member=stated.member,
                difference_s=round(difference_s, 2),
            )
