"""Stand-in for the weight store, with a limit on parallel downloads."""

import argparse
import asyncio

from starlette import responses
from starlette import routing

from clementineline.standins import server

__all__ = ['WeightStoreStandIn']


class WeightStoreStandIn:
    """Serves weights versions, with a limited number of parallel downloads.

    Faults: ``down`` refuses each download with status 503; ``slow_s`` delays
    it, in seconds.

    :param log: a :class:`~server.FactLog`
    :param download_s: time that one download takes, in seconds
    :param parallel: most downloads at once; others get status 429
    :ivar refused: number of downloads refused with status 429
    """

    def __init__(self, log, download_s=0.1, parallel=16):
        self._log = log
        self._download_s = download_s
        self._slots = asyncio.Semaphore(parallel)
        self.faults = server.Faults(down=False, slow_s=0.0)
        self.refused = 0

    def build_routes(self):
        """Build the routes of the weight store."""
        return [
            self.faults.build_route(),
            routing.Route('/v1/weights/{model}/{version:int}', self._read),
        ]

    async def _read(self, request):
        if self.faults.down:
            return responses.Response('down', 503)
        if self._slots.locked():
            self.refused += 1
            return responses.Response(
                'rate limit', 429, headers={'Retry-After': '1'}
            )
        async with self._slots:
            await asyncio.sleep(self._download_s + self.faults.slow_s)
        self._log.write(
            'download',
            model=request.path_params['model'],
            version=request.path_params['version'],
        )
        return responses.JSONResponse(
            {'version': request.path_params['version']}
        )


def main():
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--facts', default='')
    parser.add_argument('--download-s', type=float, default=0.1)
    options = parser.parse_args()
    standin = WeightStoreStandIn(
        server.FactLog(options.facts), options.download_s
    )
    server.serve(standin.build_routes(), '127.0.0.1', options.port)


if __name__ == '__main__':
    main()
