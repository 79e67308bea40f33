"""Finding the owner of submissions, and asking it."""

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
    """Asks whoever holds the lease; the lease object names its address.

    :param store: the client of the platform's store
    :param log: logger
    """

    __slots__ = ('_address', '_asker', '_log', '_looked_at', '_store')

    def __init__(self, store, log):
        self._store = store
        self._log = log
        self._address = None
        self._asker = None
        self._looked_at = None

    async def ask(self, question, wait_s=0.0):
        """Ask the leader.

        :param wait_s: how long it may hold its answer back, in seconds
        :raises errors.ClementinelineError: if no leader answers
        """
        asker = await self._find()
        try:
            answer = await asker.ask(question, wait_s + ANSWER_TIMEOUT_S)
        except errors.ProtocolError as error:
            self._forget(asker, str(error))
            raise
        if isinstance(answer, questions.NotLeading):
            self._forget(asker, answer.reason)
            raise errors.NotReady(f'not leading: {answer.reason}')
        return answer

    async def _find(self):
        if self._asker is not None:
            return self._asker
        now = asyncio.get_running_loop().time()
        if self._looked_at is not None:
            if now - self._looked_at < LOOKUP_INTERVAL_S:
                raise errors.NotReady('no leader is known')
        self._looked_at = now
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
            self._asker = asking.Asker(
                frames.parse_address(address), questions.Answer
            )
        return self._asker

    def _forget(self, asker, reason):
        if self._asker is not asker:
            return
        self._log.info('leader lost', address=self._address, reason=reason)
        self._asker = None
        asker.close()
