"""HTTP server (uvicorn) and HTTP client (aiohttp) of a process."""

import asyncio
import contextlib

import aiohttp
import uvicorn

__all__ = ['WebServer', 'open_client']

START_POLL_S = 0.01


class _Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class WebServer:
    """HTTP server that runs an ASGI application in the current event loop.

    :param app: the ASGI application
    :param address: :class:`~clementineline.transport.frames.Address`
    :param grace_s: longest time to wait for open requests, in seconds
    """

    __slots__ = ('_server', '_task')

    def __init__(self, app, address, grace_s=30.0):
        config = uvicorn.Config(
            app,
            host=address.host,
            port=address.port,
            log_config=None,
            access_log=False,
            lifespan='off',
            timeout_keep_alive=75,
            timeout_graceful_shutdown=int(grace_s),
            backlog=2048,
        )
        self._server = _Server(config)
        self._task = None

    async def start(self):
        """Start to listen; return when connections are accepted.

        :raises OSError: if the address cannot be bound
        """
        self._task = asyncio.create_task(self._serve())
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise OSError('the HTTP server stopped before it listened')
            await asyncio.sleep(START_POLL_S)

    async def _serve(self):
        try:
            await self._server.serve()
        except SystemExit as error:
            # uvicorn calls sys.exit() when it cannot bind its address.
            raise OSError('the HTTP server cannot bind its address') from error

    async def stop(self):
        """Stop accepting connections and finish the open requests."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task


def open_client(
    timeout_s=None, connections=0, force_close=False, connect_timeout_s=2.0
):
    """Open an HTTP client.

    :param timeout_s: longest time for a complete call in seconds, or None
        for no limit
    :param connections: most connections at once; 0 for no limit
    :param force_close: open a new connection for each call; on a reused
        connection aiohttp itself may repeat a call
    :param connect_timeout_s: longest time to connect, in seconds
    :returns: an :class:`aiohttp.ClientSession`
    """
    connector = aiohttp.TCPConnector(
        limit=connections, force_close=force_close
    )
    timeout = aiohttp.ClientTimeout(
        total=timeout_s, sock_connect=connect_timeout_s
    )
    return aiohttp.ClientSession(
        connector=connector, timeout=timeout, auto_decompress=False
    )
