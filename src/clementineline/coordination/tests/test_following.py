import asyncio

import pytest

from clementineline.coordination import following
from clementineline import errors
from clementineline.state import objects


class FakeStore:
    """A store whose watches a test answers."""

    def __init__(self):
        self.listed = []
        self.version = 1
        self.lists = 0
        self.stale_lists = 0
        self.watches = asyncio.Queue()
        self.answers = asyncio.Queue()
        self.down = False

    async def list_objects(self, kind, stale=False):
        if self.down:
            raise errors.PlatformUnavailable('down')
        if stale:
            self.stale_lists += 1
        else:
            self.lists += 1
        return objects.ObjectPage(self.version, list(self.listed), [])

    async def watch(self, kind, since, wait_s):
        self.watches.put_nowait(since)
        answer = await self.answers.get()
        if isinstance(answer, Exception):
            raise answer
        return answer


def build_object(name, version):
    return objects.PlatformObject('k', name, version, {})


@pytest.fixture
async def follow(clock, log):
    tasks = []

    def start(store, **options):
        seen = []
        follower = following.ObjectWatcher(
            store,
            'k',
            lambda *page: seen.append(page),
            clock,
            log,
            **options,
        )
        tasks.append(asyncio.create_task(follower.run()))
        return follower, seen

    yield start
    for task in tasks:
        task.cancel()


class TestFollower:
    async def test_list_then_changes(self, follow, wait_until):
        store = FakeStore()
        store.listed = [build_object('a', 1)]
        _, seen = follow(store, check_interval_s=0)
        assert await store.watches.get() == 1
        store.answers.put_nowait(
            objects.ObjectPage(4, [build_object('b', 3)], ['a'])
        )
        assert await store.watches.get() == 4
        assert [(len(o), r, w) for o, r, w in seen] == [
            (1, [], True),
            (1, ['a'], False),
        ]

    async def test_forgotten_history_is_listed_anew(self, follow):
        store = FakeStore()
        follow(store, check_interval_s=0)
        await store.watches.get()
        store.version = 9
        store.answers.put_nowait(errors.HistoryGone('gone'))
        assert await store.watches.get() == 9
        assert store.lists == 2

    async def test_watch_without_changes_goes_on_where_it_began(self, follow):
        # Own day history-dropped, wbm-smoke, seed 8: a watch that ended while
        # the store told no changes skipped them, and the next one, begun
        # after them, never heard that the history was gone.
        store = FakeStore()
        follow(store, check_interval_s=0)
        assert await store.watches.get() == 1
        store.answers.put_nowait(objects.ObjectPage(7, [], []))
        assert await store.watches.get() == 1
        store.version = 8
        store.answers.put_nowait(errors.HistoryGone('gone'))
        assert await store.watches.get() == 8

    def test_watch_is_short_enough_for_a_manifest(self):
        # The same day: a watch of 8 s stayed silent for 5.6 s after the
        # change; the store's trouble counts for 3 s after its end.
        assert following.WATCH_WAIT_S < 3.0

    async def test_lost_answer_of_a_watch_is_found_by_a_list(
        self, follow, wait_until
    ):
        # The watch never answers: hunt on wbm-smoke kept an old manifest in
        # force for 9.5 s.
        store = FakeStore()
        store.listed = [build_object('a', 1)]
        _, seen = follow(store, check_interval_s=0.01)
        await store.watches.get()
        store.listed = [build_object('a', 5)]
        store.version = 5
        assert await store.watches.get() == 5
        assert seen[-1][0][0].version == 5

    async def test_removal_is_found_by_a_list(self, follow):
        store = FakeStore()
        store.listed = [build_object('a', 1)]
        _, seen = follow(store, check_interval_s=0.01)
        await store.watches.get()
        store.listed = []
        store.version = 2
        assert await store.watches.get() == 2
        assert seen[-1] == ([], [], True)

    async def test_outage_is_known_for_a_while_after_it(
        self, follow, clock, wait_until
    ):
        store = FakeStore()
        follower, _ = follow(store, check_interval_s=0)
        await store.watches.get()
        store.answers.put_nowait(errors.PlatformUnavailable('down'))
        await wait_until(lambda: follower.was_unreachable(1.0))
        await store.watches.get()
        store.answers.put_nowait(objects.ObjectPage(2, [], []))
        await store.watches.get()
        assert follower.current
        assert follower.was_unreachable(1.0)
        clock.time_s += 1.1
        assert not follower.was_unreachable(1.0)
