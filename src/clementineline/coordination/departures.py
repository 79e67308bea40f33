"""Removal of departed members from the store by the leader.

A VM that is replaced does not remove its member object. The leader probes
whether each member still accepts connections, a few members per round, so
that the load does not grow with the fleet. A member that was only unreachable
notices that its object is missing and registers again.
"""

import asyncio

from clementineline import errors
from clementineline.protocol import links
from clementineline.transport import frames

__all__ = ['DepartedMemberRemover']

PROBE_INTERVAL_S = 2.0
MEMBERS_PER_ROUND = 2
CONNECT_TIMEOUT_S = 0.5
# Restarts take seconds and the longest expected outages 10 s, so a member that
# is unreachable for this time is gone.
UNREACHABLE_TIMEOUT_S = 60.0


async def _accepts_connections(address):
    return await frames.accepts_connections(address, CONNECT_TIMEOUT_S)


class DepartedMemberRemover:
    """Removes members that have accepted no connection for a minute.

    :param members: the :class:`~members.MemberRegistry`
    :param may_lead: function that returns whether the lease is held
    :param clock: a :class:`~clementineline.clocks.Clock`
    :param log: logger
    :param probe: coroutine function that returns whether a process accepts
        connections at an address
    """

    __slots__ = (
        '_clock',
        '_last_checked',
        '_log',
        '_may_lead',
        '_members',
        '_probe',
        '_unreachable_since',
    )

    def __init__(
        self, members, may_lead, clock, log, probe=_accepts_connections
    ):
        self._probe = probe
        self._clock = clock
        self._log = log
        self._may_lead = may_lead
        self._members = members
        self._last_checked = ''
        self._unreachable_since = {}

    async def run(self):
        """Check the members, a few per round, until cancelled."""
        while True:
            await asyncio.sleep(links.jitter(PROBE_INTERVAL_S))
            if not self._may_lead():
                # The times may be outdated when this process leads again.
                self._unreachable_since.clear()
                continue
            for name in self._select_members():
                await self._check(name)

    def _select_members(self):
        """Return the names to check in this round, in cyclic order."""
        names = sorted(self._members.addresses)
        later = [name for name in names if name > self._last_checked]
        chosen = (later or names)[:MEMBERS_PER_ROUND]
        self._last_checked = chosen[-1] if chosen else ''
        return chosen

    async def _check(self, name):
        address = self._members.addresses.get(name)
        if address is None or await self._probe(address):
            self._unreachable_since.pop(name, None)
            return
        now = self._clock.now()
        since = self._unreachable_since.setdefault(name, now)
        if now - since < UNREACHABLE_TIMEOUT_S:
            return
        try:
            await self._members.remove(name)
        except errors.PlatformError as error:
            self._log.info('member not removed', member=name, e=str(error))
            return
        self._unreachable_since.pop(name, None)
        self._log.info(
            'member removed', member=name, silent_s=round(now - since)
        )
