"""Requests to the leader, which owns all submissions."""

import asyncio

from clementineline.coordination import lease
from clementineline import errors
from clementineline.protocol import asking
from clementineline.state import questions
from clementineline.transport import frames

__all__ = ['LeaderClient']

LOOKUP_INTERVAL_S = 0.3
ANSWER_TIMEOUT_S = 0.8


class LeaderClient:
    """Finds the leader and sends it requests.

    The lease object in the store holds the leader's address.

    :param store: the client of the platform's store
    :param log: logger
    """

    __slots__ = ('_address', '_asker', '_last_lookup_at', '_log', '_store')

    def __init__(self, store, log):
        self._store = store
        self._log = log
        self._address = None
        self._asker = None
        self._last_lookup_at = None

    async def ask(self, question, wait_s=0.0):
        """Send a question to the leader and return its answer.

        :param wait_s: longest time that the leader may wait before it answers,
            in seconds
        :raises errors.ClementinelineError: if no leader answers
        """
        asker = await self._get_asker()
        try:
            answer = await asker.ask(question, wait_s + ANSWER_TIMEOUT_S)
        except errors.ProtocolError as error:
            self._drop_asker(asker, str(error))
            raise
        if isinstance(answer, questions.NotLeading):
            self._drop_asker(asker, answer.reason)
            raise errors.NotReady(f'not leading: {answer.reason}')
        return answer

    async def _get_asker(self):
        if self._asker is not None:
            return self._asker
        now = asyncio.get_running_loop().time()
        if self._last_lookup_at is not None:
            if now - self._last_lookup_at < LOOKUP_INTERVAL_S:
                raise errors.NotReady('no leader is known')
        self._last_lookup_at = now
        found = await self._store.read(lease.LEASE_KIND, lease.LEASE_NAME)
        if found is None or not found.value.get('address'):
            raise errors.NotReady('nobody leads')
        address = found.value['address']
        if self._asker is None:
            self._log.info(
                'leader found',
                holder=found.value.get('holder'),
                address=address,
                version=found.version,
            )
            self._address = address
            self._asker = asking.QuestionClient(
                frames.parse_address(address), questions.Answer
            )
        return self._asker

    def _drop_asker(self, asker, reason):
        if self._asker is not asker:
            return
        self._log.info('leader lost', address=self._address, reason=reason)
        self._asker = None
        asker.close()
