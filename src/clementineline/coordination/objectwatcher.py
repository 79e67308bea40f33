"""Watching all objects of a kind in the platform's store.

The objects are listed once and then kept current by watches. If the response
to a watch is lost, the watch looks like one that still waits. For kinds that
must be current, the known objects are therefore regularly compared with a
cheap, possibly stale list. If that list holds a change that the watch has not
reported, the kind is listed again in full.

Changes may come from another process that watches the kind, see
:mod:`~clementineline.coordination.watchrelay`.
"""

import asyncio
import dataclasses
import math

from clementineline.coordination import watchrelay
from clementineline import errors
from clementineline.protocol import links

__all__ = [
    'ObjectWatcher',
    'WatchIntervals',
    'derive_intervals',
    'derive_source_intervals',
]

# If the store drops its history, an open watch may miss changes and keep
# waiting, and stale lists are 6 s behind, so only the next watch reports the
# lost history. A watch is therefore shorter than the time for which a VM
# counts as disturbed.
WAIT_DISTURBED_SHARE = 0.83
WAIT_APPLY_SHARE = 1.25
# The response to a watch may be lost. A comparison must notice it and the
# change be in force while the VM counts as disturbed.
CHECK_DISTURBED_SHARE = 0.4
CHECK_APPLY_SHARE = 0.6
# A change that happens during the pause after another one is reported late by
# the pause, so it takes less than half of the time within which a change must
# be in force.
PAUSE_APPLY_SHARE = 0.4
# Processes that watch for others have recent evidence all the time, so their
# pauses and comparisons are shorter.
SOURCE_PAUSE_SHARE = 0.2
SOURCE_CHECK_SHARE = 0.15
# For a change that must be in force within 2 s, or 3 s after a disturbance.
WATCH_WAIT_S = 2.5
CHECK_INTERVAL_S = 1.2
RETRY_MIN_S = 0.25
RETRY_MAX_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class WatchIntervals:
    """Times of an :class:`ObjectWatcher`, in seconds.

    :param pause_s: delay after a change before the next watch
    :param wait_s: longest time that a watch waits
    :param check_interval_s: time between comparisons
    """

    pause_s: float
    wait_s: float
    check_interval_s: float


def derive_intervals(apply_s, disturbed_s):
    """Derive the times of a watch from the time that a change is allowed.

    Each process of the fleet watches, so the calls to the store grow with its
    size. They are as rare as the platform's bound permits, which is longer for
    a larger fleet.

    :param apply_s: time after a write within which a change must be in force,
        in seconds
    :param disturbed_s: time after a disturbance of the store or the VM for
        which a change may take longer, in seconds
    :returns: the :class:`WatchIntervals`
    """
    return WatchIntervals(
        PAUSE_APPLY_SHARE * apply_s,
        min(WAIT_APPLY_SHARE * apply_s, WAIT_DISTURBED_SHARE * disturbed_s),
        min(CHECK_APPLY_SHARE * apply_s, CHECK_DISTURBED_SHARE * disturbed_s),
    )


def derive_source_intervals(apply_s, disturbed_s):
    """Derive the times of a watch on whose state other processes rely.

    The parameters are those of :func:`derive_intervals`.

    :returns: the :class:`WatchIntervals`
    """
    return dataclasses.replace(
        derive_intervals(apply_s, disturbed_s),
        pause_s=SOURCE_PAUSE_SHARE * apply_s,
        check_interval_s=SOURCE_CHECK_SHARE * apply_s,
    )


class ObjectWatcher:
    """Reports all changes of the objects of a kind.

    The method :meth:`run` must run as a task.

    :param store: the client of the platform's store
    :param kind: kind to watch
    :param on_objects: called with ``(objects, removed, whole)``; ``whole``
        means that ``objects`` is the full list and all others are gone
    :param clock: a :class:`~clementineline.clocks.Clock`
    :param log: logger
    :param pause_s: delay after a change before the next watch, in seconds, so
        that one response holds several changes
    :param wait_s: longest time that a watch waits, in seconds
    :param check_interval_s: seconds between comparisons; 0 for none
    :param relay: the :class:`~watchrelay.WatchRelay` that is asked for changes
        before the store; None for the store alone
    :param relay_intervals: the :class:`~watchrelay.RelayIntervals`
    :param history: the :class:`~watchrelay.ChangeHistory` for processes that
        ask this one; None if none do
    """

    __slots__ = (
        '_check_interval_s',
        '_clock',
        '_kind',
        '_log',
        '_names',
        '_on_objects',
        '_pause_s',
        '_refresh_due',
        '_relay',
        '_store',
        '_verified_at',
        '_wait_s',
        'current',
        'history',
        'lost_at',
        'regained_at',
        'relay_intervals',
        'version',
    )

    def __init__(
        self,
        store,
        kind,
        on_objects,
        clock,
        log,
        pause_s=0.0,
        wait_s=WATCH_WAIT_S,
        check_interval_s=CHECK_INTERVAL_S,
        relay=None,
        relay_intervals=None,
        history=None,
    ):
        self._store = store
        self._kind = kind
        self._on_objects = on_objects
        self._clock = clock
        self._log = log
        self._pause_s = pause_s
        self._wait_s = wait_s
        self._check_interval_s = check_interval_s
        # Set when a process needs a newer state than the known one.
        self._refresh_due = asyncio.Event()
        self._relay = relay
        self.relay_intervals = relay_intervals
        self._names = set()
        # Time of the last evidence that all changes were reported.
        self._verified_at = -math.inf
        self.history = history
        self.version = None
        self.current = False
        self.lost_at = None
        self.regained_at = None

    def was_unreachable(self, within_s):
        """Return whether the store is or recently was unreachable.

        :param within_s: seconds that count as recent
        """
        if self.lost_at is not None:
            return True
        if self.regained_at is None:
            return False
        return self._clock.now() - self.regained_at < within_s

    def refresh(self):
        """List the objects in full before the next watch.

        A watch of the store ends early for it.
        """
        self._refresh_due.set()

    async def run(self):
        """Watch the kind until cancelled."""
        retry_s = RETRY_MIN_S
        while True:
            try:
                await self._step()
                retry_s = RETRY_MIN_S
            except errors.HistoryGone as error:
                self._log.info('history gone', kind=self._kind, e=str(error))
                self.version = None
            except errors.PlatformError as error:
                self._handle_loss(error)
                await asyncio.sleep(links.jitter(retry_s))
                retry_s = min(retry_s * 1.5, RETRY_MAX_S)

    def measure_age(self):
        """Return the age of the last evidence of being current, in seconds."""
        return self._clock.now() - self._verified_at

    def measure_regained(self):
        """Return the time since the store was regained, None if never lost."""
        if self.regained_at is None:
            return None
        return self._clock.now() - self.regained_at

    async def _step(self):
        if self.version is None or self._refresh_due.is_set():
            self._refresh_due.clear()
            await self._list()
            return
        if self._relay is not None:
            changes = await self._relay.watch(
                self._kind, self.version, self.relay_intervals
            )
            if changes is not None:
                self._apply_relayed(changes)
                return
        page = await self._watch()
        if page is None:
            self.version = None
            return
        self._handle_response(self._clock.now())
        # The store may not have reported all changes up to the version of an
        # response without changes, so the next watch starts from the same
        # version as this one.
        if page.objects or page.removed:
            self._apply_changes(page.version, page.objects, page.removed)
            if self._pause_s:
                await asyncio.sleep(self._pause_s)

    async def _list(self):
        started = self._clock.now()
        page = await self._store.list_objects(self._kind)
        self._handle_response(started)
        self._replace(page.version, page.objects)

    # The version is set last: if an object cannot be handled, the same changes
    # are read and reported again.

    def _replace(self, version, found):
        self._on_objects(found, [], True)
        if self.history is not None:
            self.history.replace(version, found)
        self._names = {each.name for each in found}
        self.version = version

    def _apply_changes(self, version, found, removed):
        version = max(self.version, version)
        self._on_objects(found, removed, False)
        if self.history is not None:
            self.history.extend(version, found, removed)
        self._names.update(each.name for each in found)
        self._names.difference_update(removed)
        self.version = version

    def _apply_relayed(self, changes):
        """Apply the changes that another process has reported.

        :param changes: :class:`~questions.WatchedChanges`
        """
        now = self._clock.now()
        self._handle_response(now - changes.age_s)
        if changes.regained_s is not None:
            # Entries may have lapsed while the other process had no store.
            regained_at = now - changes.regained_s
            self.regained_at = max(self.regained_at or 0.0, regained_at)
        found = watchrelay.decode_objects(self._kind, changes.objects)
        if changes.whole:
            self._replace(changes.version, found)
        elif found or changes.removed:
            self._apply_changes(changes.version, found, changes.removed)

    async def _watch(self):
        """Wait for changes; return None if the objects must be listed."""
        watch = asyncio.create_task(
            self._store.watch(self._kind, self.version, self._wait_s)
        )
        check = asyncio.create_task(self._wait_for_missed_change())
        refresh = asyncio.create_task(self._refresh_due.wait())
        try:
            done, _ = await asyncio.wait(
                (watch, check, refresh), return_when=asyncio.FIRST_COMPLETED
            )
            if watch in done:
                return watch.result()
            if refresh in done:
                return None
            self._log.warning(
                'watch missed changes', kind=self._kind, since=self.version
            )
            return None
        finally:
            watch.cancel()
            check.cancel()
            refresh.cancel()

    async def _wait_for_missed_change(self):
        """Return when a list shows a change that the watch has not reported.

        Never return if the comparisons are switched off.
        """
        while True:
            await asyncio.sleep(
                links.jitter(self._check_interval_s or self._wait_s)
            )
            if not self._check_interval_s:
                continue
            started = self._clock.now()
            try:
                page = await self._store.list_objects(self._kind, stale=True)
            except errors.PlatformError:
                # The watch itself handles an unreachable store.
                continue
            for found in page.objects:
                if found.version > self.version:
                    return
            if {found.name for found in page.objects} != self._names:
                return
            self._verified_at = started

    def _handle_response(self, verified_at):
        self.current = True
        self._verified_at = verified_at
        if self.lost_at is not None:
            self.lost_at = None
            self.regained_at = self._clock.now()
            self._log.info('watch regained', kind=self._kind)

    def _handle_loss(self, error):
        self.current = False
        if self.lost_at is None:
            self.lost_at = self._clock.now()
            self._log.warning('watch lost', kind=self._kind, reason=str(error))
