"""Stand-in for a plain service such as an order or a scoring service."""

import argparse
import asyncio
import json
import zlib

from starlette import responses
from starlette import routing

from clementineline.standins import server

__all__ = ['ServiceStandIn']


class ServiceStandIn:
    """A plain service that logs each call it runs.

    ``POST /score`` returns the score of a sample and is not logged; every
    other call returns what it received. Faults: ``slow`` multiplies the time
    of a call; ``fail_share`` fails this share of the other calls after they
    ran; ``silent`` stops all responses.

    :param name: the service's name
    :param log: a :class:`~server.FactLog`
    :param work_s: time that a call takes, in seconds
    """

    def __init__(self, name, log, work_s=0.01):
        self._name = name
        self._log = log
        self._work_s = work_s
        self._count = 0
        self.faults = server.Faults(slow=1.0, fail_share=0.0, silent=False)

    def build_routes(self):
        """Build the routes of the service."""
        methods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']
        return [
            self.faults.build_route(),
            routing.Route('/score', self._score, methods=['POST']),
            routing.Route('/{path:path}', self._serve, methods=methods),
        ]

    async def _score(self, request):
        fields = json.loads(await request.body())
        await self._simulate_work()
        digest = zlib.crc32(fields['text'].encode())
        return responses.JSONResponse({'score': digest % 1000 / 1000})

    async def _serve(self, request):
        body = await request.body()
        self._count += 1
        number = self._count
        self._log.write(
            'run',
            service=self._name,
            method=request.method,
            path=request.url.path,
            query=request.url.query,
            body=body.decode('utf-8', 'replace'),
            number=number,
        )
        await self._simulate_work()
        if number * 37 % 100 < 100 * self.faults.fail_share:
            return responses.JSONResponse({'error': 'failed'}, 503)
        return responses.JSONResponse(
            {
                'service': self._name,
                'number': number,
                'method': request.method,
                'path': request.url.path,
                'query': request.url.query,
                'body': body.decode('utf-8', 'replace'),
            },
            headers={'X-Service': self._name},
        )

    async def _simulate_work(self):
        if self.faults.silent:
            await asyncio.Event().wait()
        await asyncio.sleep(self._work_s * self.faults.slow)


def main():
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--name', required=True)
    parser.add_argument('--facts', default='')
    parser.add_argument('--work-s', type=float, default=0.01)
    options = parser.parse_args()
    standin = ServiceStandIn(
        options.name, server.FactLog(options.facts), options.work_s
    )
    server.serve(standin.build_routes(), '127.0.0.1', options.port)


if __name__ == '__main__':
    main()
