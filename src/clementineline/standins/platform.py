"""Stand-in for the platform: objects, watches and the list of VMs."""

import argparse
import asyncio

from starlette import responses
from starlette import routing

from clementineline.standins import server

__all__ = ['PlatformStandIn']

VALUE_MAX_BYTES = 1024 * 1024


class PlatformStandIn:
    """An object API with versions, conditional writes and watches.

    Faults: ``down`` fails every call with status 503; ``slow_s`` delays each
    response, in seconds; ``lose_writes`` applies this many writes but
    responds with status 504; ``frozen_vms`` stops updates of the list of VMs.

    :param log: a :class:`~server.FactLog`
    """

    def __init__(self, log):
        self._log = log
        self._objects = {}
        self._removed = {}
        self._vms = {}
        self._listed_vms = {}
        self._version = 0
        self._changed = asyncio.Event()
        self.faults = server.Faults(
            down=False, slow_s=0.0, lose_writes=0, frozen_vms=False
        )
        self.calls = {'read': 0, 'write': 0, 'watch': 0, 'vms': 0}

    def build_routes(self):
        """Build the routes of the object API."""
        item = '/v1/objects/{kind}/{name:path}'
        return [
            self.faults.build_route(),
            routing.Route('/counts', self._read_counts),
            routing.Route('/vms', self._set_vms, methods=['POST']),
            routing.Route('/v1/vms', self._list_vms),
            routing.Route(item, self._read, methods=['GET']),
            routing.Route(item, self._write, methods=['PUT']),
            routing.Route(item, self._delete, methods=['DELETE']),
            routing.Route('/v1/objects/{kind}', self._watch),
        ]

    async def _begin_call(self, kind):
        """Count a call and apply the faults.

        :returns: a response that refuses the call, or None
        """
        self.calls[kind] += 1
        if self.faults.down:
            return responses.Response('down', 503)
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        return None

    async def _read_counts(self, request):
        return responses.JSONResponse(self.calls)

    async def _set_vms(self, request):
        self._vms = await request.json()
        if not self.faults.frozen_vms:
            self._listed_vms = dict(self._vms)
        return responses.JSONResponse(self._vms)

    async def _list_vms(self, request):
        refusal = await self._begin_call('vms')
        if refusal is not None:
            return refusal
        if not self.faults.frozen_vms:
            self._listed_vms = dict(self._vms)
        return responses.JSONResponse(self._listed_vms)

    def _read_path(self, request):
        return request.path_params['kind'], request.path_params['name']

    async def _read(self, request):
        refusal = await self._begin_call('read')
        if refusal is not None:
            return refusal
        found = self._objects.get(self._read_path(request))
        if found is None:
            return responses.JSONResponse({'error': 'none'}, 404)
        return responses.JSONResponse(found)

    async def _write(self, request):
        refusal = await self._begin_call('write')
        if refusal is not None:
            return refusal
        kind, name = self._read_path(request)
        body = await request.body()
        if len(body) > VALUE_MAX_BYTES:
            return responses.JSONResponse({'error': 'too large'}, 413)
        value = await request.json()
        current = self._objects.get((kind, name))
        version = current['version'] if current else 0
        expected = int(request.headers.get('if-match', -1))
        if expected not in (-1, version):
            return responses.JSONResponse({'version': version}, 409)
        self._store(kind, name, value)
        if self.faults.lose_writes > 0:
            self.faults.set({'lose_writes': self.faults.lose_writes - 1})
            return responses.Response('lost', 504)
        return responses.JSONResponse({'version': self._version})

    def _store(self, kind, name, value):
        self._version += 1
        self._removed.pop((kind, name), None)
        self._objects[(kind, name)] = {
            'kind': kind,
            'name': name,
            'version': self._version,
            'value': value,
        }
        self._log.write(
            'write',
            kind=kind,
            name=name,
            version=self._version,
            document=value.get('version'),
        )
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _delete(self, request):
        refusal = await self._begin_call('write')
        if refusal is not None:
            return refusal
        key = self._read_path(request)
        if self._objects.pop(key, None) is not None:
            self._version += 1
            self._removed[key] = self._version
            self._notify()
        return responses.JSONResponse({'version': self._version})

    async def _watch(self, request):
        refusal = await self._begin_call('watch')
        if refusal is not None:
            return refusal
        kind = request.path_params['kind']
        since = int(request.query_params.get('since', 0))
        wait_s = float(request.query_params.get('wait_s', 0))
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            if self.faults.down:
                return responses.Response('down', 503)
            page = self._build_page(kind, since)
            remaining_s = deadline - loop.time()
            if page['objects'] or page['removed'] or remaining_s <= 0:
                return responses.JSONResponse(page)
            changed = self._changed
            try:
                # Wait at most 0.2 s at a time, so that ``down`` also ends
                # open watches.
                async with asyncio.timeout(min(remaining_s, 0.2)):
                    await changed.wait()
            except TimeoutError:
                continue

    def _build_page(self, kind, since):
        objects = []
        for item in self._objects.values():
            if item['kind'] == kind and item['version'] > since:
                objects.append(item)
        removed = []
        for (removed_kind, name), version in self._removed.items():
            if removed_kind == kind and version > since:
                removed.append(name)
        return {
            'version': self._version,
            'objects': objects,
            'removed': removed,
        }


def main():
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--facts', default='')
    options = parser.parse_args()
    standin = PlatformStandIn(server.FactLog(options.facts))
    server.serve(standin.build_routes(), '127.0.0.1', options.port)


if __name__ == '__main__':
    main()
