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
    """

    def __init__(self, target):
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
        target = await asyncio.open_connection(
            self._target.host, self._target.port
        )
        pair = {'silent': False, 'writers': (writer, target[1])}
        self._pairs.append(pair)
        self._tasks += [
            asyncio.create_task(self._copy(pair, reader, target[1])),
            asyncio.create_task(self._copy(pair, target[0], writer)),
        ]

    async def _copy(self, pair, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if not pair['silent']:
                    writer.write(data)
            writer.close()

    def silence(self):
        """Discard all further bytes of the current connections."""
        for pair in self._pairs:
            pair['silent'] = True

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
