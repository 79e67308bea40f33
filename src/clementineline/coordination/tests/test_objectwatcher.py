"""Tests of watching a kind of objects in the store.

A change must not be missed, whether the response to a watch is lost, the store
drops its history or is unreachable for a time.
"""

import asyncio

import pytest

from clementineline.coordination import objectwatcher
from clementineline.coordination import watchrelay
from clementineline import errors
from clementineline.state import objects


class FakeStore:
    """A store whose watches are answered by the test."""

    def __init__(self):
        self.listed = []
        self.version = 1
        self.lists = 0
        self.stale_lists = 0
        self.watches = asyncio.Queue()
        self.responses = asyncio.Queue()
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
        response = await self.responses.get()
        if isinstance(response, Exception):
            raise response
        return response


def build_object(name, version):
    return objects.PlatformObject('k', name, version, {})


@pytest.fixture
async def start_watcher(clock, log):
    tasks = []

    def start(store, **options):
        seen = []
        watcher = objectwatcher.ObjectWatcher(
            store,
            'k',
            lambda *page: seen.append(page),
            clock,
            log,
            **options,
        )
        tasks.append(asyncio.create_task(watcher.run()))
        return watcher, seen

    yield start
    for task in tasks:
        task.cancel()


class TestObjectWatcher:
    async def test_objects_are_listed_and_then_watched(
        self, start_watcher, wait_until
    ):
        store = FakeStore()
        store.listed = [build_object('a', 1)]
        _, seen = start_watcher(store, check_interval_s=0)
        assert await store.watches.get() == 1
        store.responses.put_nowait(
            objects.ObjectPage(4, [build_object('b', 3)], ['a'])
        )
        assert await store.watches.get() == 4
        assert [(len(o), r, w) for o, r, w in seen] == [
            (1, [], True),
            (1, ['a'], False),
        ]

    async def test_objects_are_listed_again_after_lost_history(
        self, start_watcher
    ):
        store = FakeStore()
        start_watcher(store, check_interval_s=0)
        await store.watches.get()
        store.version = 9
        store.responses.put_nowait(errors.HistoryGone('gone'))
        assert await store.watches.get() == 9
        assert store.lists == 2

    async def test_watch_after_an_empty_response_starts_from_the_same_version(
        self, start_watcher
    ):
        # A watch ended without changes while the store withheld some. The
        # next watch started after those changes, so it missed them and was
        # not told that the history was gone (history-dropped, seed 8).
        store = FakeStore()
        start_watcher(store, check_interval_s=0)
        assert await store.watches.get() == 1
        store.responses.put_nowait(objects.ObjectPage(7, [], []))
        assert await store.watches.get() == 1
        store.version = 8
        store.responses.put_nowait(errors.HistoryGone('gone'))
        assert await store.watches.get() == 8

    def test_watch_is_short_enough_for_a_route_table(self):
        # With watches of 8 s, a change was noticed 5.6 s late. A disturbance
        # of the store excuses a delay only until 3 s after its end.
        assert objectwatcher.WATCH_WAIT_S < 3.0

    @pytest.mark.parametrize(
        ('apply_s', 'disturbed_s'),
        [(2.0, 3.0), (3.0, 4.0), (4.0, 5.0), (4.0, 3.0), (2.0, 6.0)],
    )
    def test_times_of_a_watch_fit_into_the_bounds(self, apply_s, disturbed_s):
        """They answer the load of a large fleet, which has longer bounds."""
        intervals = objectwatcher.derive_intervals(apply_s, disturbed_s)
        assert intervals.wait_s < disturbed_s
        # A comparison that just missed the change is followed by the one that
        # finds it, which leaves time for a list.
        assert 2 * intervals.check_interval_s < disturbed_s
        assert 2 * intervals.pause_s < apply_s

    @pytest.mark.parametrize('apply_s', [1.0, 2.0, 3.0, 6.0])
    def test_watch_for_others_has_recent_evidence(self, apply_s):
        """Without any, all that rely on it would ask the store at once."""
        intervals = objectwatcher.derive_source_intervals(apply_s, 2 * apply_s)
        relayed = watchrelay.derive_relay_intervals(apply_s)
        # The times are drawn from within 20 % of the interval.
        oldest_s = intervals.pause_s + 1.2 * intervals.check_interval_s
        assert oldest_s < relayed.fresh_s

    def test_larger_bounds_make_fewer_calls(self):
        small = objectwatcher.derive_intervals(2.0, 3.0)
        large = objectwatcher.derive_intervals(4.0, 5.0)
        assert large.wait_s > 1.5 * small.wait_s
        assert large.pause_s == 2 * small.pause_s

    async def test_change_in_a_lost_response_is_found_by_a_list(
        self, start_watcher, wait_until
    ):
        # An old route table stayed in force for 9.5 s because the response to
        # the watch was lost.
        store = FakeStore()
        store.listed = [build_object('a', 1)]
        _, seen = start_watcher(store, check_interval_s=0.01)
        await store.watches.get()
        store.listed = [build_object('a', 5)]
        store.version = 5
        assert await store.watches.get() == 5
        assert seen[-1][0][0].version == 5

    async def test_removal_is_found_by_a_list(self, start_watcher):
        store = FakeStore()
        store.listed = [build_object('a', 1)]
        _, seen = start_watcher(store, check_interval_s=0.01)
        await store.watches.get()
        store.listed = []
        store.version = 2
        assert await store.watches.get() == 2
        assert seen[-1] == ([], [], True)

    async def test_refresh_ends_the_watch_and_lists_in_full(
        self, start_watcher
    ):
        # A leader that knew an older route table than a gateway waited for
        # the end of its watch (review/2).
        store = FakeStore()
        watcher, seen = start_watcher(store, check_interval_s=0)
        await store.watches.get()
        store.listed = [build_object('a', 5)]
        store.version = 5
        watcher.refresh()
        assert await store.watches.get() == 5
        assert seen[-1] == (store.listed, [], True)

    async def test_changes_that_could_not_be_handled_are_reported_again(
        self, clock, log
    ):
        """Keepers that started while one entry was odd knew no server.

        The version was set before the objects were handled, so the restarted
        watch took them for known (review/3).
        """
        store = FakeStore()
        store.listed = [build_object('a', 1)]
        seen = []

        def handle(found, removed, whole):
            seen.append((found, whole))
            if len(seen) in (1, 3):
                raise OverflowError

        watcher = objectwatcher.ObjectWatcher(
            store, 'k', handle, clock, log, check_interval_s=0
        )
        for changes in (None, objects.ObjectPage(4, store.listed, [])):
            if changes is not None:
                store.responses.put_nowait(changes)
            with pytest.raises(OverflowError):
                await watcher._step()
            if changes is not None:
                store.responses.put_nowait(changes)
            async with asyncio.timeout(1.0):
                await watcher._step()
        assert seen == [
            (store.listed, True),
            (store.listed, True),
            (store.listed, False),
            (store.listed, False),
        ]
        assert watcher.version == 4

    async def test_outage_is_reported_for_a_while_after_its_end(
        self, start_watcher, clock, wait_until
    ):
        store = FakeStore()
        watcher, _ = start_watcher(store, check_interval_s=0)
        await store.watches.get()
        store.responses.put_nowait(errors.PlatformUnavailable('down'))
        await wait_until(lambda: watcher.was_unreachable(1.0))
        await store.watches.get()
        store.responses.put_nowait(objects.ObjectPage(2, [], []))
        await store.watches.get()
        assert watcher.current
        assert watcher.was_unreachable(1.0)
        clock.time_s += 1.1
        assert not watcher.was_unreachable(1.0)
