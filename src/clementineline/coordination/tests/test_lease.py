"""Tests of the lease.

At most one process may hold the lease at any time, even if clocks differ, the
store is unreachable or reads are stale.
"""

import pytest

from clementineline.coordination import lease
from clementineline import errors
from clementineline.state import platform
from clementineline.state import settings


class FakePlatform:
    """A store of one object with versions and conditional writes."""

    def __init__(self):
        self.current = None
        self.version = 0
        self.down = False
        self.stale = None
        # The next write gets no answer and takes effect in apply_held_write.
        self.hold_write = False
        self.held_write = None
        self.on_read = lambda: None

    async def read(self, kind, name, stale=False):
        self.on_read()
        if self.down:
            raise errors.PlatformUnavailable('down')
        if stale and self.stale is not None:
            return self.stale
        return self.current

    async def write(self, kind, name, value, expected):
        if self.down:
            raise errors.AmbiguousWrite('down')
        if self.hold_write:
            self.hold_write = False
            self.held_write = (kind, name, value, expected)
            raise errors.AmbiguousWrite('no answer')
        version = self.current.version if self.current else 0
        if version != expected:
            raise errors.WriteConflict(f'expected {expected}')
        self.version += 1
        self.current = platform.PlatformObject(kind, name, self.version, value)
        return self.version

    async def apply_held_write(self):
        await self.write(*self.held_write)


@pytest.fixture
def store():
    return FakePlatform()


@pytest.fixture
def build_manager(store, log):
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
    """Two holders at once would send conflicting orders to engines.

    A contender may acquire the lease only when the previous holder no longer
    acts on it.
    """

    async def test_fence_is_the_object_version_at_acquisition(
        self, build_manager, clock
    ):
        manager = build_manager('a', clock)
        await manager.step()
        fence = manager.fence
        for _ in range(3):
            clock.time_s += 1.0
            await manager.step()
        assert manager.holds()
        assert manager.fence == fence == 1

    async def test_renewed_lease_is_not_acquired_by_another(
        self, build_manager, clock
    ):
        holder, other = build_manager('a', clock), build_manager('b', clock)
        await holder.step()
        for _ in range(10):
            clock.time_s += 1.0
            await holder.step()
            await other.step()
        assert holder.holds()
        assert not other.holds()

    async def test_paused_holder_stops_before_another_starts(
        self, build_manager, clock
    ):
        holder, other = build_manager('a', clock), build_manager('b', clock)
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

    async def test_contender_with_a_far_off_clock_waits_the_full_duration(
        self, build_manager, clock, store
    ):
        holder = build_manager('a', clock)
        await holder.step()
        far_clock = type(clock)()
        far_clock.time_s = -5e8
        other = build_manager('b', far_clock)
        await other.step()
        far_clock.time_s += 3.9
        await other.step()
        assert not other.holds()

    async def test_lease_lapses_for_the_holder_during_a_store_outage(
        self, build_manager, clock, store
    ):
        manager = build_manager('a', clock)
        await manager.step()
        store.down = True
        clock.time_s += 2.0
        with pytest.raises(errors.PlatformUnavailable):
            await manager.step()
        assert manager.holds()
        clock.time_s += 1.1
        assert not manager.holds()

    async def test_released_lease_is_acquired_at_once(
        self, build_manager, clock
    ):
        holder, other = build_manager('a', clock), build_manager('b', clock)
        await holder.step()
        await holder.release()
        await other.step()
        assert other.holds()

    async def test_restarted_holder_reacquires_its_lease_at_once(
        self, build_manager, clock
    ):
        earlier = build_manager('a', clock)
        await earlier.step()
        manager = build_manager('a', clock)
        await manager.step()
        assert manager.fence > earlier.fence
        assert manager.quiet_s == 0.0

    async def test_lapsed_lease_gives_the_next_holder_the_full_quiet_time(
        self, build_manager, clock
    ):
        holder, other = build_manager('a', clock), build_manager('b', clock)
        await holder.step()
        await other.step()
        clock.time_s += 4.0
        await other.step()
        assert other.holds()
        assert other.quiet_s == 3.0

    async def test_released_lease_gives_the_rest_of_the_quiet_time(
        self, build_manager, clock
    ):
        holder, other = build_manager('a', clock), build_manager('b', clock)
        await holder.step()
        await holder.release(order_age_s=1.0)
        await other.step()
        assert other.holds()
        assert other.quiet_s == 2.0

    async def test_stale_reads_do_not_delay_the_takeover_from_a_dead_holder(
        self, build_manager, clock, store
    ):
        # Stale reads were 6 s behind when the holder died, so the contender
        # still saw renewals and acquired the lease only 5.9 s later.
        holder, other = build_manager('a', clock), build_manager('b', clock)
        await holder.step()
        await other.step()
        history = [store.current]
        for _ in range(6):
            clock.time_s += 1.0
            await holder.step()
            history.append(store.current)
        died_at = clock.time_s
        while not other.holds():
            # The object as the holder wrote it 6 s ago.
            store.stale = history.pop(0) if history else store.current
            await other.step()
            clock.time_s += 1.0
            assert clock.time_s < died_at + 6.0
        assert clock.time_s > died_at + 4.0

    async def test_renewed_lease_is_not_acquired_with_a_wrong_wall_clock(
        self, build_manager, clock, store
    ):
        holder, other = build_manager('a', clock), build_manager('b', clock)
        other._read_time_of_day = lambda: 2e9
        await holder.step()
        for _ in range(20):
            await other.step()
            clock.time_s += 1.0
            await holder.step()
            assert not other.holds()

    async def test_renewed_lease_is_not_acquired_after_stale_reads(
        self, build_manager, clock, store
    ):
        holder, other = build_manager('a', clock), build_manager('b', clock)
        await holder.step()
        store.stale = store.current
        await other.step()
        for _ in range(6):
            clock.time_s += 1.0
            await holder.step()
            await other.step()
        assert holder.holds()
        assert not other.holds()

    async def test_failed_renewal_is_retried_after_a_short_delay(
        self, build_manager, clock, store, monkeypatch
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
        manager = build_manager('a', clock)
        with pytest.raises(Ended):
            await manager.run()
        assert waits == [1.0, lease.RENEWAL_RETRY_S, 1.0]
        assert manager.holds()

    async def test_holder_keeps_the_lease_if_its_renewal_takes_effect_late(
        self, build_manager, clock, store
    ):
        manager, other = build_manager('a', clock), build_manager('b', clock)
        await manager.step()
        fence = manager.fence
        store.hold_write = True
        clock.time_s += 1.0
        with pytest.raises(errors.AmbiguousWrite):
            await manager.step()
        await store.apply_held_write()
        clock.time_s += 1.0
        await manager.step()
        clock.time_s += 2.0
        assert manager.holds()
        assert manager.fence == fence
        await other.step()
        assert not other.holds()

    async def test_late_renewal_of_an_earlier_term_keeps_no_lease(
        self, build_manager, clock, store
    ):
        """Another process has held the lease, and the late one fails."""
        manager, other = build_manager('a', clock), build_manager('b', clock)
        await manager.step()
        store.hold_write = True
        clock.time_s += 1.0
        with pytest.raises(errors.AmbiguousWrite):
            await manager.step()
        await other.step()
        clock.time_s += 5.0
        await other.step()
        assert other.holds()
        with pytest.raises(errors.WriteConflict):
            await store.apply_held_write()
        await manager.step()
        assert not manager.holds()
        assert other.holds()

    async def test_holder_can_renew_after_a_store_outage(
        self, build_manager, clock, store, monkeypatch
    ):
        # After a store outage of 5 s, a contender acquired the lease before
        # the holder could renew it.
        holder, other = build_manager('a', clock), build_manager('b', clock)
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
        assert not holder.possibly_taken_over

    async def test_lease_of_a_dead_holder_is_acquired_soon_after_an_outage(
        self, build_manager, clock, store, monkeypatch
    ):
        # The leader died during a store outage, and no process led until 4 s
        # after the outage (incident inc-e2c8).
        holder, other = build_manager('a', clock), build_manager('b', clock)
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

    async def test_read_that_waited_for_the_end_of_an_outage_wins_no_lease(
        self, build_manager, clock, store
    ):
        """A contender's read was answered the moment the store was back.

        It took the lease 30 ms later, before the holder could renew it, and
        the items of all steps changed their owner.
        """
        holder, other = build_manager('a', clock), build_manager('b', clock)
        await holder.step()
        await other.step()

        def wait_for_the_end():
            clock.time_s += 5.0
            store.on_read = lambda: None

        store.on_read = wait_for_the_end
        await other.step()
        assert not other.holds()
        await holder.step()
        assert holder.holds()
        clock.time_s += lease.RENEWAL_GRACE_S
        await other.step()
        assert not other.holds()

    async def test_dead_holder_is_replaced_while_the_store_is_slow(
        self, build_manager, clock, store
    ):
        holder, other = build_manager('a', clock), build_manager('b', clock)
        await holder.step()

        def respond_slowly():
            clock.time_s += 0.4

        store.on_read = respond_slowly
        await other.step()
        clock.time_s += 4.0
        # Two reads, since the holder's renewal looks old.
        await other.step()
        assert other.holds()

    async def test_dead_holder_is_replaced_after_such_a_read(
        self, build_manager, clock, store
    ):
        holder, other = build_manager('a', clock), build_manager('b', clock)
        await holder.step()
        await other.step()

        def wait_for_the_end():
            clock.time_s += 5.0
            store.on_read = lambda: None

        store.on_read = wait_for_the_end
        await other.step()
        clock.time_s += lease.RENEWAL_GRACE_S
        await other.step()
        assert other.holds()

    async def test_lapsed_lease_is_acquired_again_as_soon_as_possible(
        self, build_manager, clock, store, monkeypatch
    ):
        waits = []

        class Ended(Exception):
            pass

        async def sleep(seconds):
            waits.append(seconds)
            clock.time_s += 1.6
            store.down = len(waits) <= 3
            if len(waits) == 6:
                raise Ended

        monkeypatch.setattr(lease.asyncio, 'sleep', sleep)
        monkeypatch.setattr(lease.links, 'jitter', lambda mean_s: mean_s)
        manager = build_manager('a', clock)
        with pytest.raises(Ended):
            await manager.run()
        retry_s = lease.RENEWAL_RETRY_S
        assert waits[:5] == [1.0, retry_s, retry_s, retry_s, 1.0]
        assert manager.holds()

    async def test_entries_that_are_not_candidates_check_rarely(
        self, build_manager, clock, monkeypatch
    ):
        # A missing attribute made the task fail after each step of an entry
        # that is not a candidate.
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
        await build_manager('holder', clock).step()
        manager = build_manager('a', clock)
        manager._is_candidate = lambda: False
        with pytest.raises(Ended):
            await manager.run()
        assert waits == [1.0 * lease.NON_CANDIDATE_INTERVAL_FACTOR, 1.0]


class TestTakeoverAfterOutage:
    """The leader's VM was lost during an outage of the store.

    No process led until 3.6 s after the outage, as contenders saw its last
    renewal only then and waited for the whole duration (keetmans, trouble-3).
    """

    @pytest.fixture
    def build_contender(self, store, log):
        def build(clock, reachable):
            async def is_reachable(address):
                return reachable

            timing = settings.LeaseSettings(
                duration_s=4.0, renew_s=1.0, quiet_s=3.0
            )
            return lease.LeaseManager(
                'b', store, timing, clock, log, is_reachable=is_reachable
            )

        return build

    async def end_holder_in_outage(self, holder, contender, clock, store):
        """Renew unseen, then have an outage in which the holder ends."""
        holder.address = '127.0.0.1:1'
        await holder.step()
        await contender.step()
        clock.time_s += 1.0
        await holder.step()
        store.down = True
        for _ in range(6):
            clock.time_s += 1.0
            contender._last_failure_at = clock.time_s
        store.down = False

    async def test_renewal_seen_after_the_outage_counts_from_its_sending(
        self, build_manager, build_contender, clock, store
    ):
        other = build_contender(clock, reachable=False)
        holder = build_manager('a', clock)
        await self.end_holder_in_outage(holder, other, clock, store)
        await other.step()
        assert other.holds()

    async def test_reachable_holder_may_renew_first(
        self, build_manager, build_contender, clock, store
    ):
        other = build_contender(clock, reachable=True)
        holder = build_manager('a', clock)
        await self.end_holder_in_outage(holder, other, clock, store)
        await other.step()
        assert not other.holds()
        clock.time_s += lease.RENEWAL_GRACE_S
        await other.step()
        assert other.holds()

    @pytest.mark.parametrize('ahead_s', [-5e8, -3.0, 3.0, 5e8])
    async def test_no_difference_of_clocks_lets_two_processes_hold_it(
        self, build_manager, build_contender, clock, ahead_s
    ):
        other_clock = type(clock)()
        other_clock.time_s = clock.time_s + ahead_s
        holder = build_manager('a', clock)
        other = build_contender(other_clock, reachable=False)
        for _ in range(40):
            await holder.step()
            await other.step()
            assert not other.holds()
            clock.time_s += 0.9
            other_clock.time_s += 0.9

    async def test_holder_that_started_again_is_measured_anew(
        self, build_manager, build_contender, clock
    ):
        """The VM's clock starts from zero, so its readings look very old."""
        other = build_contender(clock, reachable=False)
        await build_manager('a', clock).step()
        await other.step()
        new_clock = type(clock)()
        new_clock.time_s = 1.0
        restarted = build_manager('a', new_clock)
        await restarted.step()
        await other.step()
        assert restarted.holds()
        assert not other.holds()


class TestTerm:
    """What a leader keeps is valid until another one may have led."""

    async def test_ends_when_another_held_and_released_the_lease_unseen(
        self, build_manager, clock
    ):
        """A frozen leader woke after its successor had released the lease.

        It acquired the lease in the step that showed this, kept the state of
        before, and did not return results that had been read (review/4).
        """
        holder, other = build_manager('a', clock), build_manager('b', clock)
        await holder.step()
        term = lease.Term(holder)
        await other.step()
        clock.time_s += 4.0
        await other.step()
        assert other.holds()
        await other.release()
        await holder.step()
        assert holder.holds()
        assert term.ended
        assert not term.holds()
        assert not term.fence

    async def test_goes_on_after_an_outage_without_another_holder(
        self, build_manager, clock, store
    ):
        holder = build_manager('a', clock)
        await holder.step()
        term = lease.Term(holder)
        first_fence = term.fence
        clock.time_s += 5.0
        assert not term.holds()
        await holder.step()
        assert term.holds()
        assert not term.ended
        assert term.fence > first_fence

    async def test_ends_when_another_has_acquired_the_lease(
        self, build_manager, clock
    ):
        holder, other = build_manager('a', clock), build_manager('b', clock)
        await holder.step()
        term = lease.Term(holder)
        await other.step()
        clock.time_s += 4.0
        await other.step()
        await holder.step()
        assert term.ended

    async def test_ends_with_a_release(self, build_manager, clock):
        holder = build_manager('a', clock)
        await holder.step()
        term = lease.Term(holder)
        await holder.release()
        await holder.step()
        assert holder.holds()
        assert term.ended
