"""A proxy before the store for one machine, which can fall silent."""

import asyncio

from clementineline.platform.tests import standin

__all__ = ['Gate']


class Gate:
    """Forwards connections; while silent, it forwards nothing.

    Connections of before stay silent for good, new ones are accepted and get
    no answer. It stands for a store that does not answer one machine.

    :param target: ``HOST:PORT`` of the store
    :param host: loopback address to listen at
    """

    def __init__(self, target, host):
        self._target = target
        self._host = host
        self.port = standin.find_free_port()
        self.address = f'{host}:{self.port}'
        self._silent = False
        # Set once the connections of now have to stay silent.
        self._mute = asyncio.Event()
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self._host, self.port
        )

    def set_silent(self, silent):
        """Fall silent, or serve new connections again."""
        self._silent = silent
        if silent:
            self._mute.set()
            self._mute = asyncio.Event()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        mute = self._mute
        try:
            if self._silent:
                await self._wait_closed(reader)
                return
            host, _, port = self._target.rpartition(':')
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
            try:
                await asyncio.wait(
                    (
                        asyncio.create_task(
                            self._copy(reader, far_writer, mute)
                        ),
                        asyncio.create_task(
                            self._copy(far_reader, writer, mute)
                        ),
                    ),
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                far_writer.close()
        except OSError:
            pass
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _wait_closed(self, reader):
        while await reader.read(65536):
            pass

    async def _copy(self, reader, writer, mute):
        while True:
            data = await reader.read(65536)
            if not data:
                return
            if mute.is_set():
                # The bytes are lost; the connection stays open.
                continue
            writer.write(data)
            await writer.drain()
