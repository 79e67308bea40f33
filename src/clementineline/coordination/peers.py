"""Questions to other members, with a pause after a member did not answer."""

import asyncio

from clementineline import errors
from clementineline.protocol import asking
from clementineline.state import questions
from clementineline.transport import frames

__all__ = ['PeerClients']


class PeerClients:
    """Connections to other members, by name.

    :param members: the :class:`~members.MemberRegistry`
    :param backoff_s: time without questions to a member that did not answer,
        in seconds
    """

    __slots__ = ('_backoff_s', '_clients', '_members', '_retry_at')

    def __init__(self, members, backoff_s):
        self._members = members
        self._backoff_s = backoff_s
        self._clients = {}
        self._retry_at = {}

    def may_ask(self, name):
        """Return whether a member is known and not in backoff."""
        now = asyncio.get_running_loop().time()
        known = name in self._members.addresses
        return known and now >= self._retry_at.get(name, 0.0)

    async def ask(self, name, question, timeout_s):
        """Send a question to a member and return its answer.

        :param timeout_s: time limit with the connection's, in seconds
        :raises errors.ConnectionLost: if there was no answer in time
        """
        address = self._members.addresses.get(name)
        if address is None:
            raise errors.ConnectionLost(f'member {name!r} is not known')
        known, client = self._clients.get(name, (None, None))
        if known != address:
            client = asking.QuestionClient(
                frames.parse_address(address), questions.Answer
            )
            self._clients[name] = (address, client)
        try:
            async with asyncio.timeout(timeout_s):
                return await client.ask(question, timeout_s)
        except (errors.ProtocolError, TimeoutError) as error:
            self._drop(name, client)
            raise errors.ConnectionLost(f'{name}: {error!r}') from error

    def _drop(self, name, client):
        now = asyncio.get_running_loop().time()
        self._retry_at[name] = now + self._backoff_s
        if self._clients.get(name, (None, None))[1] is client:
            del self._clients[name]
        client.close()
