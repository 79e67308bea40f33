"""Stating the requests of a gateway to the keepers.

The gateway states its counts to one keeper, that which leads as far as the
gateway knows. Another keeper keeps them as well and names the leader, so no
read of the platform's store is needed to find it.
"""

import asyncio
import time

from clementineline.coordination import peers
from clementineline import errors
from clementineline.state import questions

__all__ = ['UsagePusher']

PUSH_INTERVAL_S = 1.0
ANSWER_TIMEOUT_S = 0.8
# The process is killed 0.8 s after its last request has ended.
STOP_TIMEOUT_S = 0.4
# Time without questions to a keeper that did not answer.
BACKOFF_S = 2.0
# Keepers that are asked for the leader in one interval.
TRIES_MAX = 3


class UsagePusher:
    """States the counts of a gateway until it stops.

    :param name: name of the gateway
    :param incarnation: number that is higher at each start
    :param meter: the :class:`~usage.UsageMeter`
    :param members: the :class:`~members.MemberRegistry`
    :param get_busy: function that returns the number of requests that run
        now, by service
    :param log: logger
    """

    __slots__ = (
        '_get_busy',
        '_incarnation',
        '_leader',
        '_log',
        '_members',
        '_meter',
        '_name',
        '_peers',
        '_stated_through',
        '_was_busy',
    )

    def __init__(self, name, incarnation, meter, members, get_busy, log):
        self._get_busy = get_busy
        self._incarnation = incarnation
        # The keeper that has got all changes so far, None if there is none.
        self._leader = None
        self._log = log
        self._members = members
        self._meter = meter
        self._name = name
        self._peers = peers.PeerClients(members, BACKOFF_S)
        self._stated_through = -1
        self._was_busy = False

    async def run(self):
        """State changes until cancelled."""
        while True:
            await asyncio.sleep(PUSH_INTERVAL_S)
            self._meter.forget()
            await self.push()

    def build_statement(self, windows, final=False):
        """Build the statement of some windows.

        :param windows: counts by organisation, by window
        :param final: whether nothing more is counted
        :returns: the :class:`~questions.StatedUsage`
        """
        return questions.StatedUsage(
            self._name,
            self._incarnation,
            self._meter.get_complete_through(),
            windows,
            final,
            self._get_busy(),
            time.time(),
        )

    async def push(self):
        """State the changes to the leader, or all counts to a new one."""
        names = self._members.list_keepers()
        if self._leader in names:
            names.remove(self._leader)
            names.insert(0, self._leader)
        tried = set()
        while names and len(tried) < TRIES_MAX:
            name = names.pop(0)
            if name in tried or not self._peers.may_ask(name):
                continue
            tried.add(name)
            answer = await self._state_to(name)
            if isinstance(answer, questions.UsageKept):
                if name != self._leader:
                    self._log.info('usage stated to a new leader', member=name)
                self._leader = name
                self._meter.forget(answer.fixed_through)
                return
            if isinstance(answer, questions.NotLeading):
                # The reason names the leader that the keeper knows.
                names.insert(0, answer.reason)
        self._leader = None

    async def _state_to(self, name):
        """State the counts to a keeper.

        :returns: the answer, None if there is none; UsageKept also if there
            was nothing to state
        """
        if name == self._leader:
            windows = self._meter.take_changes()
        else:
            windows = self._meter.list_all()
        stated = self.build_statement(windows)
        news = (
            windows
            or stated.busy
            or self._was_busy
            or name != self._leader
            or stated.complete_through > self._stated_through
        )
        if not news:
            return questions.UsageKept(-1)
        answer = await self._ask(name, stated)
        if isinstance(answer, questions.UsageKept):
            self._stated_through = stated.complete_through
            self._was_busy = bool(stated.busy)
        else:
            # The next statement holds everything.
            self._leader = None
        return answer

    async def _ask(self, name, stated, timeout_s=ANSWER_TIMEOUT_S):
        try:
            return await self._peers.ask(
                name, questions.TellUsage(stated), timeout_s
            )
        except errors.ConnectionLost as error:
            self._log.info('usage not stated', member=name, reason=str(error))
            return None

    async def stop(self):
        """State all counts to all keepers, as nothing more is counted.

        A leader that ends before it reports them would take them with it.
        """
        stated = self.build_statement(self._meter.list_all(), final=True)
        async with asyncio.TaskGroup() as group:
            for name in self._members.list_keepers():
                group.create_task(self._ask(name, stated, STOP_TIMEOUT_S))

    def answer(self):
        """Return the answer to :class:`~questions.ReadUsage`."""
        stated = self.build_statement(self._meter.list_all())
        return questions.UsageAnswer([stated])
