"""Following a kind of the platform's store: a list, then its changes.

A watch whose answer is lost says nothing, and looks like one that waits. A
kind that has to be current is therefore compared with a cheap, possibly stale
list now and then; what that list has and the watch did not tell makes the
follower list the kind anew.
"""

import asyncio

from clementineline import errors
from clementineline.protocol import links

__all__ = ['ObjectWatcher']

# A store that drops its history may leave a watch waiting that has missed
# changes, while stale lists are six seconds behind: only the next watch hears
# that the history is gone. A manifest must be in force within 2 s of its
# acknowledgement or 3 s of the store's trouble, so watches are short.
WATCH_WAIT_S = 2.5
# A missed change has to be in force before the VM counts as undisturbed again,
# three seconds after the loss.
CHECK_INTERVAL_S = 1.2
RETRY_S = 0.25
RETRY_MAX_S = 1.0


class ObjectWatcher:
    """Keeps a copy of a kind up to date; :meth:`run` is its task.

    :param store: the client of the platform's store
    :param kind: kind to follow
    :param on_objects: called with ``(objects, removed, whole)``; ``whole``
        means that objects which are not among them are gone
    :param clock: a :class:`~clementineline.clocks.Clock`
    :param log: logger
    :param pause_s: wait after a change, so that several come in one answer
    :param wait_s: longest time that a watch waits, in seconds
    :param check_interval_s: seconds between comparisons; 0 for none
    """

    __slots__ = (
        '_check_interval_s',
        '_clock',
        '_kind',
        '_log',
        '_names',
        '_on_objects',
        '_pause_s',
        '_store',
        '_wait_s',
        'current',
        'lost_at',
        'regained_at',
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
    ):
        self._store = store
        self._kind = kind
        self._on_objects = on_objects
        self._clock = clock
        self._log = log
        self._pause_s = pause_s
        self._wait_s = wait_s
        self._check_interval_s = check_interval_s
        self._names = set()
        self.version = None
        self.current = False
        self.lost_at = None
        self.regained_at = None

    def was_unreachable(self, within_s):
        """Return whether the store was out of reach a short while ago."""
        if self.lost_at is not None:
            return True
        if self.regained_at is None:
            return False
        return self._clock.now() - self.regained_at < within_s

    async def run(self):
        """Follow the kind until cancelled."""
        retry_s = RETRY_S
        while True:
            try:
                await self._step()
                retry_s = RETRY_S
            except errors.HistoryGone as error:
                self._log.info('history gone', kind=self._kind, e=str(error))
                self.version = None
            except errors.PlatformError as error:
                self._note_lost(error)
                await asyncio.sleep(links.jitter(retry_s))
                retry_s = min(retry_s * 1.5, RETRY_MAX_S)

    async def _step(self):
        if self.version is None:
            page = await self._store.list_objects(self._kind)
            self._note_answer()
            self.version = page.version
            self._names = {found.name for found in page.objects}
            self._on_objects(page.objects, [], True)
            return
        page = await self._watch()
        if page is None:
            self.version = None
            return
        self._note_answer()
        # An answer without changes may hide some that the store has not told
        # yet, so the next watch begins where this one did.
        if page.objects or page.removed:
            self.version = max(self.version, page.version)
            self._names.update(found.name for found in page.objects)
            self._names.difference_update(page.removed)
            self._on_objects(page.objects, page.removed, False)
            if self._pause_s:
                await asyncio.sleep(self._pause_s)

    async def _watch(self):
        """Wait for changes; None if the watch has missed some."""
        watch = asyncio.create_task(
            self._store.watch(self._kind, self.version, self._wait_s)
        )
        check = asyncio.create_task(self._find_missed())
        try:
            done, _ = await asyncio.wait(
                (watch, check), return_when=asyncio.FIRST_COMPLETED
            )
            if watch in done:
                return watch.result()
            self._log.warning(
                'watch missed changes', kind=self._kind, since=self.version
            )
            return None
        finally:
            watch.cancel()
            check.cancel()

    async def _find_missed(self):
        """Return once a list shows what the watch has not told."""
        while True:
            await asyncio.sleep(
                links.jitter(self._check_interval_s or self._wait_s)
            )
            if not self._check_interval_s:
                continue
            try:
                page = await self._store.list_objects(self._kind, stale=True)
            except errors.PlatformError:
                # The watch itself finds out that the store is lost.
                continue
            for found in page.objects:
                if found.version > self.version:
                    return
            if {found.name for found in page.objects} != self._names:
                return

    def _note_answer(self):
        self.current = True
        if self.lost_at is not None:
            self.lost_at = None
            self.regained_at = self._clock.now()
            self._log.info('watch regained', kind=self._kind)

    def _note_lost(self, error):
        self.current = False
        if self.lost_at is None:
            self.lost_at = self._clock.now()
            self._log.warning('watch lost', kind=self._kind, reason=str(error))
