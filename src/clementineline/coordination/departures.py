"""Members that are gone for good, removed from the list by the leader.

A VM that is replaced leaves its entry behind. The leader looks whether each
member still accepts connections, a few at a time, so that this does not grow
with the fleet. A member that was only cut off finds itself missing and
registers again.
"""

import asyncio

from clementineline import errors
from clementineline.protocol import links
from clementineline.transport import channels
from clementineline.transport import frames

__all__ = ['DepartedMemberRemover']

TICK_S = 2.0
MEMBERS_A_TICK = 2
CONNECT_TIMEOUT_S = 0.5
# Planned and unplanned restarts take seconds, the longest outages on the
# sheets ten.
GONE_AFTER_S = 60.0


async def _answers(address):
    """Whether a process accepts connections at an address."""
    try:
        channel = await channels.open_channel(
            frames.parse_address(address), CONNECT_TIMEOUT_S
        )
    except (errors.ConnectionLost, errors.SettingsError):
        return False
    channel.close()
    return True


class DepartedMemberRemover:
    """Removes members that have not answered for a minute.

    :param members: the :class:`~members.MemberRegistry`
    :param may_lead: function that returns whether the lease is held
    :param clock: a :class:`~clementineline.clocks.Clock`
    :param log: logger
    :param answers: coroutine function from an address to whether it answers
    """

    __slots__ = (
        '_answers',
        '_clock',
        '_log',
        '_may_lead',
        '_members',
        '_next',
        '_silent_since',
    )

    def __init__(self, members, may_lead, clock, log, answers=_answers):
        self._answers = answers
        self._clock = clock
        self._log = log
        self._may_lead = may_lead
        self._members = members
        self._next = ''
        self._silent_since = {}

    async def run(self):
        """Look at the members, a few at a time, until cancelled."""
        while True:
            await asyncio.sleep(links.jitter(TICK_S))
            if not self._may_lead():
                # What was seen before another leader came may be old.
                self._silent_since.clear()
                continue
            for name in self._choose():
                await self._look_at(name)

    def _choose(self):
        """Return the next members in turn."""
        names = sorted(self._members.addresses)
        later = [name for name in names if name > self._next]
        chosen = (later or names)[:MEMBERS_A_TICK]
        self._next = chosen[-1] if chosen else ''
        return chosen

    async def _look_at(self, name):
        address = self._members.addresses.get(name)
        if address is None or await self._answers(address):
            self._silent_since.pop(name, None)
            return
        now = self._clock.now()
        since = self._silent_since.setdefault(name, now)
        if now - since < GONE_AFTER_S:
            return
        try:
            await self._members.remove(name)
        except errors.PlatformError as error:
            self._log.info('member not removed', member=name, e=str(error))
            return
        self._silent_since.pop(name, None)
        self._log.info(
            'member removed', member=name, silent_s=round(now - since)
        )
