"""HTTP server, fact log and fault switches that all stand-ins share."""

import asyncio
import json
import pathlib
import signal
import time

from starlette import applications
from starlette import responses
from starlette import routing
import uvicorn
import uvloop

__all__ = ['FactLog', 'Faults', 'serve']


class FactLog:
    """Log of the facts that a stand-in observed, as a file of JSON lines.

    :param path: path of the file, or '' to keep the facts in memory
    :ivar facts: list of the facts that are kept in memory
    """

    def __init__(self, path=''):
        self._file = pathlib.Path(path).open('a') if path else None
        self.facts = []

    def write(self, fact, **details):
        """Write one fact with the current time.

        :param fact: what happened, such as ``run``
        :param details: further fields of the line
        """
        line = {'fact': fact, 'at': time.time(), **details}
        if self._file is None:
            self.facts.append(line)
            return
        self._file.write(json.dumps(line) + '\n')
        self._file.flush()


class Faults:
    """Faults that are switched on and off over HTTP.

    The value of each fault is an attribute with the name of the fault.

    :param values: initial value of each fault, by name
    """

    def __init__(self, **values):
        self._values = values

    def __getattr__(self, name):
        try:
            return self.__dict__['_values'][name]
        except KeyError:
            raise AttributeError(name) from None

    def set(self, values):
        """Set the values of faults.

        :param values: dict from the name of a fault to its value
        :raises ValueError: if a fault is unknown
        """
        for name in values:
            if name not in self._values:
                raise ValueError(
                    f'fault {name!r}: expected one of {sorted(self._values)}'
                )
        self._values.update(values)

    def build_route(self):
        """Build the route ``POST /faults``."""

        async def set_faults(request):
            try:
                self.set(await request.json())
            except ValueError as error:
                return responses.JSONResponse({'error': str(error)}, 400)
            return responses.JSONResponse(self._values)

        return routing.Route('/faults', set_faults, methods=['POST'])


async def _serve(routes, host, port, background):
    config = uvicorn.Config(
        applications.Starlette(routes=routes),
        host=host,
        port=port,
        log_config=None,
        access_log=False,
        lifespan='off',
        timeout_keep_alive=75,
        timeout_graceful_shutdown=1,
        backlog=2048,
    )
    tasks = [asyncio.create_task(item) for item in background]
    await uvicorn.Server(config).serve()
    for task in tasks:
        task.cancel()


def serve(routes, host, port, background=()):
    """Serve routes until SIGTERM; ignore SIGINT.

    :param background: coroutines that run until the server stops
    """
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(routes, host, port, background))
