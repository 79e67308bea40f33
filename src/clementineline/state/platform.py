"""The client of the platform's object API.

Each written value carries a write id. If the response to a write is lost, the
client reads the object, and the id shows whether the write took effect. A
write is never repeated blindly.
"""

import asyncio
import json
import uuid

import aiohttp
import msgspec

from clementineline import clocks
from clementineline import errors
from clementineline.state.objects import ObjectPage
from clementineline.state.objects import PlatformObject

__all__ = ['ObjectPage', 'PlatformClient', 'PlatformObject', 'RateLimiter']

# Ids of the latest writes stay in the value, so that a write is recognised
# although other writers have changed the object since.
WRITE_IDS_KEPT = 32


class RateLimiter:
    """Limits the call rate of a process, and allows no burst after a pause.

    :param clock: a :class:`~clementineline.clocks.Clock`
    :param rate: calls per second
    """

    __slots__ = ('_clock', '_interval_s', '_next_at')

    def __init__(self, clock, rate):
        self._clock = clock
        self._interval_s = 1.0 / rate
        self._next_at = 0.0

    def reserve(self):
        """Reserve the next call.

        :returns: how long to wait before it, in seconds
        """
        now = self._clock.now()
        start = max(now, self._next_at)
        self._next_at = start + self._interval_s
        return start - now


class PlatformClient:
    """Calls the object API at a limited rate.

    :param settings: a :class:`~settings.PlatformSettings`
    :param http: an :class:`aiohttp.ClientSession`
    :param clock: a :class:`~clementineline.clocks.Clock`
    """

    __slots__ = (
        '_http',
        '_limiter',
        '_poll_s',
        '_timeout_s',
        '_url',
        'available',
        'calls',
    )

    def __init__(self, settings, http, clock=None):
        self._url = settings.url.rstrip('/')
        self._http = http
        self._timeout_s = settings.timeout_s
        self._poll_s = settings.poll_s
        self._limiter = RateLimiter(
            clock or clocks.Clock(), settings.calls_per_s
        )
        self.available = True
        self.calls = 0

    async def read(self, kind, name, stale=False):
        """Read an object.

        :param stale: whether a response that is some seconds old suffices;
            ignored, as this platform always returns the current object
        :returns: the :class:`PlatformObject`, or None if there is none
        :raises errors.PlatformUnavailable: if the platform does not respond
        """
        status, body = await self._call('GET', f'/v1/objects/{kind}/{name}')
        if status == 404:
            return None
        return msgspec.json.decode(body, type=PlatformObject)

    async def write(self, kind, name, value, expected):
        """Write an object if it still has the expected version.

        :param value: dict; ``write_id`` and ``write_ids`` are added
        :param expected: version that the object must have; 0 if it must not
            exist
        :returns: the new version
        :raises errors.WriteConflict: if the object has another version
        :raises errors.AmbiguousWrite: if it is unknown whether the write took
            effect
        """
        write_id = uuid.uuid4().hex
        earlier = value.get('write_ids', [])
        value = dict(value, write_id=write_id)
        value['write_ids'] = [*earlier[1 - WRITE_IDS_KEPT :], write_id]
        path = f'/v1/objects/{kind}/{name}'
        headers = {'If-Match': str(expected)}
        try:
            status, body = await self._call(
                'PUT', path, data=json.dumps(value), headers=headers
            )
        except errors.AmbiguousWrite:
            return await self._resolve(kind, name, write_id, expected)
        if status == 409:
            raise errors.WriteConflict(
                f'{kind}/{name}: expected version {expected}: '
                f'{body.decode(errors="replace")}'
            )
        return json.loads(body)['version']

    async def _resolve(self, kind, name, write_id, expected):
        """Read the object to find out whether a write took effect."""
        try:
            current = await self.read(kind, name)
        except errors.PlatformUnavailable as error:
            raise errors.AmbiguousWrite(
                f'{kind}/{name}: no answer to a write, and none to the '
                f'read after it: {error}'
            ) from error
        version = current.version if current else 0
        if current and write_id in current.value.get('write_ids', []):
            return version
        if version != expected:
            raise errors.WriteConflict(
                f'{kind}/{name}: expected version {expected}, found {version}'
            )
        raise errors.AmbiguousWrite(
            f'{kind}/{name}: no answer to a write, and no sign of it yet'
        )

    async def delete(self, kind, name):
        """Remove an object; do nothing if it does not exist."""
        await self._call('DELETE', f'/v1/objects/{kind}/{name}')

    async def watch(self, kind, since):
        """Wait for changes of a kind.

        :param since: version of the previous page; 0 to get all objects
        :returns: an :class:`ObjectPage`, empty if nothing changed before the
            wait ended
        """
        path = f'/v1/objects/{kind}?since={since}&wait_s={self._poll_s}'
        _, body = await self._call('GET', path, wait_s=self._poll_s)
        return msgspec.json.decode(body, type=ObjectPage)

    async def list_objects(self, kind):
        """Return all objects of a kind as an :class:`ObjectPage`."""
        _, body = await self._call(
            'GET', f'/v1/objects/{kind}?since=0&wait_s=0'
        )
        return msgspec.json.decode(body, type=ObjectPage)

    async def list_vms(self):
        """Return a dict from VM name to ``live`` or ``leaving``."""
        _, body = await self._call('GET', '/v1/vms')
        return msgspec.json.decode(body, type=dict[str, str])

    async def _call(self, method, path, wait_s=0.0, **options):
        delay_s = self._limiter.reserve()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        self.calls += 1
        timeout = aiohttp.ClientTimeout(total=self._timeout_s + wait_s)
        try:
            async with self._http.request(
                method, self._url + path, timeout=timeout, **options
            ) as response:
                body = await response.read()
                status = response.status
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            self.available = False
            self._raise_unanswered(method, path, repr(error))
        succeeded = 200 <= status < 300
        if not succeeded and not 400 <= status < 500:
            self.available = False
            self._raise_unanswered(method, path, f'status {status}')
        self.available = True
        if not succeeded and status not in (404, 409):
            raise errors.PlatformError(
                f'{method} {path}: status {status}: '
                f'{body.decode(errors="replace")}'
            )
        return status, body

    def _raise_unanswered(self, method, path, detail):
        text = f'{method} {path}: {detail}'
        if method in ('PUT', 'DELETE'):
            raise errors.AmbiguousWrite(text)
        raise errors.PlatformUnavailable(text)
