"""Tests of the lease: one holder, whatever clocks and the store do."""

import pytest

from clementineline.coordination import lease
from clementineline import errors
from clementineline.state import platform
from clementineline.state import settings


class FakePlatform:
    """One object with versions and conditional writes."""

    def __init__(self):
        self.current = None
        self.version = 0
        self.down = False
        self.stale = None

    async def read(self, kind, name, stale=False):
        if self.down:
            raise errors.PlatformUnavailable('down')
        if stale and self.stale is not None:
            return self.stale
        return self.current

    async def write(self, kind, name, value, expected):
        if self.down:
            raise errors.AmbiguousWrite('down')
        version = self.current.version if self.current else 0
        if version != expected:
            raise errors.WriteConflict(f'expected {expected}')
        self.version += 1
        self.current = platform.PlatformObject(kind, name, self.version, value)
        return self.version


@pytest.fixture
def store():
    return FakePlatform()


@pytest.fixture
def build_keeper(store, log):
    def build(name, clock):
        timing = settings.LeaseSettings(
            duration_s=4.0, renew_s=1.0, quiet_s=3.0
        )
        return lease.LeaseManager(
            name,
            store,
            timing,
            clock,
            log,
            read_time_of_day=lambda: 1e9 + clock.time_s,
        )

    return build


class TestLeaseManager:
    """A lease is taken only when its holder cannot believe in it."""

    async def test_fence_is_the_version_of_the_acquisition(
        self, build_keeper, clock
    ):
        keeper = build_keeper('a', clock)
        await keeper.step()
        fence = keeper.fence
        for _ in range(3):
            clock.time_s += 1.0
            await keeper.step()
        assert keeper.holds()
        assert keeper.fence == fence == 1

    async def test_renewed_lease_is_not_taken(self, build_keeper, clock):
        holder, other = build_keeper('a', clock), build_keeper('b', clock)
        await holder.step()
        for _ in range(10):
            clock.time_s += 1.0
            await holder.step()
            await other.step()
        assert holder.holds()
        assert not other.holds()

    async def test_paused_holder_stops_before_another_starts(
        self, build_keeper, clock
    ):
        holder, other = build_keeper('a', clock), build_keeper('b', clock)
        await holder.step()
        await other.step()
        while not other.holds():
            clock.time_s += 0.5
            assert not (holder.holds() and other.holds())
            await other.step()
        assert not holder.holds()
        assert other.fence > 1
        await holder.step()
        assert not holder.holds()

    async def test_other_clock_may_be_anything(
        self, build_keeper, clock, store
    ):
        holder = build_keeper('a', clock)
        await holder.step()
        far = type(clock)()
        far.time_s = -5e8
        other = build_keeper('b', far)
        await other.step()
        far.time_s += 3.9
        await other.step()
        assert not other.holds()

    async def test_outage_ends_the_holders_belief(
        self, build_keeper, clock, store
    ):
        keeper = build_keeper('a', clock)
        await keeper.step()
        store.down = True
        clock.time_s += 2.0
        with pytest.raises(errors.PlatformUnavailable):
            await keeper.step()
        assert keeper.holds()
        clock.time_s += 1.1
        assert not keeper.holds()

    async def test_released_lease_is_taken_at_once(self, build_keeper, clock):
        holder, other = build_keeper('a', clock), build_keeper('b', clock)
        await holder.step()
        await holder.release()
        await other.step()
        assert other.holds()

    async def test_restarted_holder_takes_its_lease_back_at_once(
        self, build_keeper, clock
    ):
        earlier = build_keeper('a', clock)
        await earlier.step()
        keeper = build_keeper('a', clock)
        await keeper.step()
        assert keeper.fence > earlier.fence
        assert keeper.quiet_s == 0.0

    async def test_next_holder_keeps_quiet_after_another_one(
        self, build_keeper, clock
    ):
        holder, other = build_keeper('a', clock), build_keeper('b', clock)
        await holder.step()
        await other.step()
        clock.time_s += 4.0
        await other.step()
        assert other.holds()
        assert other.quiet_s == 3.0

    async def test_next_holder_keeps_quiet_after_the_last_order(
        self, build_keeper, clock
    ):
        holder, other = build_keeper('a', clock), build_keeper('b', clock)
        await holder.step()
        await holder.release(order_age_s=1.0)
        await other.step()
        assert other.holds()
        assert other.quiet_s == 2.0

    async def test_stale_answers_do_not_hide_a_dead_holder(
        self, build_keeper, clock, store
    ):
        # scale-1 of lianhe-quotes-grown: reads were six seconds behind as the
        # holder died, and its lease was taken 5.9 s after it.
        holder, other = build_keeper('a', clock), build_keeper('b', clock)
        await holder.step()
        await other.step()
        history = [store.current]
        for _ in range(6):
            clock.time_s += 1.0
            await holder.step()
            history.append(store.current)
        died_at = clock.time_s
        while not other.holds():
            # What the holder wrote six seconds ago.
            store.stale = history.pop(0) if history else store.current
            await other.step()
            clock.time_s += 1.0
            assert clock.time_s < died_at + 6.0
        assert clock.time_s > died_at + 4.0

    async def test_hint_of_a_wrong_clock_takes_no_renewed_lease(
        self, build_keeper, clock, store
    ):
        holder, other = build_keeper('a', clock), build_keeper('b', clock)
        other._read_time_of_day = lambda: 2e9
        await holder.step()
        for _ in range(20):
            await other.step()
            clock.time_s += 1.0
            await holder.step()
            assert not other.holds()

    async def test_stale_answer_takes_no_renewed_lease(
        self, build_keeper, clock, store
    ):
        holder, other = build_keeper('a', clock), build_keeper('b', clock)
        await holder.step()
        store.stale = store.current
        await other.step()
        for _ in range(6):
            clock.time_s += 1.0
            await holder.step()
            await other.step()
        assert holder.holds()
        assert not other.holds()

    async def test_failed_renewal_is_tried_again_at_once(
        self, build_keeper, clock, store, monkeypatch
    ):
        waits = []

        class Ended(Exception):
            pass

        async def sleep(seconds):
            waits.append(seconds)
            store.down = len(waits) == 1
            if len(waits) == 3:
                raise Ended

        monkeypatch.setattr(lease.asyncio, 'sleep', sleep)
        monkeypatch.setattr(lease.links, 'jitter', lambda mean_s: mean_s)
        keeper = build_keeper('a', clock)
        with pytest.raises(Ended):
            await keeper.run()
        assert waits == [1.0, lease.RETRY_S, 1.0]
        assert keeper.holds()

    async def test_outage_gives_the_holder_its_time_again(
        self, build_keeper, clock, store, monkeypatch
    ):
        # Store out for 5 s: another keeper took the lease as the store came
        # back, before its holder could renew it.
        holder, other = build_keeper('a', clock), build_keeper('b', clock)
        await holder.step()
        await other.step()

        class Ended(Exception):
            pass

        async def sleep(seconds):
            raise Ended

        monkeypatch.setattr(lease.asyncio, 'sleep', sleep)
        store.down = True
        clock.time_s += 5.0
        with pytest.raises(Ended):
            await other.run()
        store.down = False
        await other.step()
        assert not other.holds()
        await holder.step()
        assert holder.holds()
        assert not holder.interrupted

    async def test_dead_holder_gets_little_time_after_an_outage(
        self, build_keeper, clock, store, monkeypatch
    ):
        # Incident inc-e2c8: the leader died while the store was out, and
        # nobody led until 4 s after the store's return.
        holder, other = build_keeper('a', clock), build_keeper('b', clock)
        await holder.step()
        await other.step()

        class Ended(Exception):
            pass

        async def sleep(seconds):
            raise Ended

        monkeypatch.setattr(lease.asyncio, 'sleep', sleep)
        store.down = True
        clock.time_s += 5.0
        with pytest.raises(Ended):
            await other.run()
        store.down = False
        clock.time_s += lease.RENEWAL_GRACE_S
        await other.step()
        assert other.holds()

    async def test_other_entries_look_seldom(
        self, build_keeper, clock, monkeypatch
    ):
        """A missing attribute once ended this task after each step."""
        waits = []

        class Ended(Exception):
            pass

        async def sleep(seconds):
            waits.append(seconds)
            clock.time_s += seconds
            if len(waits) == 2:
                raise Ended

        monkeypatch.setattr(lease.asyncio, 'sleep', sleep)
        monkeypatch.setattr(lease.links, 'jitter', lambda mean_s: mean_s)
        await build_keeper('holder', clock).step()
        keeper = build_keeper('a', clock)
        keeper._is_candidate = lambda: False
        with pytest.raises(Ended):
            await keeper.run()
        assert waits == [1.0 * lease.OTHERS_FACTOR, 1.0]
