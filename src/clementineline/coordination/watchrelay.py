"""Changes of the store's objects from a process that watches them.

If every process watched the store, its calls would grow with the fleet. One
keeper of each availability zone watches the store; the other processes ask it
for changes, or one of another zone. A keeper answers only while it has recent
evidence that it is up to date, and a process without such an answer watches
the store itself.
"""

import asyncio
import collections

import msgspec

from clementineline.coordination import peers
from clementineline.coordination import rendezvous
from clementineline import errors
from clementineline.protocol import links
from clementineline.state import objects
from clementineline.state import questions

__all__ = [
    'ChangeHistory',
    'RelayIntervals',
    'WatchRelay',
    'answer_watch',
    'derive_relay_intervals',
]

# Shares of the time within which a change must be in force. A process whose
# source falls silent notices it after the wait and the grace, and asks the
# store then.
FRESH_APPLY_SHARE = 0.45
WAIT_APPLY_SHARE = 0.25
ANSWER_GRACE_S = 0.25
# Pause before a source that fell silent, or is not up to date, is asked again.
SILENT_BACKOFF_S = 4.0
OUTDATED_BACKOFF_S = 1.5
# Changes that a source keeps for processes that are behind; others get a full
# list.
HISTORY_PAGES_MAX = 64


class RelayIntervals(msgspec.Struct, frozen=True):
    """Times of relayed watches, in seconds.

    :param fresh_s: age of a source's last evidence from which it gives no
        answer
    :param wait_s: longest time that a relayed watch waits for a change
    """

    fresh_s: float
    wait_s: float


def derive_relay_intervals(apply_s):
    """Derive the times from the time within which a change must be in force.

    :param apply_s: that time, in seconds
    :returns: the :class:`RelayIntervals`
    """
    return RelayIntervals(
        FRESH_APPLY_SHARE * apply_s, WAIT_APPLY_SHARE * apply_s
    )


class ChangeHistory:
    """The objects of a kind, and which of them changed lately.

    :ivar version: version of the store up to which changes are included, None
        before the first list
    """

    __slots__ = ('_complete_from', '_objects', '_pages', '_updated', 'version')

    def __init__(self):
        self.version = None
        # Encoded objects by name.
        self._objects = {}
        # Pairs of a version and the names that changed up to it.
        self._pages = collections.deque()
        # Version from which all changes are in the pages.
        self._complete_from = None
        # Set, and replaced, at each change.
        self._updated = asyncio.Event()

    def replace(self, version, found):
        """Replace all objects by those of a full list.

        :param version: version of the list
        :param found: list of :class:`~objects.PlatformObject`
        """
        self._objects = {each.name: _encode(each) for each in found}
        self._pages.clear()
        self._complete_from = version
        self._set_version(version)

    def extend(self, version, found, removed):
        """Add changes.

        :param version: version up to which changes are included now
        :param found: list of changed :class:`~objects.PlatformObject`
        :param removed: names of removed objects
        """
        for each in found:
            self._objects[each.name] = _encode(each)
        for name in removed:
            self._objects.pop(name, None)
        names = [*(each.name for each in found), *removed]
        self._pages.append((version, names))
        if len(self._pages) > HISTORY_PAGES_MAX:
            self._complete_from, _ = self._pages.popleft()
        self._set_version(version)

    def _set_version(self, version):
        self.version = version
        updated, self._updated = self._updated, asyncio.Event()
        updated.set()

    async def wait(self):
        """Wait for the next change."""
        await self._updated.wait()

    def collect(self, since):
        """Return the changes after a version.

        Without changes of this kind, the version may lie before that of
        another process which has read a list.

        :param since: version that the other process has
        :returns: :class:`~questions.WatchedChanges`, None if there are none
        """
        if self.version is None or self.version <= since:
            return None
        if since < self._complete_from:
            return questions.WatchedChanges(
                self.version, list(self._objects.values()), [], True
            )
        names = set()
        for version, changed in reversed(self._pages):
            if version <= since:
                break
            names.update(changed)
        found = []
        removed = []
        for name in sorted(names):
            if name in self._objects:
                found.append(self._objects[name])
            else:
                removed.append(name)
        return questions.WatchedChanges(self.version, found, removed, False)


def _encode(found):
    return questions.WatchedObject(
        found.name,
        found.version,
        msgspec.Raw(msgspec.msgpack.encode(found.value)),
    )


def decode_objects(kind, found):
    """Decode the objects of :class:`~questions.WatchedChanges`."""
    decoded = []
    for each in found:
        value = msgspec.msgpack.decode(each.value)
        decoded.append(
            objects.PlatformObject(kind, each.name, each.version, value)
        )
    return decoded


async def answer_watch(watcher, since, wait_s):
    """Wait for changes of a kind that this process watches.

    :param watcher: the :class:`~objectwatcher.ObjectWatcher`
    :param since: version that the other process has
    :param wait_s: longest time to wait, in seconds
    :returns: :class:`~questions.WatchedChanges`, without any if there were
        none in this time; or :class:`~questions.NotWatching`
    """
    history = watcher.history
    fresh_s = watcher.relay_intervals.fresh_s
    deadline = asyncio.get_running_loop().time() + wait_s
    while True:
        age_s = watcher.measure_age()
        fresh_left_s = fresh_s - age_s
        if fresh_left_s <= 0:
            return questions.NotWatching(age_s)
        changes = history.collect(since)
        left_s = deadline - asyncio.get_running_loop().time()
        if changes is None and left_s <= 0:
            changes = questions.WatchedChanges(since, [], [], False)
        if changes is not None:
            return msgspec.structs.replace(
                changes,
                age_s=watcher.measure_age(),
                regained_s=watcher.measure_regained(),
            )
        try:
            async with asyncio.timeout(min(left_s, fresh_left_s)):
                await history.wait()
        except TimeoutError:
            continue


class WatchRelay:
    """Asks the processes that watch the store for changes.

    :param name: name of this process
    :param zone: its availability zone
    :param is_keeper: whether it may watch for others
    :param members: the :class:`~members.MemberRegistry`
    :param log: logger
    """

    __slots__ = (
        '_is_keeper',
        '_log',
        '_members',
        '_name',
        '_outdated_until',
        '_peers',
        '_ranked',
        '_ranked_members',
        '_sources',
        '_zone',
    )

    def __init__(self, name, zone, is_keeper, members, log):
        self._is_keeper = is_keeper
        self._log = log
        self._members = members
        self._name = name
        self._peers = peers.PeerClients(members, SILENT_BACKOFF_S)
        # Times before which a member that was not up to date is not asked.
        self._outdated_until = {}
        # Names of the sources in the order in which they are asked, and the
        # members that they were computed from.
        self._ranked = []
        self._ranked_members = None
        # The member that answered last, by kind; empty for the store.
        self._sources = {}
        self._zone = zone

    async def watch(self, kind, since, intervals):
        """Wait for changes of a kind.

        :param since: version that this process has
        :param intervals: the :class:`RelayIntervals`
        :returns: :class:`~questions.WatchedChanges`, or None if this process
            must ask the store itself
        """
        question = questions.WatchKind(kind, since, intervals.wait_s)
        reason = 'no process to ask'
        loop = asyncio.get_running_loop()
        for name in self._list_sources():
            if not self._may_ask(name):
                continue
            started = loop.time()
            try:
                answer = await self._peers.ask(
                    name, question, intervals.wait_s + ANSWER_GRACE_S
                )
            except errors.ConnectionLost as error:
                reason = str(error)
                if loop.time() - started > ANSWER_GRACE_S:
                    # Another wait would delay a change too much.
                    break
                continue
            if isinstance(answer, questions.WatchedChanges):
                self._note_source(kind, name, None)
                return answer
            reason = f'{name} is not up to date'
            backoff_s = links.jitter(OUTDATED_BACKOFF_S)
            self._outdated_until[name] = loop.time() + backoff_s
        self._note_source(kind, '', reason)
        return None

    def _may_ask(self, name):
        now = asyncio.get_running_loop().time()
        if now < self._outdated_until.get(name, 0.0):
            return False
        return self._peers.may_ask(name)

    def _list_sources(self):
        """Return the processes to ask, that of this zone first.

        :returns: names, none if this process watches for others itself
        """
        if self._ranked_members is not self._members.addresses:
            self._ranked_members = self._members.addresses
            self._ranked = self._rank_sources()
        return self._ranked

    def _rank_sources(self):
        names_by_zone = collections.defaultdict(list)
        for name in self._members.keepers:
            names_by_zone[self._members.zones.get(name, '')].append(name)
        if self._is_keeper:
            names_by_zone[self._zone].append(self._name)
        sources = {}
        for zone, names in names_by_zone.items():
            sources[zone] = rendezvous.rank(zone, names)[0]
        near = sources.pop(self._zone, None)
        if near == self._name:
            return []
        far = rendezvous.rank(self._name, sources.values())
        return far if near is None else [near, *far]

    def _note_source(self, kind, name, reason):
        if self._sources.get(kind, '') == name:
            return
        self._sources[kind] = name
        self._log.info(
            'source of changes', kind=kind, member=name or None, reason=reason
        )
