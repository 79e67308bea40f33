"""A TCP relay that experiments and tests can break."""

import asyncio
import contextlib

from clementineline.transport import frames

__all__ = ['Relay']


class Relay:
    """A TCP relay between two processes that a test can break.

    ``silent`` swallows all bytes while the connections stay open, as a
    middlebox does that has lost track of them.

    :param target: the :class:`~frames.Address` to pass connections on to
    """

    def __init__(self, target):
        self._target = target
        self._pairs = []
        self._tasks = []
        self._server = None
        self.connections = 0
        self.address = None

    async def start(self):
        """Listen on a free port."""
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
        """Swallow all bytes of the connections that are open now."""
        for pair in self._pairs:
            pair['silent'] = True

    def cut(self):
        """Drop the connections that are open now."""
        for pair in self._pairs:
            for writer in pair['writers']:
                writer.transport.abort()

    async def stop(self):
        """Drop everything."""
        self._server.close()
        self.cut()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
