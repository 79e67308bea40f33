"""The leader's lease, stored as one object in the platform's store.

A contender acquires the lease only after the object has not changed for the
lease duration, measured on the contender's own clock. The holder also writes
the wall-clock time of each renewal, which is only a hint: contenders use stale
reads, which cost a tenth of a full read, and repeat the read in full if the
renewal looks old. The object's version at the acquisition is the fencing token
of each order.

A holder also writes what its own monotonic clock reads. A contender that has
seen several renewals of one holder knows by how much the two clocks differ at
most, and so when a renewal was sent at the latest, also one that it first sees
after an outage of the store. No clock is compared with the time of day.
"""

import asyncio
import time

from clementineline import errors
from clementineline.protocol import links

__all__ = ['LeaseManager', 'Term']

LEASE_KIND = 'lease'
LEASE_NAME = 'leader'
# Share of the lease duration by which the holder stops using the lease before
# a contender may acquire it.
SAFETY_SHARE = 0.25
# Delay before a failed renewal is retried; short, because the lease is about
# to lapse.
RENEWAL_RETRY_S = 0.05
# After an outage of the store, a contender waits this long from its last
# failed read, so that the holder can renew the lease first. A holder reaches a
# restored store within 1 s.
RENEWAL_GRACE_S = 1.2
# A read that takes longer was waiting for the end of an outage, and counts as
# failed: the holder's renewal may have waited as well. Well above the slowest
# responses of a store that is only slow, 0.25 s, since the holder may be dead.
SLOW_READ_S = 0.7
# Age of the holder's renewal time above which a stale read is repeated in
# full. A store that has lost its history serves stale reads that are 6 s old.
# Renewals are due every 0.6 s, and the clocks of the processes differ.
STALE_READ_AGE_S = 2.0
# Factor by which entries that are not candidates check the lease less often.
NON_CANDIDATE_INTERVAL_FACTOR = 20


# Holder of a lease object that another writer has made unreadable. It is
# replaced as one that does not renew its lease.
UNREADABLE_HOLDER = '(unreadable)'


def _get_holder(current):
    holder = current.value.get('holder')
    return holder if isinstance(holder, str) else UNREADABLE_HOLDER


def _get_sent_at(current):
    """Return what the holder's clock read at the renewal, None if unknown."""
    sent_at = current.value.get('sent_at')
    return sent_at if isinstance(sent_at, int | float) else None


def _get_fence(current):
    fence = current.value.get('fence')
    return fence if isinstance(fence, int) else 0


class Term:
    """The time for which no other process can have held the lease.

    It goes on when the lease lapses and is acquired again with no other holder
    in between, as after an outage of the store. State that a leader keeps is
    valid for one term only: the next holder records results that this one
    does not see.

    :param lease: the :class:`LeaseManager`, which may hold the lease now
    """

    __slots__ = ('_lease', '_takeovers')

    def __init__(self, lease):
        self._lease = lease
        self._takeovers = lease.takeovers

    @property
    def ended(self):
        """Whether another process may have held the lease since its start."""
        return self._lease.takeovers != self._takeovers

    @property
    def fence(self):
        """The fencing token of the lease, 0 if it is not held."""
        return 0 if self.ended else self._lease.fence

    def holds(self):
        """Return whether the lease is held and the term has not ended."""
        return not self.ended and self._lease.holds()


class LeaseManager:
    """Acquires, renews and releases the lease for this process.

    :param holder: name under which this process holds the lease; an entry
        appends its incarnation, a keeper does not
    :param platform: a :class:`~platform.PlatformClient`
    :param settings: a :class:`~settings.LeaseSettings`
    :param clock: a :class:`~clementineline.clocks.Clock`
    :param log: logger
    :param is_candidate: function that returns whether this process is one of
        the few that check the lease at the full rate
    :param address: ``HOST:PORT`` at which the holder answers other processes;
        empty to publish none
    :param read_time_of_day: function that returns the wall-clock time, in
        seconds since the epoch
    :param is_reachable: coroutine function that returns whether a process
        accepts connections at an ``HOST:PORT``; None to assume that it does
    :ivar acquired_at: clock time of the last acquisition, in seconds
    :ivar takeovers: number of times that another process was found to have
        held the lease, or may have
    """

    __slots__ = (
        '_clock',
        '_clock_difference_s',
        '_is_candidate',
        '_is_reachable',
        '_last_failure_at',
        '_log',
        '_platform',
        '_read_time_of_day',
        '_released_quiet_s',
        '_settings',
        '_term_seen',
        '_valid_until',
        '_version',
        '_version_seen_at',
        'acquired_at',
        'address',
        'fence',
        'holder',
        'known_fence',
        'known_holder',
        'possibly_taken_over',
        'quiet_s',
        'takeovers',
    )

    def __init__(
        self,
        holder,
        platform,
        settings,
        clock,
        log,
        is_candidate=lambda: True,
        address='',
        read_time_of_day=time.time,
        is_reachable=None,
    ):
        self.holder = holder
        self.address = address
        self._platform = platform
        self._read_time_of_day = read_time_of_day
        self._settings = settings
        self._clock = clock
        self._log = log
        self._is_candidate = is_candidate
        self._is_reachable = is_reachable
        # Holder and fencing token of the term that was last seen, and the
        # largest possible difference of this process's clock from the
        # holder's, in seconds.
        self._term_seen = None
        self._clock_difference_s = 0.0
        self._version = 0
        self._last_failure_at = None
        self._version_seen_at = None
        self._valid_until = 0.0
        self.acquired_at = 0.0
        self.fence = 0
        self.known_fence = 0
        self.known_holder = ''
        # Whether another process may have held the lease since this one last
        # held it.
        self.possibly_taken_over = True
        self.takeovers = 0
        # The rest of the quiet time that the last holder wrote on release.
        self._released_quiet_s = 0.0
        # Time after the acquisition during which no orders may be sent,
        # because orders of the previous holder may still be in transit.
        self.quiet_s = 0.0

    def holds(self):
        """Return whether this process holds the lease and may act on it."""
        return self.fence > 0 and self._clock.now() < self._valid_until

    async def run(self):
        """Acquire the lease when possible and renew it, until cancelled."""
        while True:
            try:
                await self.step()
            except errors.PlatformError as error:
                self._log.info('lease not renewed', reason=str(error))
                self._drop_lapsed()
                self._last_failure_at = self._clock.now()
                # A lease that has just lapsed is acquired again as soon as the
                # store responds, unless another process may have it.
                if self.fence or not self.possibly_taken_over:
                    await asyncio.sleep(RENEWAL_RETRY_S)
                    continue
            interval_s = self._settings.renew_s
            if not self.fence and not self._is_candidate():
                interval_s *= NON_CANDIDATE_INTERVAL_FACTOR
            await asyncio.sleep(links.jitter(interval_s))

    async def step(self):
        """Renew the lease if held, otherwise acquire it if possible."""
        self._drop_lapsed()
        if self.fence:
            await self._renew()
            return
        current = await self._read(stale=True)
        if self._looks_stale(current):
            current = await self._read(stale=False)
        now = self._clock.now()
        sent_at = self._bound_sending_time(current, now)
        version = current.version if current else 0
        if current is not None:
            self.known_holder = _get_holder(current)
            self.known_fence = _get_fence(current) or current.version
            self._released_quiet_s = self._get_quiet_s(current)
        if self.known_holder != self.holder:
            self._note_takeover()
        # A stale read may return a version older than one already seen.
        if version > self._version or self._version_seen_at is None:
            self._version = version
            self._version_seen_at = sent_at
        if not self._is_free(current):
            if now - self._version_seen_at < self._settings.duration_s:
                return
            if await self._should_wait_for_holder(current, now):
                return
        await self._acquire()

    def _bound_sending_time(self, current, now):
        """Return when the lease was written at the latest, on this clock.

        A renewal is seen after it was sent, so the difference of the clocks is
        at most that between any reading of a renewal and the time at which it
        was seen. The smallest one of a term bounds the others.

        :param current: the lease that was just read, or None
        :param now: time of this process's clock, in seconds
        """
        sent_at = _get_sent_at(current) if current else None
        if sent_at is None:
            self._term_seen = None
            return now
        term = _get_holder(current), _get_fence(current) or current.version
        difference_s = now - sent_at
        if term == self._term_seen:
            difference_s = min(difference_s, self._clock_difference_s)
        self._term_seen = term
        self._clock_difference_s = difference_s
        return min(now, sent_at + difference_s)

    async def _should_wait_for_holder(self, current, now):
        """Return whether the holder gets time to renew after an outage.

        The holder may have been unable to reach the store too. One that does
        not accept connections has probably ended during the outage.
        """
        if self._last_failure_at is None:
            return False
        if now - self._last_failure_at >= RENEWAL_GRACE_S:
            return False
        address = current.value.get('address')
        if self._is_reachable is None or not isinstance(address, str):
            return True
        return await self._is_reachable(address)

    async def _read(self, stale):
        started = self._clock.now()
        current = await self._platform.read(
            LEASE_KIND, LEASE_NAME, stale=stale
        )
        if self._clock.now() - started > SLOW_READ_S:
            self._last_failure_at = self._clock.now()
        return current

    def _looks_stale(self, current):
        """Return whether the read object may miss later renewals."""
        if current is None or self._is_free(current):
            return False
        renewed_at = current.value.get('renewed_at')
        if not isinstance(renewed_at, int | float):
            return False
        return self._read_time_of_day() - renewed_at > STALE_READ_AGE_S

    def _is_free(self, current):
        """Return whether no other holder has the lease.

        A lease under this holder's own name counts as free: an earlier
        process on the same VM left it.
        """
        if current is None:
            return True
        return _get_holder(current) in ('', self.holder)

    def _get_quiet_s(self, current):
        """Return the quiet time that the last holder wrote on release."""
        quiet_s = current.value.get('quiet_s', 0.0)
        if not isinstance(quiet_s, int | float):
            return self._settings.quiet_s
        return min(max(0.0, quiet_s), self._settings.quiet_s)

    async def _acquire(self):
        started = self._clock.now()
        try:
            # 0 stands for the version that this write creates, which becomes
            # the fencing token.
            version = await self._write(fence=0)
        except errors.WriteConflict:
            self._version_seen_at = None
            self._note_takeover()
            return
        self.quiet_s = self._released_quiet_s
        if self.known_holder not in ('', self.holder):
            # The previous holder may have sent an order just now.
            self.quiet_s = self._settings.quiet_s
        self._version = version
        self.acquired_at = self._clock.now()
        self.fence = version
        self.known_fence = version
        self.known_holder = self.holder
        self.possibly_taken_over = False
        self._extend(started)
        self._log.info('lease acquired', fence=version, holder=self.holder)

    async def _renew(self):
        try:
            await self._extend_by_write()
        except errors.WriteConflict as error:
            if await self._adopt_late_renewal():
                await self._extend_by_write()
                return
            self._log.warning('lease lost', reason=str(error))
            self._note_takeover()
            self._clear()

    async def _extend_by_write(self):
        started = self._clock.now()
        self._version = await self._write(fence=self.fence)
        self._extend(started)

    async def _adopt_late_renewal(self):
        """Adopt the version of an own renewal that took effect late.

        :returns: whether the lease is still this term's
        """
        current = await self._read(stale=False)
        if current is None or _get_holder(current) != self.holder:
            return False
        if _get_fence(current) != self.fence:
            return False
        self._version = current.version
        self._log.info('renewal took effect late', fence=self.fence)
        return True

    async def _write(self, fence):
        value = {
            'holder': self.holder,
            'fence': fence,
            'renewed_at': self._read_time_of_day(),
        }
        if self.address:
            value['address'] = self.address
        if self._clock.counts_suspension:
            # A clock that stops while the VM is suspended would make the next
            # renewal look older than it is.
            value['sent_at'] = self._clock.now()
        return await self._platform.write(
            LEASE_KIND, LEASE_NAME, value, self._version
        )

    def _extend(self, started):
        share = 1.0 - SAFETY_SHARE
        self._valid_until = started + self._settings.duration_s * share

    def _note_takeover(self):
        self.possibly_taken_over = True
        self.takeovers += 1

    def _drop_lapsed(self):
        if self.fence and self._clock.now() >= self._valid_until:
            self._log.warning('lease lapsed', fence=self.fence)
            self._clear()

    def _clear(self):
        self.fence = 0
        self._valid_until = 0.0
        self._version_seen_at = None

    async def release(self, order_age_s=0.0):
        """Release the lease, so that another process can acquire it at once.

        :param order_age_s: seconds since the last order was sent
        """
        if not self.holds():
            return
        value = {
            'holder': '',
            'fence': self.fence,
            'quiet_s': max(0.0, self._settings.quiet_s - order_age_s),
        }
        self._valid_until = 0.0
        self._note_takeover()
        try:
            await self._platform.write(
                LEASE_KIND, LEASE_NAME, value, self._version
            )
        except errors.PlatformError as error:
            self._log.info('lease not released', reason=str(error))
        self.fence = 0
