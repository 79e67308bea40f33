"""The duties of the leader towards the platform, over its terms."""

import asyncio
import math
import time

from clementineline.coordination import capacityorders
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
    """Fulfils the duties in the terms, and holds counts at all times.

    :param settings: a :class:`~settings.KeeperSettings` with duties
    :param store: the client of the platform's store
    :param members: the :class:`~members.MemberRegistry`
    :param directory: the :class:`~directory.Directory`
    :param get_routes: function that returns the route table in force
    :param dialect: the platform's dialect
    :param metrics: the process's metrics, which count calls and windows
    :param log: logger
    """

    __slots__ = (
        '_clock_logged_at',
        '_collector',
        '_dialect',
        '_directory',
        '_earlier_call_at',
        '_get_routes',
        '_log',
        '_members',
        '_metrics',
        '_name',
        '_orderer',
        '_reporter',
        '_sender',
        '_settings',
        '_spacer',
        '_store',
        '_zone',
    )

    def __init__(
        self,
        settings,
        store,
        members,
        directory,
        get_routes,
        dialect,
        metrics,
        log,
    ):
        self._settings = settings.duties
        self._clock_logged_at = {}
        self._collector = usage.UsageCollector(self._settings.window_s)
        self._dialect = dialect
        self._directory = directory
        # Loop time of the last call of the terms that have ended.
        self._earlier_call_at = -math.inf
        self._get_routes = get_routes
        self._log = log
        self._members = members
        self._metrics = metrics
        self._name = settings.name
        # These are None while another process leads.
        self._orderer = None
        self._reporter = None
        self._sender = None
        self._spacer = duties.CallSpacer(
            self._settings.calls_per_s * duties.RATE_SHARE
        )
        self._store = store
        self._zone = settings.zone

    @property
    def call_age_s(self):
        """Time since the last call of this process, in seconds."""
        now = asyncio.get_running_loop().time()
        age_s = now - self._earlier_call_at
        if self._sender is not None:
            age_s = min(age_s, self._sender.call_age_s)
        return age_s

    def begin(self, term, quiet_s, measure_demand):
        """Begin a term; :meth:`list_tasks` has what must run in it.

        :param term: the :class:`~lease.Term`
        :param quiet_s: time before the first call, in seconds
        :param measure_demand: function from a model to the
            :class:`~placement.ModelDemand` of open submissions
        """
        # A call of an earlier term has a lower token and may still arrive.
        arrives_s = duties.UNANSWERED_CALL_S - self.call_age_s
        self._sender = duties.DutySender(
            self._name,
            term,
            max(quiet_s, arrives_s),
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
        if self._settings.scaling:
            self._orderer = capacityorders.CapacityOrderer(
                self._zone,
                self._directory,
                self._members,
                self._get_routes,
                self._collector.sum_busy,
                measure_demand,
                term,
                self._sender,
                self._dialect,
                self._log,
            )
            self._orderer.on_desired = self._set_desired

    def list_tasks(self):
        """Return the coroutine functions that run during the term."""
        tasks = []
        if self._reporter is not None:
            tasks += [self._reporter.run, self._reporter.run_sends]
        if self._orderer is not None:
            tasks.append(self._orderer.run)
        return tasks

    def note_run(self, took_s):
        """Note the duration of an item's run, in seconds."""
        if self._orderer is not None:
            self._orderer.note_run(took_s)

    def end(self):
        """End the term."""
        if self._sender is not None and self._sender.last_call_at is not None:
            self._earlier_call_at = self._sender.last_call_at
        self._orderer = None
        self._reporter = None
        self._sender = None

    def _count_call(self, duty, outcome):
        self._metrics.count(
            'duty_calls_total', duty=duty, outcome=outcome.value
        )

    def _count_windows(self, outcome, count):
        self._metrics.count('usage_windows_total', count, outcome=outcome)

    def _set_desired(self, service, zone, desired):
        self._metrics.set(
            'desired_endpoints', desired, service=service, zone=zone
        )

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
