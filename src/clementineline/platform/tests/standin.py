"""Stand-ins of the users' platform: the store, plain services and engines.

They run in the test process and serve the platform's wire format over
loopback. Tests inject faults by setting attributes.
"""

import asyncio
import json
import urllib.parse

from clementineline.standins import ports
from clementineline.transport import frames
from clementineline.transport import http

LIMITS = http.ServerLimits(body_bytes=64 * 1024 * 1024)


def find_free_port():
    """Return a TCP port that is free on loopback and stays so.

    A port that the system chooses may be taken by an outgoing connection
    before the test listens on it.
    """
    return ports.find_free_ports(1)[0]


class _HttpStandIn:
    """Base of the stand-ins; runs an HTTP server on a free port."""

    def __init__(self, log):
        self.port = find_free_port()
        self.address = f'127.0.0.1:{self.port}'
        self.server = http.Server(self.handle, LIMITS, log)

    async def start(self):
        await self.server.start(frames.parse_address(self.address))

    async def stop(self):
        self.server.stop()
        await self.server.drain(0.0)


class RawJson:
    """JSON text that another writer has stored, returned as it was written.

    :param text: bytes, which need not be valid JSON
    """

    def __init__(self, text):
        self.text = text


def _encode_json(value):
    raw = []

    def mark(found):
        raw.append(found.text)
        return f'raw text {len(raw)}'

    encoded = json.dumps(value, default=mark).encode()
    for number, text in enumerate(raw, 1):
        encoded = encoded.replace(b'"raw text %d"' % number, text, 1)
    return encoded


def respond_json(incoming, value, status=200, headers=()):
    """Respond with a JSON value, which may contain :class:`RawJson`."""
    headers = ((b'Content-Type', b'application/json'), *headers)
    incoming.respond(status, headers, _encode_json(value))


def send_raw(incoming, data):
    """Send bytes instead of a response and close the connection."""
    incoming.response_started = True
    incoming._channel.send(data)
    incoming._channel.close()


class StoreStandIn(_HttpStandIn):
    """The platform's store.

    Tests set these attributes:

    - ``down``: whether all requests are refused with status 503
    - ``lose_writes``: number of next writes that take effect but get no
      response
    - ``raw_write_answers``: bytes sent instead of the responses to the next
      writes, which take effect
    - ``hold_writes``: number of next writes that get no response and take
      effect only in :meth:`apply_held_writes`
    - ``hold_kind``: start of the kinds whose writes are held
    - ``lose_watches``: number of next watches that get no response
    - ``page_size``: most objects on a page of a list
    - ``value_bytes``: largest spec of an object
    """

    def __init__(self, log):
        super().__init__(log)
        self.objects = {}
        self.events = []
        self.revision = 1
        self.oldest_watchable = 0
        self.down = False
        self.lose_writes = 0
        self.raw_write_answers = []
        self.hold_writes = 0
        self.hold_kind = ''
        self.lose_watches = 0
        self.page_size = 500
        self.value_bytes = 1 << 20
        self.held_writes = []
        self.calls = []
        self._changed = asyncio.Event()

    def put(self, kind, name, spec, status=None):
        """Write an object as the operator or an endpoint does."""
        self.revision += 1
        found = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': self.revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': status,
        }
        self.objects[(kind, name)] = found
        self._record_event(kind, found, deleted=False)
        return found

    def remove(self, kind, name):
        found = self.objects.pop((kind, name), None)
        if found is None:
            return
        self.revision += 1
        self._record_event(kind, found, deleted=True)

    def forget_history(self):
        """Make watches from earlier revisions fail with status 410."""
        self.events.clear()
        self.oldest_watchable = self.revision

    def _record_event(self, kind, found, deleted):
        self.events.append(
            (
                self.revision,
                kind,
                {'object': found, 'deleted': deleted},
            )
        )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def get_spec(self, kind, name):
        found = self.objects.get((kind, name))
        return found['spec'] if found else None

    def get_status(self, kind, name):
        found = self.objects.get((kind, name))
        return found['status'] if found else None

    async def handle(self, incoming):
        target = incoming.head.target.decode()
        path, _, query = target.partition('?')
        query = dict(urllib.parse.parse_qsl(query))
        parts = path.removeprefix('/api/objects/').split('/')
        kind, names = parts[0], [urllib.parse.unquote(p) for p in parts[1:]]
        method = incoming.head.method.decode()
        self.calls.append((method, kind, query))
        if self.down:
            incoming.respond(503, (), b'')
            return
        if method == 'GET':
            await self._read(incoming, kind, names, query)
            return
        if self.hold_writes and kind.startswith(self.hold_kind):
            self.hold_writes -= 1
            self.held_writes.append((method, kind, parts[1:], incoming.body))
            await asyncio.sleep(60)
            return
        status, answer = self._write(method, kind, parts[1:], incoming.body)
        if self.raw_write_answers:
            send_raw(incoming, self.raw_write_answers.pop(0))
            return
        if self.lose_writes:
            self.lose_writes -= 1
            await asyncio.sleep(60)
            return
        respond_json(incoming, answer, status)

    def apply_held_writes(self):
        """Apply the writes that ``hold_writes`` has held."""
        for method, kind, names, body in self.held_writes:
            self._write(method, kind, names, body)
        self.held_writes.clear()

    async def _read(self, incoming, kind, names, query):
        if names:
            found = self.objects.get((kind, '/'.join(names)))
            if found is None:
                found = self.objects.get((kind, urllib.parse.quote(names[0])))
            respond_json(incoming, found, 200 if found else 404)
            return
        if 'watch' in query:
            await self._watch(incoming, kind, query)
            return
        items = []
        for key in sorted(self.objects):
            if key[0] == kind and key[1] > query.get('after', ''):
                items.append(self.objects[key])
        respond_json(
            incoming,
            {
                'items': items[: self.page_size],
                'morePages': len(items) > self.page_size,
                'currentRev': self.revision,
            },
        )

    async def _watch(self, incoming, kind, query):
        if self.lose_watches:
            self.lose_watches -= 1
            await asyncio.sleep(60)
            return
        since = int(query['watch'])
        if since < self.oldest_watchable:
            incoming.respond(410, (), b'')
            return
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query['waitMs']) / 1000
        while True:
            events = []
            for revision, event_kind, event in self.events:
                if event_kind == kind and revision > since:
                    events.append(event)
            left = deadline - loop.time()
            if events or left <= 0:
                break
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue
        respond_json(incoming, {'events': events, 'currentRev': self.revision})

    def _write(self, method, kind, names, body):
        given = json.loads(body) if body else {}
        if len(json.dumps(given.get('spec'))) > self.value_bytes:
            return 413, {}
        metadata = given.get('metadata', {})
        name = names[0] if names else metadata['name']
        current = self.objects.get((kind, name))
        if method == 'POST':
            if current is not None:
                return 409, current
            return 201, self.put(kind, name, given.get('spec'))
        if current is None:
            return 404, {}
        if method == 'DELETE':
            self.remove(kind, name)
            return 200, {}
        expected = metadata.get('revision')
        if expected not in (None, current['metadata']['revision']):
            return 409, current
        if names[1:] == ['status']:
            spec, status = current['spec'], given.get('status')
        else:
            spec, status = given.get('spec'), current['status']
        return 200, self.put(kind, name, spec, status)


class ServerStandIn(_HttpStandIn):
    """A plain service, or an engine that streams its answers.

    A request with a ``Model`` header gets a stream. Tests set these
    attributes:

    - ``events``: number of events of a stream
    - ``event_padding``: bytes at the end of each event's text
    - ``gap_s``: time before each event, in seconds
    - ``deadly_bodies``: bodies of requests that end the server
    - ``delay_s``: time before each response, in seconds
    - ``fail_next``: number of next requests that get ``fail_status``
    - ``failing_ids``: ids of the requests that always get ``fail_status``
    - ``leaving``: values of the header by which each response says that the
      server leaves, one header a value
    - ``lose_answers``: number of next requests of a plain service that run
      and get no response
    - ``shed``: whether all requests are refused as not run
    - ``break_after``: number of the event after which a stream is aborted,
      once
    - ``extra_response``: bytes sent before the response to the next
      ``extra_responses`` requests, as a response that comes a second time
    - ``trailing_bytes``: bytes sent after the response of a plain service
    - ``lose_orders``: number of next load orders that get no response and
      take no effect
    - ``endless``: bytes that are sent again and again instead of a response
      of a plain service or an engine, until the caller closes
    - ``raw_answer``: bytes sent instead of a response, after which the
      connection is closed; ``%s`` stands for the request's id
    - ``raw_resumption``: the same for requests that resume a stream
    - ``slowness``: reported factor by which work takes longer than usual
    - ``rate_limit``: requests a second that each response names as limit;
      None for no limit
    - ``arrivals``: loop times of all requests, probes and orders included,
      without those that get status 421
    """

    def __init__(self, log, name, versions=None):
        super().__init__(log)
        self.name = name
        self.versions = dict(versions or {})
        self.orders = []
        self.lose_orders = 0
        self.runs = []
        self.events = 3
        self.gap_s = 0.002
        self.fail_next = 0
        self.fail_status = 500
        self.failing_ids = set()
        self.lose_answers = 0
        self.endless = b''
        self.endless_closed = 0
        self.running = 0
        self.running_max = 0
        self.targets = {}
        self.shed = False
        self.break_after = None
        self.deadly_bodies = set()
        self.ended = False
        self.delay_s = 0.0
        self.extra_response = b''
        self.extra_responses = 0
        self.trailing_bytes = b''
        self.accepted = 0
        # Values of the header by which responses say that the server leaves.
        self.leaving = ()
        self.raw_answer = b''
        self.raw_resumption = b''
        self.slowness = 1.0
        self.rate_limit = None
        self.arrivals = []
        self.health_requests = 0
        self.events_sent = 0
        self.event_padding = b''

    def describe(self, service, zone='walvis-a', state='ready'):
        """Return the entry that the endpoint writes to the store."""
        return {
            'service': service,
            'address': self.address,
            'zone': zone,
            'version': 'v1',
            'slots': 4,
            'state': state,
            'coldLeftMs': 0,
            'models': [
                {'name': model, 'version': version, 'adapters': []}
                for model, version in self.versions.items()
            ],
            'seq': 1,
            'born': 1700000000000,
        }

    async def handle(self, incoming):
        head = incoming.head
        headers = {
            key.lower().decode(): value.decode() for key, value in head.headers
        }
        if headers.get('expect-instance') != self.name:
            incoming.respond(421, (), b'')
            return
        self.arrivals.append(asyncio.get_running_loop().time())
        path = head.path.decode()
        if self.extra_responses:
            self.extra_responses -= 1
            incoming._channel.send(self.extra_response)
        if path == '/api/report':
            self._report(incoming)
            return
        if path == '/api/order':
            await self._order(incoming)
            return
        load = (b'Server-Load', b'1,0,4,%d' % (self.slowness * 100))
        stated = (
            load,
            *self._build_limit_headers(),
            *((b'Server-Leaving', value) for value in self.leaving),
        )
        if path == '/health':
            self.health_requests += 1
            incoming.respond(200, stated, b'')
            return
        request_id = headers.get('request-id', '')
        echo = ((b'Request-Id', request_id.encode()), *stated)
        if self.shed:
            incoming.respond(503, (*echo, (b'Not-Executed', b'1')), b'')
            return
        self.runs.append((request_id, headers, incoming.body))
        self.targets[request_id] = head.target.decode()
        self.running += 1
        self.running_max = max(self.running_max, self.running)
        try:
            await self._run(incoming, request_id, headers, echo)
        finally:
            self.running -= 1

    def _build_limit_headers(self):
        if self.rate_limit is None:
            return ()
        return ((b'Server-Limit', b'%g' % self.rate_limit),)

    async def _run(self, incoming, request_id, headers, echo):
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if incoming.body in self.deadly_bodies:
            self.end()
            await asyncio.sleep(60)
        if self.endless:
            await self._send_without_end(incoming, request_id)
            return
        raw = self.raw_answer
        if 'last-event-id' in headers:
            raw = raw or self.raw_resumption
        if raw:
            send_raw(incoming, raw.replace(b'%s', request_id.encode()))
            return
        if self.lose_answers:
            self.lose_answers -= 1
            await asyncio.sleep(60)
            return
        response_headers = (*echo, (b'Server-Stamp', b'stamp'))
        if self.fail_next or request_id in self.failing_ids:
            self.fail_next = max(0, self.fail_next - 1)
            incoming.respond(self.fail_status, response_headers, b'failed')
            return
        model = headers.get('model')
        if model is None:
            incoming.respond(
                200, response_headers, b'answer to ' + incoming.body
            )
            if self.trailing_bytes:
                incoming._channel.send(self.trailing_bytes)
            return
        await self._stream(incoming, headers, response_headers, model)

    def end(self):
        """End as a process does: its connections and its port are closed."""
        self.ended = True
        self.server.stop()
        for task in list(self.server._tasks):
            task.cancel()

    async def _send_without_end(self, incoming, request_id):
        channel = incoming._channel
        # The bytes before the bar are sent once.
        prefix, _, repeated = self.endless.partition(b'|')
        prefix = prefix.replace(b'%s', request_id.encode())
        channel.send(prefix)
        try:
            # The server cancels this task when the caller closes.
            while True:
                channel.send(repeated * (16384 // len(repeated)))
                await channel.drain()
                await asyncio.sleep(0.001)
        finally:
            self.endless_closed += 1

    async def _stream(self, incoming, headers, response_headers, model):
        first = int(headers.get('last-event-id', 0))
        channel = incoming._channel
        lines = [b'HTTP/1.1 200 OK']
        lines.extend(key + b': ' + value for key, value in response_headers)
        lines.append(b'Weight-Versions: %d' % self.versions[model])
        lines.append(b'Transfer-Encoding: chunked')
        channel.send(b'\r\n'.join(lines) + b'\r\n\r\n')
        version = self.versions[model]
        for number in range(first + 1, self.events + 1):
            await asyncio.sleep(self.gap_s)
            text = b''
            if self.versions[model] != version:
                version = self.versions[model]
                text = b'weight-versions: %d\n' % version
            text += b'id: %d\ndata: e%d%s\n\n' % (
                number,
                number,
                self.event_padding,
            )
            channel.send(b'%x\r\n%s\r\n' % (len(text), text))
            self.events_sent += 1
            if self.break_after == number:
                self.break_after = None
                channel.abort()
                return
        channel.send(b'0\r\n\r\n')
        incoming.response_started = True
        channel.close()

    def _report(self, incoming):
        respond_json(
            incoming,
            {
                'stage': 'both',
                'models': [
                    {'name': name, 'version': version, 'adapters': []}
                    for name, version in self.versions.items()
                ],
                'busy': False,
                'seq': self.accepted,
                'numWaiting': 0,
                'numRunning': 0,
                'kvUsed': 0,
                'kvTotal': 1000,
                'handles': 0,
            },
            headers=self._build_limit_headers(),
        )

    async def _order(self, incoming):
        order = json.loads(incoming.body)
        if order['expected'] != self.accepted:
            incoming.respond(409, self._build_limit_headers(), b'')
            return
        self.orders.append(order)
        if self.lose_orders:
            self.lose_orders -= 1
            await asyncio.sleep(60)
            return
        self.accepted += 1
        self.versions[order['model']] = order['version']
        incoming.respond(202, self._build_limit_headers(), b'')


def build_manifest(version=1, **changes):
    """Return a manifest with a live route and a batch route.

    :param changes: top-level fields that replace the default ones
    """
    manifest = {
        'version': version,
        'routes': [
            {
                'name': 'r-live',
                'host': 'shop.example',
                'pathPrefix': '/live/',
                'kind': 'safe',
                'timeoutMs': 800,
                'targetLatencyMs': 190,
                'priority': 2,
                'service': 'desk',
                'maxAttempts': 2,
            },
            {
                'name': 'r-batch',
                'host': 'shop.example',
                'pathPrefix': '/batch/',
                'kind': 'rollout',
                'timeoutMs': 10000,
                'targetLatencyMs': 500,
                'priority': 0,
                'service': 'lm',
                'maxAttempts': 3,
                'maxQueueS': 40.0,
                'resultDueMs': 7500,
                'singleVersion': False,
                'sticky': True,
                'resumable': True,
            },
        ],
        'services': [
            {'name': 'desk', 'healthPath': '/health', 'maxConns': 50},
            {
                'name': 'lm',
                'healthPath': '/health',
                'maxConns': 50,
                'engine': {
                    'slots': 4,
                    'models': [{'name': 'm0'}, {'name': 'm1'}],
                },
            },
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 1000000,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }
    manifest.update(changes)
    return manifest
