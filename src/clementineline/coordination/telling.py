"""Telling other processes what this one has learnt."""

import asyncio

from clementineline.coordination import permits
from clementineline.state import questions

__all__ = [
    'BACKOFF_S',
    'TELL_DELAY_S',
    'Teller',
    'build_limits_question',
    'decode_limit',
    'encode_limit',
]

# Time without questions to a member that did not answer.
BACKOFF_S = 2.0
# Changes within this time are told in one message.
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


def build_limits_question(limits):
    """Build the question that tells limits.

    :param limits: dict from endpoint id to its :class:`~permits.KnownLimit`
    """
    now = asyncio.get_running_loop().time()
    stated = {}
    for endpoint_id, known in limits.items():
        stated[endpoint_id] = encode_limit(known, now)
    return questions.TellLimits(stated)


class Teller:
    """Tells news to members until they have acknowledged them.

    A process that is paused at that time would otherwise act without them
    later.

    :param members: the :class:`~members.MemberRegistry`
    :param ask: coroutine function from a member's name and a question to the
        answer, which is None if there is none
    :param start: function that starts a coroutine as a task
    :param build_question: function from a dict of news to the question that
        tells them
    :param delay_s: time for which news are collected, in seconds
    """

    __slots__ = (
        '_ask',
        '_build_question',
        '_delay_s',
        '_members',
        '_news',
        '_start',
        '_untold',
    )

    def __init__(self, members, ask, start, build_question, delay_s):
        self._ask = ask
        self._build_question = build_question
        self._delay_s = delay_s
        self._members = members
        self._start = start
        # News that are about to be told to all members, by what they are
        # about, and those that a member has not acknowledged, by its name.
        self._news = {}
        self._untold = {}

    def tell_all(self, subject, known):
        """Tell all members what is known about a subject now.

        :param known: replaces what was told before; a new object at each call
        """
        if not self._news:
            self._start(self._tell_news())
        self._news[subject] = known

    async def _tell_news(self):
        await asyncio.sleep(self._delay_s)
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
                for subject, known in told.items():
                    if untold[subject] is known:
                        del untold[subject]
        finally:
            del self._untold[name]

    async def tell(self, name, news):
        """Tell a member some news.

        :param news: dict from subject to what is known about it
        :returns: whether the member has acknowledged them
        """
        question = self._build_question(news)
        return await self._ask(name, question) is not None
