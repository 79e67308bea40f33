"""Reports of usage, which the leader sends.

The counts of a window are fixed in the platform's store before they are sent,
so that all reports of a window have the same counts, from any process.
"""

import asyncio
import math
import time

from clementineline.coordination import peers
from clementineline import errors
from clementineline.protocol import links
from clementineline.state import dialect as dialects
from clementineline.state import questions

__all__ = ['FixedUsage', 'UsageReporter']

USAGE_KIND = 'usage'
FIXED_NAME = 'fixed'
# Windows in the object; more if they may still have to be sent.
FIXED_WINDOWS_MIN = 12
# Shares of the time within which a window must be reported: when members that
# have not stated their counts are asked, and when the window is fixed without
# them.
ASK_SHARE = 0.4
FIX_SHARE = 0.7
# A window is abandoned at this multiple of that time after its end.
ABANDON_FACTOR = 3
CHECK_INTERVAL_S = 0.1
STORE_RETRY_S = 0.3
SEND_RETRY_MIN_S = 0.2
SEND_RETRY_MAX_S = 2.0
ANSWER_TIMEOUT_S = 0.8
# Time between two questions to a member.
ASK_INTERVAL_S = 0.5


def _decode_windows(value):
    """Return the windows in the value of the object, which others may write.

    :returns: dict from window to the counts by organisation
    """
    windows = {}
    stored = value.get('windows')
    if not isinstance(stored, dict):
        return windows
    for window, counts in stored.items():
        if not window.isdecimal() or not isinstance(counts, dict):
            continue
        if all(isinstance(count, int) for count in counts.values()):
            windows[int(window)] = counts
    return windows


class FixedUsage:
    """The object that holds the counts of the last windows.

    :param store: the client of the platform's store
    :param kept: number of windows that the object holds
    :ivar windows: dict from window to its counts, as they are in the store
    :ivar sent_through: last window that is known to have been reported, with
        all before it
    """

    __slots__ = (
        '_kept',
        '_store',
        '_version',
        'sent_through',
        'windows',
    )

    def __init__(self, store, kept):
        self._kept = kept
        self._store = store
        # Version of the object, 0 if it does not exist, None if unknown.
        self._version = None
        self.sent_through = -1
        self.windows = {}

    @property
    def through(self):
        """The last window that is fixed, -1 if there is none."""
        return max(self.windows, default=-1)

    @property
    def known(self):
        """Whether the object was read since the last write without answer."""
        return self._version is not None

    async def read(self):
        """Read the object.

        :raises errors.PlatformError: if the store cannot be read
        """
        found = await self._store.read(USAGE_KIND, FIXED_NAME)
        if found is None:
            self._version = 0
            return
        # A window that another leader has fixed in between replaces nothing:
        # both come from the same object.
        self.windows.update(_decode_windows(found.value))
        sent_through = found.value.get('sent_through')
        if isinstance(sent_through, int):
            self.sent_through = max(self.sent_through, sent_through)
        self._version = found.version

    async def fix(self, added):
        """Fix the counts of windows that are not fixed yet.

        :param added: dict from window to its counts
        :raises errors.PlatformError: if the store does not accept the write,
            or may have done so; the object must be read then
        """
        windows = {**added, **self.windows}
        for window in sorted(windows)[: -self._kept]:
            del windows[window]
        value = {
            'windows': {str(key): windows[key] for key in sorted(windows)},
            'sent_through': self.sent_through,
        }
        expected, self._version = self._version, None
        version = await self._store.write(
            USAGE_KIND, FIXED_NAME, value, expected
        )
        self._version = version
        self.windows = windows


class UsageReporter:
    """Collects, fixes and reports the windows of one term of the lease.

    :param store: the client of the platform's store
    :param collector: the :class:`~usage.UsageCollector` of the process
    :param members: the :class:`~members.MemberRegistry`
    :param term: the :class:`~lease.Term`
    :param sender: the :class:`~duties.DutySender`
    :param settings: the :class:`~settings.DutySettings`
    :param dialect: the platform's dialect
    :param log: logger
    :param read_time_of_day: function that returns the Unix time, in seconds
    :ivar on_window: called with what became of a window: ``reported``,
        ``late`` or ``missing``, and the number of windows
    """

    __slots__ = (
        '_answered',
        '_asked_at',
        '_began_at',
        '_collector',
        '_dialect',
        '_fixed',
        '_gathered',
        '_log',
        '_members',
        '_news',
        '_next_fixed',
        '_next_sent',
        '_peers',
        '_read_time_of_day',
        '_sender',
        '_settings',
        '_term',
        'on_window',
    )

    def __init__(
        self,
        store,
        collector,
        members,
        term,
        sender,
        settings,
        dialect,
        log,
        read_time_of_day=time.time,
    ):
        # Members that have told all their counts in this term.
        self._answered = set()
        # Loop times of the last questions, by member.
        self._asked_at = {}
        self._began_at = read_time_of_day()
        self._collector = collector
        self._dialect = dialect
        abandon_s = ABANDON_FACTOR * settings.late_s
        kept = math.ceil(abandon_s / settings.window_s) + 1
        self._fixed = FixedUsage(store, max(FIXED_WINDOWS_MIN, kept))
        self._gathered = False
        self._log = log
        self._members = members
        # Set when windows were fixed.
        self._news = asyncio.Event()
        # The windows to fix and to send next, None until they are known.
        self._next_fixed = None
        self._next_sent = None
        self._peers = peers.PeerClients(members, ASK_INTERVAL_S)
        self._read_time_of_day = read_time_of_day
        self._sender = sender
        self._settings = settings
        self._term = term
        self.on_window = lambda outcome, count: None

    @property
    def fixed_through(self):
        """The last window whose counts cannot change any more."""
        if self._next_fixed is None:
            return -1
        return self._next_fixed - 1

    def _get_end(self, window):
        return (window + 1) * self._settings.window_s

    def _find_oldest_in_time(self, limit_s):
        """Return the oldest window that ended less than a time ago."""
        now = self._read_time_of_day()
        return int((now - limit_s) // self._settings.window_s)

    async def run(self):
        """Collect and fix windows until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self._term.holds():
                continue
            try:
                await self._fix_due_windows()
            except errors.PlatformError as error:
                self._log.info('usage not fixed', reason=str(error))
                await asyncio.sleep(links.jitter(STORE_RETRY_S))

    async def _fix_due_windows(self):
        if not self._gathered:
            await self._ask_members(list(self._members.addresses))
            self._gathered = self._members.listed.is_set()
        if not self._fixed.known:
            await self._fixed.read()
            self._plan()
        added = {}
        now = self._read_time_of_day()
        window = self._next_fixed
        while now >= self._get_end(window):
            if not await self._is_collected(window):
                break
            added[window] = self._collector.sum_counts(window)
            window += 1
        if not added or not self._term.holds():
            return
        await self._fixed.fix(added)
        self._next_fixed = window
        self._collector.forget(self.fixed_through)
        self._log.info(
            'usage fixed',
            windows={key: sum(each.values()) for key, each in added.items()},
        )
        self._news.set()

    def _plan(self):
        """Find the windows to fix and to send from what is fixed already."""
        oldest = self._find_oldest_in_time(
            ABANDON_FACTOR * self._settings.late_s
        )
        if self._fixed.windows:
            following = max(self._fixed.through + 1, self._next_fixed or 0)
            if following < oldest:
                self._abandon(following, oldest - 1)
            self._next_fixed = max(following, oldest)
        elif self._next_fixed is None:
            # Nothing was ever reported: windows that can be reported in time,
            # and those with requests.
            first = self._find_oldest_in_time(self._settings.late_s)
            counted = self._collector.get_oldest_window()
            if counted is not None:
                first = min(first, counted)
            self._next_fixed = max(oldest, first)
        if self._next_sent is None:
            unsent = [
                window
                for window in self._fixed.windows
                if window > self._fixed.sent_through and window >= oldest
            ]
            self._next_sent = min([self._next_fixed, *unsent])
        if self._next_sent < self._next_fixed:
            self._news.set()

    def _abandon(self, first, last):
        self.on_window('missing', last - first + 1)
        self._log.error('windows without a report', first=first, last=last)

    async def _is_collected(self, window):
        """Return whether a window may be fixed.

        Members that have not stated its counts are asked for them, and left
        out in the end.
        """
        age_s = self._read_time_of_day() - self._get_end(window)
        late_s = self._settings.late_s
        if not self._members.listed.is_set() and age_s < FIX_SHARE * late_s:
            return False
        await self._ask_members(self._list_unanswered(window))
        missing = self._list_missing(window)
        if not missing and self._list_gateways():
            return True
        if age_s < ASK_SHARE * late_s:
            return False
        await self._ask_members(missing)
        missing = self._list_missing(window)
        if not missing:
            return True
        if age_s < FIX_SHARE * late_s:
            return False
        self._log.warning(
            'usage of members missing', window=window, members=missing
        )
        return True

    def _list_gateways(self):
        return set(self._members.addresses) - self._members.keepers

    def _list_missing(self, window):
        missing = self._collector.list_missing(window, self._list_gateways())
        return sorted({*missing, *self._list_unanswered(window)})

    def _list_unanswered(self, window):
        """Return the gateways that may have more counts of a window.

        A gateway states only changes to a keeper that was told the rest. After
        a restart of this process under the same name, it has lost the rest.
        """
        if window * self._settings.window_s > self._began_at:
            return []
        return [
            name
            for name in self._list_gateways() - self._answered
            if not self._collector.has_stopped(name)
        ]

    async def _ask_members(self, names):
        """Ask members for the counts that they hold."""
        now = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            for name in names:
                asked_at = self._asked_at.get(name, -math.inf)
                if now - asked_at < ASK_INTERVAL_S:
                    continue
                if self._peers.may_ask(name):
                    self._asked_at[name] = now
                    group.create_task(self._ask_member(name))

    async def _ask_member(self, name):
        try:
            answer = await self._peers.ask(
                name, questions.ReadUsage(), ANSWER_TIMEOUT_S
            )
        except errors.ConnectionLost as error:
            self._log.info('usage not read', member=name, reason=str(error))
            return
        if not isinstance(answer, questions.UsageAnswer):
            return
        self._answered.add(name)
        for stated in answer.usage:
            self._collector.add(stated, relayed=stated.member != name)

    async def run_sends(self):
        """Send the windows that are fixed, in order, until cancelled."""
        while True:
            await self._news.wait()
            self._news.clear()
            while self._next_sent < self._next_fixed:
                await self._send(self._next_sent)
                self._fixed.sent_through = self._next_sent
                self._next_sent += 1

    async def _send(self, window):
        """Send a window until it is accepted or too old."""
        counts = self._fixed.windows.get(window)
        retry_s = SEND_RETRY_MIN_S
        abandoned_at = (
            self._get_end(window) + ABANDON_FACTOR * self._settings.late_s
        )
        while counts is not None and self._read_time_of_day() < abandoned_at:
            outcome = await self._sender.call(
                'usage', self._dialect.build_usage_call, window, counts
            )
            if outcome is dialects.DutyOutcome.ACCEPTED:
                age_s = self._read_time_of_day() - self._get_end(window)
                late = age_s > self._settings.late_s
                self.on_window('late' if late else 'reported', 1)
                self._log.info(
                    'window reported',
                    window=window,
                    requests=sum(counts.values()),
                    age_s=round(age_s, 2),
                )
                return
            await asyncio.sleep(links.jitter(retry_s))
            retry_s = min(2 * retry_s, SEND_RETRY_MAX_S)
        self._abandon(window, window)
