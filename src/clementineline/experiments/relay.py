"""TCP relay whose connections experiments and tests can disrupt."""

import asyncio
import contextlib

from clementineline.transport import frames

__all__ = ['Relay']


class Relay:
    """Forwards TCP connections to a target and can disrupt them.

    A silenced connection stays open, but all of its bytes are discarded, as
    by a middlebox that has lost the state of the connection.

    :param target: :class:`~frames.Address` to which connections are forwarded
    :ivar refuses: whether new connections are aborted
    :ivar delay_s: time by which all bytes are delayed, in seconds
    """

    def __init__(self, target):
        self.refuses = False
        self.delay_s = 0.0
        self._target = target
        self._pairs = []
        self._tasks = []
        self._server = None
        self.connections = 0
        self.address = None

    async def start(self):
        """Listen on a free port and set ``address``."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = frames.Address('127.0.0.1', port)

    async def _serve(self, reader, writer):
        self.connections += 1
        if self.refuses:
            writer.transport.abort()
            return
        try:
            target = await asyncio.open_connection(
                self._target.host, self._target.port
            )
        except OSError:
            # As if there were no relay.
            writer.transport.abort()
            return
        pair = {'silent': (), 'writers': (writer, target[1])}
        self._pairs.append(pair)
        self._tasks += [
            asyncio.create_task(self._copy(pair, 'to', reader, target[1])),
            asyncio.create_task(self._copy(pair, 'from', target[0], writer)),
        ]

    async def _copy(self, pair, direction, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if direction not in pair['silent']:
                    writer.write(data)
            writer.close()

    def silence(self, directions=('to', 'from')):
        """Discard all further bytes of the current connections.

        :param directions: ``to`` the target, ``from`` it, or both
        """
        for pair in self._pairs:
            pair['silent'] = directions

    def cut(self):
        """Abort the current connections."""
        for pair in self._pairs:
            for writer in pair['writers']:
                writer.transport.abort()

    async def stop(self):
        """Stop listening and abort all connections."""
        self._server.close()
        self.cut()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
