"""Following a kind of the platform's store: a list, then its changes."""

import asyncio

from clementineline import errors
from clementineline.protocol import links

__all__ = ['Follower']

# A watch costs one call however long it waits; keep-alive probes find a
# silent connection sooner than its answer would.
WATCH_WAIT_S = 8.0
RETRY_S = 0.25
RETRY_MAX_S = 1.0


class Follower:
    """Keeps a copy of a kind up to date; :meth:`run` is its task.

    :param store: the client of the platform's store
    :param kind: kind to follow
    :param on_objects: called with ``(objects, removed, whole)``; ``whole``
        means that objects which are not among them are gone
    :param clock: a :class:`~clementineline.clocks.Clock`
    :param log: logger
    :param pause_s: wait after a change, so that several come in one answer
    """

    __slots__ = (
        '_clock',
        '_kind',
        '_log',
        '_on_objects',
        '_pause_s',
        '_store',
        'current',
        'lost_at',
        'regained_at',
        'version',
    )

    def __init__(self, store, kind, on_objects, clock, log, pause_s=0.0):
        self._store = store
        self._kind = kind
        self._on_objects = on_objects
        self._clock = clock
        self._log = log
        self._pause_s = pause_s
        self.version = None
        self.current = False
        self.lost_at = None
        self.regained_at = None

    def was_out(self, within_s):
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
            self._on_objects(page.objects, [], True)
            return
        page = await self._store.watch(self._kind, self.version, WATCH_WAIT_S)
        self._note_answer()
        self.version = max(self.version, page.version)
        if page.objects or page.removed:
            self._on_objects(page.objects, page.removed, False)
            if self._pause_s:
                await asyncio.sleep(self._pause_s)

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
            self._log.warning(
                'watch lost', kind=self._kind, reason=str(error)
            )
