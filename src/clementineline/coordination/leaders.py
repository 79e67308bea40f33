"""Requests to the leader, which owns all submissions."""

import asyncio

from clementineline.coordination import lease
from clementineline import errors
from clementineline.protocol import asking
from clementineline.state import questions
from clementineline.transport import frames

__all__ = ['LeaderClient']

# Shortest time between two reads of the lease object.
LOOKUP_INTERVAL_MIN_S = 0.3
# Added to the time that the leader may wait before it answers.
ANSWER_TIMEOUT_S = 0.8


class LeaderClient:
    """Finds the leader and sends it requests.

    The lease object in the store holds the leader's address.

    :param store: the client of the platform's store
    :param log: logger
    """

    __slots__ = ('_address', '_client', '_last_lookup_at', '_log', '_store')

    def __init__(self, store, log):
        self._store = store
        self._log = log
        self._address = None
        self._client = None
        self._last_lookup_at = None

    async def ask(self, question, wait_s=0.0):
        """Send a question to the leader and return its answer.

        :param wait_s: longest time that the leader may wait before it answers,
            in seconds
        :raises errors.ClementinelineError: if no leader answers
        """
        client = await self._get_client()
        try:
            answer = await client.ask(question, wait_s + ANSWER_TIMEOUT_S)
        except errors.ProtocolError as error:
            self._drop_client(client, str(error))
            raise
        if isinstance(answer, questions.NotLeading):
            self._drop_client(client, answer.reason)
            raise errors.NotReady(f'not leading: {answer.reason}')
        return answer

    async def _get_client(self):
        if self._client is not None:
            return self._client
        now = asyncio.get_running_loop().time()
        if self._last_lookup_at is not None:
            if now - self._last_lookup_at < LOOKUP_INTERVAL_MIN_S:
                raise errors.NotReady('no leader is known')
        self._last_lookup_at = now
        found = await self._store.read(lease.LEASE_KIND, lease.LEASE_NAME)
        address = found.value.get('address') if found else None
        if not address or not isinstance(address, str):
            raise errors.NotReady('nobody leads')
        if self._client is None:
            self._log.info(
                'leader found',
                holder=found.value.get('holder'),
                address=address,
                version=found.version,
            )
            self._address = address
            self._client = asking.QuestionClient(
                frames.parse_address(address), questions.Answer
            )
        return self._client

    def _drop_client(self, client, reason):
        if self._client is not client:
            return
        self._log.info('leader lost', address=self._address, reason=reason)
        self._client = None
        client.close()
