"""The client of the platform's store.

It speaks the store's dialect of the product's object API: reads, watches and
conditional writes. A write that gets no answer is never repeated blindly.
"""

import asyncio
import urllib.parse
import uuid

import msgspec

from clementineline import errors
from clementineline.state import objects
from clementineline.transport import http
from clementineline.transport import outgoing

__all__ = ['ObjectStore']

ROOT = '/api/objects'
JSON_HEADERS = ((b'Content-Type', b'application/json'),)
RESPONSE_MAX_BYTES = 8 * 1024 * 1024
IDLE_CONNECTIONS_MAX = 4
# The store closes connections on its own terms; an older one is not reused.
IDLE_CONNECTION_S = 5.0
CONNECT_TIMEOUT_S = 0.7
# The slowest answers on the sheets take a quarter of a second.
ANSWER_TIMEOUT_S = 1.0
WATCH_GRACE_S = 1.0
PROBE_INTERVAL_S = 0.7
PROBE_KIND = 'lease'


class _Metadata(msgspec.Struct):
    name: str
    revision: int
    finalizers: list = []
    deleting: bool = False


class _Object(msgspec.Struct):
    metadata: _Metadata
    # Other writers may leave anything here; the kinds' decoders check it.
    spec: msgspec.Raw = msgspec.Raw(b'null')
    status: msgspec.Raw = msgspec.Raw(b'null')


class _Event(msgspec.Struct):
    object: msgspec.Raw
    deleted: bool = False


class _Page(msgspec.Struct):
    currentRev: int  # noqa: N815 - the wire's spelling
    items: list[msgspec.Raw] = []
    morePages: bool = False  # noqa: N815 - the wire's spelling


class _Events(msgspec.Struct):
    currentRev: int  # noqa: N815 - the wire's spelling
    events: list[_Event] = []


def _decode_dict(raw):
    try:
        value = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return value if isinstance(value, dict) else None


def _decode_object(kind, raw):
    """Decode an object; None if it cannot be read."""
    try:
        found = msgspec.json.decode(raw, type=_Object)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError):
        return None
    value = _decode_dict(found.spec)
    if value is None:
        value = {}
    return objects.PlatformObject(
        kind,
        found.metadata.name,
        found.metadata.revision,
        value,
        _decode_dict(found.status),
    )


class ObjectStore:
    """Calls the store; the product's object API in the wire's dialect.

    :param address: the store's :class:`~frames.Address`
    :param log: logger
    """

    __slots__ = (
        '_address',
        '_answered_at',
        '_idle',
        '_log',
        '_probe',
        'calls',
        'reachable',
        'relay',
    )

    def __init__(self, address, log):
        self._address = address
        self._answered_at = 0.0
        self._idle = []
        self._log = log
        self._probe = None
        self.calls = 0
        self.reachable = True
        # Coroutine function with the arguments and the result of
        # call_directly; it asks another process to make the call.
        self.relay = None

    async def read(self, kind, name, stale=False):
        """Read an object; None if there is none.

        :param stale: whether an answer that is seconds old will do, which
            costs a tenth
        :raises errors.PlatformUnavailable: if the store does not answer
        """
        path = f'/{kind}/{name}'
        if stale:
            path += '?serializable=1'
        status, body = await self._call('GET', path)
        if status == 404:
            return None
        self._check(status, body, f'GET {kind}/{name}')
        found = _decode_object(kind, body)
        if found is None:
            raise errors.PlatformError(f'GET {kind}/{name}: not an object')
        return found

    async def write(self, kind, name, value, expected):
        """Write an object if it still has the expected version.

        :param value: dict; a write id is added
        :param expected: version that it must have; 0 for none
        :returns: the new version
        :raises errors.WriteConflict: if it has another version
        :raises errors.AmbiguousWrite: if it stays unknown whether the write
            took effect
        """
        value = dict(value, write_id=uuid.uuid4().hex)
        metadata = {'name': name}
        method, path = 'POST', f'/{kind}'
        if expected:
            metadata['revision'] = expected
            method, path = 'PUT', f'/{kind}/{name}'
        body = msgspec.json.encode({'metadata': metadata, 'spec': value})
        try:
            status, answer = await self._call(method, path, body)
        except errors.AmbiguousWrite:
            return await self._resolve(kind, name, value, expected)
        if status in (404, 409):
            raise errors.WriteConflict(
                f'{kind}/{name}: expected version {expected}, status {status}'
            )
        self._check(status, answer, f'{method} {kind}/{name}')
        return _decode_object(kind, answer).version

    async def _resolve(self, kind, name, value, expected):
        """Find out by reading whether a write took effect."""
        try:
            current = await self.read(kind, name)
        except errors.PlatformError as error:
            raise errors.AmbiguousWrite(
                f'{kind}/{name}: no answer to a write, and none to the '
                f'read after it: {error}'
            ) from error
        if current and current.value.get('write_id') == value['write_id']:
            return current.version
        version = current.version if current else 0
        if version != expected:
            raise errors.WriteConflict(
                f'{kind}/{name}: expected version {expected}, found {version}'
            )
        raise errors.AmbiguousWrite(
            f'{kind}/{name}: no answer to a write, and no sign of it yet'
        )

    async def write_status(self, kind, name, status_value):
        """Replace an object's status; may be repeated with the same value.

        :returns: whether the object exists
        :raises errors.PlatformError: if the store does not answer
        """
        body = msgspec.json.encode(
            {'metadata': {'name': name}, 'status': status_value}
        )
        path = f'/{kind}/{name}/status'
        status, answer = await self._call('PUT', path, body)
        if status == 404:
            return False
        self._check(status, answer, f'PUT {kind}/{name}/status')
        return True

    async def delete(self, kind, name):
        """Remove an object; it is no error if there is none."""
        status, body = await self._call('DELETE', f'/{kind}/{name}')
        if status != 404:
            self._check(status, body, f'DELETE {kind}/{name}')

    async def list_objects(self, kind, stale=False):
        """Return all objects of a kind as an :class:`~objects.ObjectPage`.

        :param stale: whether an answer that is seconds old will do

        The page's version is that of the first part: what changed while the
        other parts were read comes again with the watch.
        """
        listed = []
        version = None
        query = {'serializable': '1'} if stale else {}
        while True:
            path = f'/{kind}'
            if query:
                path += '?' + urllib.parse.urlencode(query)
            status, body = await self._call('GET', path)
            self._check(status, body, f'GET {kind}')
            page = msgspec.json.decode(body, type=_Page)
            if version is None:
                version = page.currentRev
            for raw in page.items:
                found = _decode_object(kind, raw)
                if found is not None:
                    listed.append(found)
            if listed and query.get('after') != listed[-1].name:
                query['after'] = listed[-1].name
            elif page.morePages:
                raise errors.PlatformError(f'GET {kind}: a page of no objects')
            if not page.morePages:
                return objects.ObjectPage(version, listed, [])

    async def watch(self, kind, since, wait_s):
        """Wait for changes of a kind.

        :param since: version that the last page ended with
        :param wait_s: longest time to wait, in seconds
        :returns: an :class:`~objects.ObjectPage`
        :raises errors.HistoryGone: if the store no longer has that history
        """
        path = f'/{kind}?watch={since}&waitMs={int(wait_s * 1000)}'
        status, body = await self._call(
            'GET', path, timeout_s=wait_s + WATCH_GRACE_S
        )
        if status == 410:
            raise errors.HistoryGone(f'{kind}: history since {since} is gone')
        self._check(status, body, f'GET {path}')
        page = msgspec.json.decode(body, type=_Events)
        changed = {}
        removed = {}
        for event in page.events:
            found = _decode_object(kind, event.object)
            if found is None:
                self._log.warning('unreadable object', kind=kind)
                continue
            target, other = changed, removed
            if event.deleted:
                target, other = removed, changed
            target[found.name] = found
            other.pop(found.name, None)
        return objects.ObjectPage(
            page.currentRev, list(changed.values()), list(removed)
        )

    def _check(self, status, body, call):
        if status == 200 or status == 201:
            return
        text = body[:200].decode(errors='replace')
        if status in (429, 503):
            raise errors.PlatformUnavailable(f'{call}: status {status} {text}')
        raise errors.PlatformError(f'{call}: status {status} {text}')

    async def _call(self, method, path, body=b'', timeout_s=ANSWER_TIMEOUT_S):
        """Make a call, through another process if the store is out of reach.

        :returns: ``(status, body)``
        :raises errors.PlatformUnavailable: if nothing can have been done
        :raises errors.AmbiguousWrite: if a write got no answer
        """
        if self.reachable or self.relay is None:
            try:
                status, answer = await self.call_directly(
                    method, path, body, timeout_s
                )
            except errors.AmbiguousWrite:
                raise
            except errors.PlatformUnavailable:
                if self.relay is None:
                    raise
            else:
                if status not in (429, 503) or self.relay is None:
                    return status, answer
        return await self.relay(method, path, body, timeout_s)

    async def call_directly(self, method, path, body, timeout_s):
        """Make a call to the store itself; see :meth:`_call`."""
        self.calls += 1
        started = asyncio.get_running_loop().time()
        try:
            client = await self._take_connection()
        except errors.ConnectionLost as error:
            self._note_lost(method, path, str(error), started)
            raise errors.PlatformUnavailable(str(error)) from error
        head = http.Head(
            method.encode(),
            f'{ROOT}{path}'.encode(),
            ((b'Host', str(self._address).encode()), *JSON_HEADERS),
        )
        done = False
        try:
            async with asyncio.timeout(timeout_s):
                client.send_request(head, body)
                reply = await client.receive_head()
                answer = await client.receive_body(RESPONSE_MAX_BYTES)
            done = True
        except (errors.ProtocolError, TimeoutError) as error:
            self._note_lost(method, path, repr(error), started)
            text = f'{method} {path}: {error!r}'
            if method == 'GET':
                raise errors.PlatformUnavailable(text) from error
            raise errors.AmbiguousWrite(text) from error
        finally:
            if not done:
                client.close()
        self._give_back(client)
        if reply.status_code in (429, 503):
            self._note_lost(
                method, path, f'status {reply.status_code}', started
            )
        elif not self.reachable:
            self._note_regained()
        return reply.status_code, answer

    def _note_lost(self, method, path, reason, started):
        """Note that a call failed, unless the store answered a later one."""
        if not self.reachable or started < self._answered_at:
            return
        self.reachable = False
        # What was open in the outage may stay silent after it.
        for client in self._idle:
            client.close()
        self._idle.clear()
        self._log.warning(
            'platform lost', call=f'{method} {path}', reason=reason
        )
        if self._probe is None:
            self._probe = asyncio.create_task(self._probe_store())

    def _note_regained(self):
        self.reachable = True
        self._answered_at = asyncio.get_running_loop().time()
        self._log.info('platform regained')

    async def _probe_store(self):
        """Look for the store until it answers this process again."""
        path = f'/{PROBE_KIND}?serializable=1'
        while not self.reachable:
            await asyncio.sleep(PROBE_INTERVAL_S)
            try:
                await self.call_directly('GET', path, b'', ANSWER_TIMEOUT_S)
            except errors.PlatformError:
                continue
        self._probe = None

    async def _take_connection(self):
        now = asyncio.get_running_loop().time()
        while self._idle:
            client = self._idle.pop()
            if client.reusable and now - client.used_at < IDLE_CONNECTION_S:
                return client
            client.close()
        return await outgoing.connect(self._address, CONNECT_TIMEOUT_S)

    def _give_back(self, client):
        if client.reusable and len(self._idle) < IDLE_CONNECTIONS_MAX:
            self._idle.append(client)
            return
        client.close()
