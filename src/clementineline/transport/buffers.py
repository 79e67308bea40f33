"""A limit on the bytes of all responses that a process is receiving."""

from clementineline import errors

__all__ = ['BufferBudget']


class BufferBudget:
    """Bytes that unfinished responses may hold together.

    An endpoint in trouble may send a body without end to each of its
    requests. Once the limit is reached, the largest response is ended, so
    that usual ones go on.

    :param limit_bytes: the limit
    :ivar used_bytes: bytes held now
    :ivar ended: number of responses ended because of the limit
    """

    __slots__ = ('_held', 'ended', 'limit_bytes', 'used_bytes')

    def __init__(self, limit_bytes):
        # Bytes by the client that receives them.
        self._held = {}
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.ended = 0

    def add(self, client, count):
        """Add received bytes; end the largest responses if there is no room.

        :param client: the :class:`~outgoing.Client` that received them
        :param count: number of bytes
        :raises errors.ProtocolError: if the response of the client is ended
        """
        self._held[client] = self._held.get(client, 0) + count
        self.used_bytes += count
        while self.used_bytes > self.limit_bytes:
            largest = max(self._held, key=self._held.get)
            size = self._held[largest]
            self.remove(largest)
            self.ended += 1
            if largest is client:
                raise errors.ProtocolError(
                    f'response ended after {size} bytes: responses may hold '
                    f'{self.limit_bytes} bytes together'
                )
            largest.close()

    def remove(self, client):
        """Forget the bytes of a client whose response has ended."""
        self.used_bytes -= self._held.pop(client, 0)
