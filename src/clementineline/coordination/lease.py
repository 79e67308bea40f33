"""The leader's lease, kept as one object of the platform.

A contender takes the lease only when the object has not changed for the
lease's duration on its own clock. The time of day that the holder writes
beside it is a hint alone: where it looks old, a read that may be stale, and
that costs a tenth, is done again in full. The version of the object at its
acquisition is the fencing number of every order.
"""

import asyncio
import time

from clementineline import errors
from clementineline.protocol import links

__all__ = ['LeaseManager']

LEASE_KIND = 'lease'
LEASE_NAME = 'leader'
# A holder stops this share of the duration before a contender may start.
SAFETY_SHARE = 0.25
# A holder whose renewal failed tries again at once: its time runs out.
RETRY_S = 0.05
# A holder finds the store within a second of its return.
RENEWAL_GRACE_S = 1.2
# A store that forgets its history serves reads that are six seconds old; a
# renewal is due each 0.6 s, and clocks differ.
STALE_HINT_S = 2.0
# Entries that are no candidates look at the lease this much less often.
OTHERS_FACTOR = 20


class LeaseManager:
    """Contends for the lease and renews it.

    :param holder: name of this process, with its incarnation
    :param platform: a :class:`~platform.PlatformClient`
    :param settings: a :class:`~settings.LeaseSettings`
    :param clock: a :class:`~clementineline.clocks.Clock`
    :param log: logger
    :param is_candidate: function that returns whether this entry is one of
        the few that contend at the full rate
    :param address: ``HOST:PORT`` at which the holder answers peers
    :param read_time_of_day: function that returns seconds since the epoch
    """

    __slots__ = (
        '_clock',
        '_failed_at',
        '_is_candidate',
        '_log',
        '_observed_at',
        '_platform',
        '_read_time_of_day',
        '_released_quiet_s',
        '_settings',
        '_valid_until',
        '_version',
        'address',
        'fence',
        'holder',
        'interrupted',
        'known_fence',
        'known_holder',
        'quiet_s',
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
    ):
        self.holder = holder
        self.address = address
        self._platform = platform
        self._read_time_of_day = read_time_of_day
        self._settings = settings
        self._clock = clock
        self._log = log
        self._is_candidate = is_candidate
        self._version = 0
        self._failed_at = None
        self._observed_at = None
        self._valid_until = 0.0
        self.fence = 0
        self.known_fence = 0
        self.known_holder = ''
        # Whether somebody else may have held it since it was held here.
        self.interrupted = True
        self._released_quiet_s = 0.0
        self.quiet_s = 0.0

    def holds(self):
        """Return whether the lease is held beyond doubt at this moment."""
        return self.fence > 0 and self._clock.now() < self._valid_until

    async def run(self):
        """Contend for the lease and renew it until cancelled."""
        while True:
            try:
                await self.step()
            except errors.PlatformError as error:
                self._log.info('lease not renewed', reason=str(error))
                self._drop_lapsed()
                self._failed_at = self._clock.now()
                if self.fence:
                    await asyncio.sleep(RETRY_S)
                    continue
            interval_s = self._settings.renew_s
            if not self.fence and not self._is_candidate():
                interval_s *= OTHERS_FACTOR
            await asyncio.sleep(links.jitter(interval_s))

    async def step(self):
        """Renew the lease if it is held, else look whether it is free."""
        self._drop_lapsed()
        if self.fence:
            await self._renew()
            return
        current = await self._platform.read(LEASE_KIND, LEASE_NAME, stale=True)
        if self._may_be_old(current):
            current = await self._platform.read(LEASE_KIND, LEASE_NAME)
        now = self._clock.now()
        version = current.version if current else 0
        if current is not None:
            self.known_holder = current.value['holder']
            self.known_fence = current.value['fence'] or current.version
            self._released_quiet_s = current.value.get('quiet_s', 0.0)
        if self.known_holder != self.holder:
            self.interrupted = True
        # A stale answer may be older than what was seen before.
        if version > self._version or self._observed_at is None:
            self._version = version
            self._observed_at = now
            if not self._is_free(current):
                return
        if not self._is_free(current):
            if now - self._observed_at < self._settings.duration_s:
                return
            if self._failed_at is not None:
                # Its holder could not renew it either.
                if now - self._failed_at < RENEWAL_GRACE_S:
                    return
        await self._acquire()

    def _may_be_old(self, current):
        """Whether a read looks older than a holder's last renewal."""
        if current is None or self._is_free(current):
            return False
        renewed_at = current.value.get('renewed_at')
        if renewed_at is None:
            return False
        return self._read_time_of_day() - renewed_at > STALE_HINT_S

    def _is_free(self, current):
        """Whether nobody else holds it.

        A holder is one VM: what an earlier process of it held is free.
        """
        if current is None:
            return True
        return current.value['holder'] in ('', self.holder)

    async def _acquire(self):
        started = self._clock.now()
        try:
            # The fence is the version that this very write gets.
            version = await self._write(fence=0)
        except errors.WriteConflict:
            self._observed_at = None
            self.interrupted = True
            return
        self.quiet_s = self._released_quiet_s
        if self.known_holder not in ('', self.holder):
            # Its orders may be as young as this moment.
            self.quiet_s = self._settings.quiet_s
        self._version = version
        self.fence = version
        self.known_fence = version
        self.known_holder = self.holder
        self.interrupted = False
        self._extend(started)
        self._log.info('lease acquired', fence=version, holder=self.holder)

    async def _renew(self):
        started = self._clock.now()
        try:
            self._version = await self._write(fence=self.fence)
        except errors.WriteConflict as error:
            self._log.warning('lease lost', reason=str(error))
            self.interrupted = True
            self._forget()
            return
        self._extend(started)

    async def _write(self, fence):
        value = {
            'holder': self.holder,
            'fence': fence,
            'renewed_at': self._read_time_of_day(),
        }
        if self.address:
            value['address'] = self.address
        return await self._platform.write(
            LEASE_KIND, LEASE_NAME, value, self._version
        )

    def _extend(self, started):
        share = 1.0 - SAFETY_SHARE
        self._valid_until = started + self._settings.duration_s * share

    def _drop_lapsed(self):
        if self.fence and self._clock.now() >= self._valid_until:
            self._log.warning('lease lapsed', fence=self.fence)
            self._forget()

    def _forget(self):
        self.fence = 0
        self._valid_until = 0.0
        self._observed_at = None

    async def release(self, order_age_s=0.0):
        """Give the lease up, so that another entry takes it at once.

        :param order_age_s: how long ago the last order was sent
        """
        if not self.holds():
            return
        value = {
            'holder': '',
            'fence': self.fence,
            'quiet_s': max(0.0, self._settings.quiet_s - order_age_s),
        }
        self._valid_until = 0.0
        self.interrupted = True
        try:
            await self._platform.write(
                LEASE_KIND, LEASE_NAME, value, self._version
            )
        except errors.PlatformError as error:
            self._log.info('lease not released', reason=str(error))
        self.fence = 0
