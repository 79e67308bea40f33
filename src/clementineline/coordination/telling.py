"""Telling other processes the limits that endpoints name."""

import asyncio

from clementineline.coordination import permits
from clementineline.state import questions

__all__ = ['BACKOFF_S', 'LimitTeller', 'decode_limit', 'encode_limit']

# Time without questions to a member that did not answer.
BACKOFF_S = 2.0
# Changes of limits within this time are told in one message.
TELL_DELAY_S = 0.05


def encode_limit(known, now):
    """Encode a limit with durations, since processes compare no clocks.

    :param known: a :class:`~permits.KnownLimit`
    :param now: loop time, in seconds
    """
    return questions.StatedLimit(
        known.rate, now - known.named_at, now - known.since
    )


def decode_limit(stated, now):
    """Decode a limit that another process stated."""
    return permits.KnownLimit(
        stated.rate, now - stated.age_s, now - stated.lasted_s
    )


class LimitTeller:
    """Tells limits to members until they have acknowledged them.

    A process that is paused when a limit is named would otherwise send
    requests beyond it later.

    :param members: the :class:`~members.MemberRegistry`
    :param ask: coroutine function from a member's name and a question to the
        answer, which is None if there is none
    :param start: function that starts a coroutine as a task
    """

    __slots__ = ('_ask', '_members', '_news', '_start', '_untold')

    def __init__(self, members, ask, start):
        self._ask = ask
        self._members = members
        self._start = start
        # Limits that are about to be told to all members, by endpoint id,
        # and those that a member has not acknowledged, by its name.
        self._news = {}
        self._untold = {}

    def tell_all(self, endpoint_id, known):
        """Tell all members a limit or its end.

        :param known: the :class:`~permits.KnownLimit`
        """
        if not self._news:
            self._start(self._tell_news())
        self._news[endpoint_id] = known

    async def _tell_news(self):
        await asyncio.sleep(TELL_DELAY_S)
        news, self._news = self._news, {}
        for name in self._members.addresses:
            if name in self._untold:
                self._untold[name].update(news)
                continue
            self._untold[name] = dict(news)
            self._start(self._tell_member(name))

    async def _tell_member(self, name):
        untold = self._untold[name]
        try:
            while untold and name in self._members.addresses:
                told = dict(untold)
                if not await self.tell(name, told):
                    await asyncio.sleep(BACKOFF_S)
                    continue
                for endpoint_id, known in told.items():
                    if untold[endpoint_id] is known:
                        del untold[endpoint_id]
        finally:
            del self._untold[name]

    async def tell(self, name, limits):
        """Tell a member limits.

        :param limits: dict from endpoint id to its
            :class:`~permits.KnownLimit`
        :returns: whether the member has acknowledged them
        """
        now = asyncio.get_running_loop().time()
        stated = {}
        for endpoint_id, known in limits.items():
            stated[endpoint_id] = encode_limit(known, now)
        return await self._ask(name, questions.TellLimits(stated)) is not None
