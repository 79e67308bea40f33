"""Client of the platform's store.

The client reads, lists, watches and writes objects over HTTP. Writes are
conditional on the object's version. A write without a response may have taken
effect, so it is not repeated; a read finds out whether it has.
"""

import asyncio
import urllib.parse
import uuid

import msgspec

from clementineline import errors
from clementineline.platform import documents
from clementineline.state import objects
from clementineline.transport import http
from clementineline.transport import outgoing
from clementineline.transport import statuses

__all__ = ['ObjectStore']

OBJECTS_PATH = '/api/objects'
JSON_HEADERS = ((b'Content-Type', b'application/json'),)
RESPONSE_MAX_BYTES = 8 * 1024 * 1024
IDLE_CONNECTIONS_MAX = 4
# The store closes idle connections after a time that it does not announce, so
# connections that were idle for longer than this are not reused.
CONNECTION_IDLE_MAX_S = 5.0
CONNECT_TIMEOUT_S = 0.7
# The slowest responses specified for the store take 0.25 s.
RESPONSE_TIMEOUT_S = 1.0
# Time for the response to a watch after the end of its wait.
WATCH_RESPONSE_TIMEOUT_S = 1.0
PROBE_INTERVAL_S = 0.7
PROBE_KIND = 'lease'


class _Metadata(msgspec.Struct):
    name: str
    revision: int
    finalizers: list = []
    deleting: bool = False


class _Object(msgspec.Struct):
    metadata: _Metadata
    # Other writers may store any JSON value here. The decoders of the kinds
    # check it.
    spec: msgspec.Raw = msgspec.Raw(b'null')
    status: msgspec.Raw = msgspec.Raw(b'null')


class _WatchEvent(msgspec.Struct):
    object: msgspec.Raw
    deleted: bool = False


class _ListPage(msgspec.Struct):
    currentRev: int  # noqa: N815 - name in the wire format
    items: list[msgspec.Raw] = []
    morePages: bool = False  # noqa: N815 - name in the wire format


class _WatchPage(msgspec.Struct):
    currentRev: int  # noqa: N815 - name in the wire format
    events: list[_WatchEvent] = []


_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


def _decode_object(kind, raw):
    """Decode an object of the store; None if its metadata are malformed.

    A spec that cannot be read is decoded as an empty one, with its fault.
    """
    try:
        found = msgspec.json.decode(raw, type=_Object)
        metadata, spec, status = found.metadata, found.spec, found.status
    except _DECODE_ERRORS:
        members = documents.split_object(bytes(raw))
        try:
            metadata = msgspec.json.decode(
                members.get('metadata', b''), type=_Metadata
            )
        except _DECODE_ERRORS:
            return None
        spec = members.get('spec', b'null')
        status = members.get('status', b'null')
    value, fault = documents.decode_dict(bytes(spec))
    status_value, status_fault = documents.decode_dict(bytes(status))
    return objects.PlatformObject(
        kind,
        metadata.name,
        metadata.revision,
        value,
        None if status_fault else status_value,
        fault,
    )


def _decode_page(body, page_type, field):
    """Decode a page of the store whose elements may be unreadable.

    :param page_type: type of the page
    :param field: name of the member that holds the elements
    :returns: ``(page, elements)``, the elements as JSON texts
    :raises errors.PlatformError: if the page itself is malformed
    """
    members = documents.split_object(body)
    elements = documents.split_array(members.pop(field, b''))
    rest = b','.join(
        msgspec.json.encode(name) + b':' + part
        for name, part in members.items()
    )
    try:
        page = msgspec.json.decode(b'{%s}' % rest, type=page_type)
    except _DECODE_ERRORS as error:
        raise errors.PlatformError(
            # The page may hold the keys of organisations.
            f'page of {field}: {error}: {len(body)} bytes'
        ) from error
    return page, elements


def _decode_list_page(body):
    try:
        return msgspec.json.decode(body, type=_ListPage)
    except _DECODE_ERRORS:
        page, elements = _decode_page(body, _ListPage, 'items')
    page.items = [msgspec.Raw(element) for element in elements]
    return page


def _decode_watch_page(body):
    try:
        return msgspec.json.decode(body, type=_WatchPage)
    except _DECODE_ERRORS:
        page, elements = _decode_page(body, _WatchPage, 'events')
    for element in elements:
        members = documents.split_object(element)
        page.events.append(
            _WatchEvent(
                msgspec.Raw(members.get('object', b'')),
                members.get('deleted') == b'true',
            )
        )
    return page


class ObjectStore:
    """Reads, watches and writes objects of the platform's store.

    Once a call has failed, the store counts as unreachable until it responds
    to a direct call or a probe. Until then, calls go through another process
    if there is a relay.

    :param address: the store's :class:`~frames.Address`
    :param log: logger
    """

    __slots__ = (
        '_address',
        '_became_reachable_at',
        '_early_probe',
        '_idle_connections',
        '_log',
        '_lost_at',
        '_probe_task',
        '_regained',
        'calls',
        'reachable',
        'relay',
    )

    def __init__(self, address, log):
        self._address = address
        self._became_reachable_at = 0.0
        # The probe after a response to a call from before the loss.
        self._early_probe = None
        self._idle_connections = []
        self._log = log
        self._lost_at = 0.0
        self._probe_task = None
        # Set, and replaced, when the store responds again.
        self._regained = asyncio.Event()
        # Number of calls sent to the store by this process.
        self.calls = 0
        self.reachable = True
        # Coroutine function that has another process make the call. Takes and
        # returns the same as call_directly.
        self.relay = None

    async def read(self, kind, name, stale=False):
        """Read an object.

        :param stale: whether the store may return a state that is some
            seconds old, at a tenth of the cost of a current one
        :returns: a :class:`~objects.PlatformObject`, None if it does not
            exist
        :raises errors.PlatformUnavailable: if the store does not respond
        """
        path = f'/{kind}/{name}'
        if stale:
            path += '?serializable=1'
        status, body = await self._call('GET', path)
        if status == 404:
            return None
        self._check_status(status, body, f'GET {kind}/{name}')
        found = _decode_object(kind, body)
        if found is None:
            raise errors.PlatformError(f'GET {kind}/{name}: not an object')
        return found

    async def write(self, kind, name, value, expected):
        """Write an object if it still has the expected version.

        :param value: dict, to which a unique id of the write is added
        :param expected: version that the object must have; 0 if it must not
            exist
        :returns: the new version
        :raises errors.WriteConflict: if the object has another version
        :raises errors.AmbiguousWrite: if the write got no response and may
            have taken effect or may still do so
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
            if status in (404, 409):
                raise errors.WriteConflict(
                    f'{kind}/{name}: expected version {expected}, status '
                    f'{status}'
                )
            self._check_write_status(status, answer, f'{method} {kind}/{name}')
        except errors.AmbiguousWrite as error:
            self._log.info(
                'write without a known outcome',
                kind=kind,
                name=name,
                reason=str(error),
            )
            return await self._resolve_ambiguous_write(
                kind, name, value, expected
            )
        written = _decode_object(kind, answer)
        if written is None:
            raise errors.AmbiguousWrite(
                f'{method} {kind}/{name}: no object in {answer[:80]!r}'
            )
        return written.version

    async def _resolve_ambiguous_write(self, kind, name, value, expected):
        """Find out by a read whether a write took effect."""
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
        """Replace an object's status; idempotent.

        :param status_value: dict
        :returns: whether the object exists
        :raises errors.PlatformError: if the store does not accept the write
        """
        body = msgspec.json.encode(
            {'metadata': {'name': name}, 'status': status_value}
        )
        path = f'/{kind}/{name}/status'
        status, answer = await self._call('PUT', path, body)
        if status == 404:
            return False
        self._check_write_status(status, answer, f'PUT {kind}/{name}/status')
        return True

    async def delete(self, kind, name):
        """Delete an object; no error if it does not exist."""
        status, body = await self._call('DELETE', f'/{kind}/{name}')
        if status != 404:
            self._check_write_status(status, body, f'DELETE {kind}/{name}')

    async def list_objects(self, kind, stale=False):
        """Return all objects of a kind.

        The version of the result is that of the first page that the store
        returned. A watch from this version reports all changes that were made
        while the other pages were read.

        :param stale: whether the store may return a state that is some
            seconds old
        :returns: an :class:`~objects.ObjectPage`
        """
        listed = []
        version = None
        query = {'serializable': '1'} if stale else {}
        while True:
            path = f'/{kind}'
            if query:
                path += '?' + urllib.parse.urlencode(query)
            status, body = await self._call('GET', path)
            self._check_status(status, body, f'GET {kind}')
            page = _decode_list_page(body)
            if version is None:
                version = page.currentRev
            for raw in page.items:
                found = _decode_object(kind, raw)
                if found is not None:
                    listed.append(found)
                elif not stale:
                    self._log.warning('unreadable object', kind=kind)
            if listed and query.get('after') != listed[-1].name:
                query['after'] = listed[-1].name
            elif page.morePages:
                raise errors.PlatformError(f'GET {kind}: a page of no objects')
            if not page.morePages:
                return objects.ObjectPage(version, listed, [])

    async def watch(self, kind, since, wait_s):
        """Wait for changes to the objects of a kind.

        :param since: version of the last list or watch
        :param wait_s: longest time to wait, in seconds
        :returns: an :class:`~objects.ObjectPage`, empty if nothing changed
        :raises errors.HistoryGone: if the store no longer has the changes
            since that version
        """
        path = f'/{kind}?watch={since}&waitMs={int(wait_s * 1000)}'
        status, body = await self._call(
            'GET', path, timeout_s=wait_s + WATCH_RESPONSE_TIMEOUT_S
        )
        if status == 410:
            raise errors.HistoryGone(f'{kind}: history since {since} is gone')
        self._check_status(status, body, f'GET {path}')
        page = _decode_watch_page(body)
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

    def _check_status(self, status, body, call):
        """Raise an error if the status is not a success."""
        if status == 200 or status == 201:
            return
        text = body[:200].decode(errors='replace')
        if status in (429, 503):
            raise errors.PlatformUnavailable(f'{call}: status {status} {text}')
        raise errors.PlatformError(f'{call}: status {status} {text}')

    def _check_write_status(self, status, body, call):
        """Raise an error if the status of a write is not a success.

        :raises errors.AmbiguousWrite: if it leaves open what the store did
        """
        if not statuses.is_refusal(status) and status not in (200, 201):
            raise errors.AmbiguousWrite(f'{call}: status {status}')
        self._check_status(status, body, call)

    async def _call(
        self, method, path, body=b'', timeout_s=RESPONSE_TIMEOUT_S
    ):
        """Call the store, or the relay if the store does not serve the call.

        :returns: ``(status, body)``
        :raises errors.PlatformUnavailable: if the call cannot have taken
            effect
        :raises errors.AmbiguousWrite: if a write got no response and may have
            taken effect
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
        return await self._call_relay(method, path, body, timeout_s)

    async def _call_relay(self, method, path, body, timeout_s):
        """Call the relay until the store responds to this process again.

        In an outage, the process that relays waits in vain as well, up to a
        second longer than the outage, and a lease would lapse in that time.
        """
        relayed = asyncio.ensure_future(
            self.relay(method, path, body, timeout_s)
        )
        regained = asyncio.ensure_future(self._regained.wait())
        try:
            await asyncio.wait(
                (relayed, regained), return_when=asyncio.FIRST_COMPLETED
            )
            if relayed.done():
                return relayed.result()
        finally:
            regained.cancel()
            relayed.cancel()
        if method == 'GET':
            return await self.call_directly(method, path, body, timeout_s)
        raise errors.AmbiguousWrite(
            f'{method} {path}: the store responds again, the relay has not'
        )

    async def call_directly(self, method, path, body, timeout_s):
        """Call the store without the relay; see :meth:`_call`."""
        self.calls += 1
        started = asyncio.get_running_loop().time()
        try:
            client = await self._acquire_connection()
        except errors.ConnectionLost as error:
            self._handle_failure(method, path, str(error), started)
            raise errors.PlatformUnavailable(str(error)) from error
        head = http.Head(
            method.encode(),
            f'{OBJECTS_PATH}{path}'.encode(),
            ((b'Host', str(self._address).encode()), *JSON_HEADERS),
        )
        done = False
        try:
            async with asyncio.timeout(timeout_s):
                client.send_request(head, body)
                reply = await client.receive_head()
                answer = await client.receive_body(RESPONSE_MAX_BYTES)
            done = True
        except errors.RequestError as error:
            raise errors.PlatformError(f'{method} {path}: {error}') from error
        except (errors.ProtocolError, TimeoutError) as error:
            self._handle_failure(method, path, repr(error), started)
            text = f'{method} {path}: {error!r}'
            if method == 'GET':
                raise errors.PlatformUnavailable(text) from error
            raise errors.AmbiguousWrite(text) from error
        finally:
            if not done:
                client.close()
        from_before_loss = not self.reachable and started < self._lost_at
        if from_before_loss:
            client.close()
        else:
            self._release_connection(client)
        if reply.status_code in (429, 503):
            self._handle_failure(
                method, path, f'status {reply.status_code}', started
            )
        elif from_before_loss:
            # New connections may still fail, which only a new call can show.
            self._probe_early()
        elif not self.reachable:
            self._mark_reachable()
        return reply.status_code, answer

    def _handle_failure(self, method, path, reason, started):
        """Mark the store as unreachable after a failed call, and probe it.

        A failure says nothing about the store if the call started before the
        store last became reachable.

        :param started: loop time at which the call started, in seconds
        """
        if not self.reachable or started < self._became_reachable_at:
            return
        self.reachable = False
        self._lost_at = asyncio.get_running_loop().time()
        # Connections opened before the outage may never respond again.
        for client in self._idle_connections:
            client.close()
        self._idle_connections.clear()
        self._log.warning(
            'platform lost', call=f'{method} {path}', reason=reason
        )
        if self._probe_task is None:
            self._probe_task = asyncio.create_task(self._probe_store())

    def _mark_reachable(self):
        self.reachable = True
        regained, self._regained = self._regained, asyncio.Event()
        regained.set()
        self._became_reachable_at = asyncio.get_running_loop().time()
        self._log.info('platform regained')

    async def _probe_store(self):
        """Probe the store until it responds to this process again."""
        while not self.reachable:
            await asyncio.sleep(PROBE_INTERVAL_S)
            await self._probe_once()
        self._probe_task = None

    async def _probe_once(self):
        path = f'/{PROBE_KIND}?serializable=1'
        try:
            await self.call_directly('GET', path, b'', RESPONSE_TIMEOUT_S)
        except errors.PlatformError as error:
            self._log.debug('probe of the platform failed', reason=str(error))

    def _probe_early(self):
        if self._early_probe is None or self._early_probe.done():
            self._early_probe = asyncio.create_task(self._probe_once())

    async def _acquire_connection(self):
        """Return an idle connection, or open one."""
        now = asyncio.get_running_loop().time()
        while self._idle_connections:
            client = self._idle_connections.pop()
            if (
                client.reusable
                and now - client.used_at < CONNECTION_IDLE_MAX_S
            ):
                return client
            client.close()
        return await outgoing.connect(self._address, CONNECT_TIMEOUT_S)

    def _release_connection(self, client):
        """Keep a connection for later calls, or close it."""
        if (
            client.reusable
            and len(self._idle_connections) < IDLE_CONNECTIONS_MAX
        ):
            self._idle_connections.append(client)
            return
        client.close()
