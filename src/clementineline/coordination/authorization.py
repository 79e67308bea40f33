"""Which requests the keys of organisations allow.

A request on a route that is not public needs a key of an organisation, and so
does a call on a submission, unless it was accepted without a key. A key that
the known route table lacks may be in a newer one, so a request is refused for
good only after the table was read from the store once more. These reads are
shared by all requests that wait and are limited in rate. As long as a table
that allowed the request was in force moments ago, the refusal is temporary as
well, since other processes may still use that table. A process that has just
started, or has skipped a table, does not know all such tables, so its refusals
are temporary for that long.

The functions decide without I/O, in constant time for any number of keys.
"""

import asyncio
import dataclasses
import math

from clementineline import errors

__all__ = [
    'NO_ROUTE',
    'UNAUTHORISED',
    'Access',
    'Authorizer',
    'KeylessReads',
    'Standing',
    'TableReader',
    'choose_organisation',
    'judge_call',
    'may_repeat',
    'may_use',
    'name_reader',
]

UNAUTHORISED = 401
UNAVAILABLE = 503
NOT_FOUND = 404
NO_ROUTE = 'no route'
OTHER_ORGANISATION = 'submission of another organisation'
# Retry-After of requests that are refused for the time being.
RETRY_AFTER_S = 0.2
# Time between two reads of the table for unknown keys, as a share of the time
# within which a change must be in force. Unknown keys are rare, unless a
# caller is set up wrongly; its requests then cost each gateway one read in one
# to two seconds.
READ_INTERVAL_APPLY_SHARE = 0.5
# Longest wait for the start of such a read. Callers of live calls wait for
# some 800 ms.
READ_WAIT_MAX_S = 0.4
# A refused request is told to return this share of the wait before the next
# read. At the time of the read it would come just after one that others have
# caused, and be refused again.
RETRY_READ_SHARE = 0.5
# Requests that wait hold their bodies. Others are told to retry.
WAITING_MAX = 64
# A replaced table counts as in force for the time within which a change must
# be in force, and this time for the acknowledgement of the write. A process
# knows of all such tables that long after its start.
REPLACED_MARGIN_S = 1.0
REPLACED_TABLES_MAX = 8
# Reads of the ledger for callers without a valid key, in each gateway. They
# are needed for submissions that came without one, while nobody leads. A few
# trainers read some times a second, through all gateways.
KEYLESS_READS_PER_S = 5.0
KEYLESS_READS_BURST = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """The decision on a request.

    :param status: HTTP status of the refusal, 0 if the request is allowed
    :param reason: why it is refused
    :param organisation: name of the organisation that the request runs for,
        '' for none; None if organisations are not in force
    :param route: the :class:`~routes.Route` of a call, or None
    :param routes_version: version of the table that holds the route
    :param retry_after_s: time after which the caller may retry, in seconds
    """

    status: int = 0
    reason: str = ''
    organisation: str | None = None
    route: object = None
    routes_version: int = 0
    retry_after_s: float = RETRY_AFTER_S

    @property
    def depends_on_key(self):
        """Whether it is a final refusal that another table might not give."""
        return self.status == UNAUTHORISED or (
            self.reason == OTHER_ORGANISATION
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """What is known of the route table in force.

    :param current: whether the last watch of the store was answered
    :param confirmed: whether valid keys may be used; False if the process is
        cut off and must not trust the keys that it knows
    """

    current: bool
    confirmed: bool = True


def _refuse_unknown(standing, reason):
    if standing.current and standing.confirmed:
        return Access(UNAUTHORISED, reason)
    return Access(UNAVAILABLE, 'no current configuration')


def judge_call(table, facts, standing):
    """Decide whether a call may run.

    :param table: the :class:`~routes.RouteTable`
    :param facts: the call's :class:`~dialect.CallFacts`
    :param standing: the :class:`Standing` of the table
    :returns: an :class:`Access`
    """
    route = table.match(facts.host, facts.path)
    if route is None:
        status = NOT_FOUND if standing.current else UNAVAILABLE
        return Access(status, NO_ROUTE)
    if route.public:
        # It needs no key, so a key that cannot be confirmed does no harm.
        standing = dataclasses.replace(standing, confirmed=True)
    reader = name_reader(table, facts.key, standing)
    if reader == '' and not route.public:
        return _refuse_unknown(standing, 'no valid key')
    return Access(
        organisation=reader, route=route, routes_version=table.version
    )


def name_reader(table, key, standing):
    """Return the name of the organisation that holds a key.

    :param key: as in :class:`~dialect.CallFacts`
    :returns: the name; '' if the key is not valid, None if organisations are
        not in force
    """
    if table.organisations is None:
        return None
    if not standing.confirmed:
        return ''
    organisation = table.organisations.find(key)
    return organisation.name if organisation is not None else ''


def may_use(recorded, reader):
    """Return whether a submission may be read and ended.

    :param recorded: ``organisation`` of the :class:`~submissions.Submission`
    :param reader: as :func:`name_reader` returns it
    """
    if reader is None or recorded == '':
        return True
    if recorded is None:
        return reader != ''
    return recorded == reader


def may_repeat(recorded, sender):
    """Return whether a submission of an id that is taken counts as a repeat.

    The same submission may have been recorded before organisations were in
    force, or by a process that did not know its key yet.

    :param recorded: ``organisation`` of the recorded submission
    :param sender: that of the new one
    """
    return sender is None or recorded in (None, '', sender)


def choose_organisation(submission, table):
    """Return the organisation that a submission's items run for.

    :param submission: the :class:`~submissions.Submission`
    :param table: the :class:`~routes.RouteTable` in force, or None
    :returns: as in :class:`Access`
    """
    if submission.organisation is not None:
        return submission.organisation
    if table is not None and table.organisations is not None:
        return ''
    return None


class KeylessReads:
    """Limits the reads of the ledger for callers without a valid key.

    Anybody may send such calls, and each of them may name a submission that
    the leader does not know.
    """

    __slots__ = ('_allowed', '_updated_at')

    def __init__(self):
        self._allowed = KEYLESS_READS_BURST
        self._updated_at = 0.0

    def take(self, now):
        """Return whether a read is allowed, and count it.

        :param now: monotonic time, in seconds
        """
        earned = (now - self._updated_at) * KEYLESS_READS_PER_S
        self._allowed = min(KEYLESS_READS_BURST, self._allowed + earned)
        self._updated_at = now
        if self._allowed < 1.0:
            return False
        self._allowed -= 1.0
        return True


class TableReader:
    """Reads the route table for requests whose key is unknown.

    :param read: coroutine function that reads the table and applies it;
        raises :class:`errors.PlatformError`
    :param interval_s: shortest time between the starts of two reads, in
        seconds
    """

    __slots__ = ('_interval_s', '_next', '_read', '_started_at', '_waiting')

    def __init__(self, read, interval_s):
        self._read = read
        self._interval_s = interval_s
        # The read that has not started yet, or None.
        self._next = None
        self._started_at = None
        self._waiting = 0

    async def confirm(self):
        """Wait for a read that starts after this call.

        :returns: ``(confirmed, retry_after_s)``: whether there was one, and
            when to try again otherwise
        """
        now = asyncio.get_running_loop().time()
        starts_at = now
        if self._started_at is not None:
            starts_at = max(now, self._started_at + self._interval_s)
        delay_s = starts_at - now
        if delay_s > READ_WAIT_MAX_S or self._waiting >= WAITING_MAX:
            early_s = RETRY_READ_SHARE * READ_WAIT_MAX_S
            return False, max(RETRY_AFTER_S, delay_s - early_s)
        if self._next is None:
            self._next = asyncio.create_task(self._read_after(delay_s))
        self._waiting += 1
        try:
            # A caller that leaves must not end the read of the others.
            return await asyncio.shield(self._next), RETRY_AFTER_S
        finally:
            self._waiting -= 1

    async def _read_after(self, delay_s):
        await asyncio.sleep(delay_s)
        # Requests that arrive from now on need a later read.
        self._next = None
        self._started_at = asyncio.get_running_loop().time()
        try:
            await self._read()
        except errors.PlatformError:
            return False
        return True


class Authorizer:
    """Decides on the requests of a gateway.

    :param watcher: the :class:`~objectwatcher.ObjectWatcher` of the table
    :param read: as for :class:`TableReader`
    :param settings: the :class:`~settings.AccessSettings`
    :param apply_s: time within which a change must be in force, in seconds
    :param clock: a :class:`~clementineline.clocks.Clock`
    """

    __slots__ = (
        '_apply_s',
        '_clock',
        '_reader',
        '_replaced',
        '_settings',
        '_settled_at',
        '_table',
        '_watcher',
    )

    def __init__(self, watcher, read, settings, apply_s, clock):
        self._apply_s = apply_s
        self._clock = clock
        self._reader = TableReader(read, READ_INTERVAL_APPLY_SHARE * apply_s)
        # Pairs of a replaced table and the time until which it counts.
        self._replaced = []
        self._settings = settings
        # Time from which a refusal may be final, as the process knows all
        # tables that others may still use.
        self._settled_at = math.inf
        self._table = None
        self._watcher = watcher

    def replace_table(self, table):
        """Use a new route table, which the process has adopted."""
        now = self._clock.now()
        until = now + self._apply_s + REPLACED_MARGIN_S
        kept = [pair for pair in self._replaced if now < pair[1]]
        if self._table is None or table.version > self._table.version + 1:
            # Other processes may use tables that this one has not seen.
            self._settled_at = until
        if self._table is not None:
            kept.append((self._table, until))
        for _, dropped_until in kept[:-REPLACED_TABLES_MAX]:
            self._settled_at = max(self._settled_at, dropped_until)
        self._replaced = kept[-REPLACED_TABLES_MAX:]
        self._table = table

    def name_reader(self, key):
        """Return the organisation of a call on a submission.

        :returns: as :func:`name_reader`; '' while keys may not be used
        """
        return name_reader(self._table, key, self._get_standing())

    async def authorize_call(self, facts):
        """Decide on a call whose body has been read.

        :param facts: the call's :class:`~dialect.CallFacts`
        :returns: an :class:`Access`, which holds the route if it is allowed
        """

        def judge(table, standing):
            return judge_call(table, facts, standing)

        return await self._decide(judge)

    async def authorize_reader(self, key, denied):
        """Decide on a call on a submission that its reader may not use.

        :param denied: organisation of the key that may not use it, as
            :meth:`name_reader` returned it; '' without a valid key
        :returns: an :class:`Access`; allowed if the key counts for another
            organisation than ``denied``, which must be compared then
        """

        def judge(table, standing):
            reader = name_reader(table, key, standing)
            if reader == '':
                return _refuse_unknown(standing, 'no valid key')
            if reader != denied:
                return Access(organisation=reader)
            if standing.current:
                return Access(NOT_FOUND, OTHER_ORGANISATION)
            return Access(UNAVAILABLE, 'no current configuration')

        return await self._decide(judge)

    async def _decide(self, judge):
        """Decide, after another read of the table if a refusal needs it.

        :param judge: function from a table and its :class:`Standing` to an
            :class:`Access`
        """
        access = self._judge(judge)
        if not access.depends_on_key:
            return access
        confirmed, retry_after_s = await self._reader.confirm()
        if not confirmed:
            return Access(
                UNAVAILABLE,
                'key not looked up yet',
                retry_after_s=retry_after_s,
            )
        return self._judge(judge)

    def _judge(self, judge):
        access = judge(self._table, self._get_standing())
        if not access.depends_on_key:
            return access
        now = self._clock.now()
        if now < self._settled_at:
            return Access(UNAVAILABLE, 'earlier keys not known')
        for table, until in self._replaced:
            if now < until and not judge(table, Standing(True)).status:
                return Access(UNAVAILABLE, 'key changed moments ago')
        return access

    def _get_standing(self):
        confirmed = (
            not self._settings.fail_closed
            or self._watcher.measure_age() <= self._settings.revoke_s
        )
        return Standing(self._watcher.current, confirmed)
