"""Keys and names of organisations over the wire.

An endpoint must see the organisation of the caller's key and never the key.
Submissions must be of use to their organisation only.
"""

import asyncio
import json

import pytest
from structlog import testing

from clementineline.coordination import forwarding
from clementineline.coordination import leaders
from clementineline.coordination import ledger as ledgers
from clementineline import errors
from clementineline.platform.tests import standin
from clementineline.state import submissions
from clementineline.transport import frames
from clementineline.transport import http
from clementineline.transport import outgoing

NORTH = 'key-of-north'
SOUTH = 'key-of-south'
WRONG = 'key-of-nobody'
TENANTS = [
    {'name': 'north', 'apiKeys': [NORTH, 'second-of-north'], 'priority': 1},
    {'name': 'south', 'apiKeys': [SOUTH]},
]
FORGED = (b'tenant', b'forged')


def build_manifest(version, tenants):
    manifest = standin.build_manifest(version)
    live, batch = manifest['routes']
    for route, name in ((live, 'open'), (batch, 'openbatch')):
        manifest['routes'].append(
            {
                **route,
                'name': f'r-{name}',
                'pathPrefix': f'/{name}/',
                'public': True,
            }
        )
    manifest['routes'].append(
        {
            **live,
            'name': 'r-stream',
            'pathPrefix': '/stream/',
            'kind': 'stream',
            'service': 'lm',
            'resumable': True,
        }
    )
    if tenants is not None:
        manifest['tenants'] = tenants
    return manifest


class Access:
    """A deployment with organisations, and calls to its gateway."""

    def __init__(self, deployment, wait_until):
        self.deployment = deployment
        self.gateway = deployment.gateways['gateway-1']
        self.servers = deployment.servers
        self.store = deployment.store
        self.version = 1
        self._wait_until = wait_until

    def put(self, tenants):
        """Write the next manifest."""
        self.version += 1
        manifest = build_manifest(self.version, tenants)
        self.store.put('config', 'main', manifest)

    async def change(self, tenants):
        """Write the next manifest and wait until all processes use it."""
        self.put(tenants)
        processes = [
            *self.deployment.gateways.values(),
            *self.deployment.keepers.values(),
        ]
        await self._wait_until(
            lambda: all(
                each._routes.table.version == self.version
                for each in processes
            )
        )

    def forget_refusals(self):
        """Let the next refusal be final, as it is after some seconds."""
        authorizer = self.gateway._authorizer
        authorizer._replaced.clear()
        authorizer._settled_at = 0.0
        authorizer._reader._started_at = None

    async def call(self, path, *keys, method='POST', more=()):
        """Send a call; return its status."""
        headers = [(b'Request-Id', b'q1'), FORGED, *more]
        headers.extend((b'Api-Key', key.encode()) for key in keys)
        status, _, self.answer = await self.deployment.call(
            self.gateway, method, path, headers, b'lookup'
        )
        return status

    def list_names(self):
        """Return the names that endpoints saw, '' for none, and clear them.

        No endpoint may have seen a key.
        """
        names = []
        for server in self.servers.values():
            for _, headers, _ in server.runs:
                assert 'api-key' not in headers
                names.append(headers.get('tenant', ''))
            server.runs.clear()
        return names


@pytest.fixture
async def access(served, wait_until):
    started = Access(served, wait_until)
    await started.change(TENANTS)
    started.forget_refusals()
    return started


class TestCalls:
    async def test_endpoint_sees_the_name_and_no_key(self, access):
        assert await access.call('/live/a', NORTH) == 200
        assert await access.call('/live/a', SOUTH) == 200
        assert await access.call('/open/a', SOUTH) == 200
        assert access.list_names() == ['north', 'south', 'south']

    async def test_without_a_valid_key_no_name_is_sent(self, access):
        # The name that the caller made up would count as its own.
        assert await access.call('/open/a') == 200
        assert await access.call('/open/a', WRONG) == 200
        assert await access.call('/open/a', NORTH, SOUTH) == 200
        assert access.list_names() == ['', '', '']

    async def test_invalid_key_is_refused(self, access):
        assert await access.call('/live/a', WRONG) == 401
        access.forget_refusals()
        assert await access.call('/live/a', NORTH, SOUTH) == 401
        assert await access.call('/nowhere', WRONG) == 404
        assert access.list_names() == []

    async def test_headers_stay_without_organisations(self, access):
        # Deployments without organisations may use both headers themselves.
        await access.change(None)
        assert await access.call('/live/a', NORTH) == 200
        ((_, headers, _),) = access.servers['i-desk'].runs
        assert (headers['api-key'], headers['tenant']) == (NORTH, 'forged')

    async def test_retries_and_hedges_carry_the_name(
        self, access, monkeypatch, wait_until
    ):
        # A second attempt that is built otherwise would leak the key.
        monkeypatch.setattr(forwarding, 'HEDGE_DELAY_SHARE', 0.1)
        await access.deployment.start_server('i-desk2', 'desk')
        await wait_until(lambda: len(access.gateway._directory.endpoints) == 4)
        for name in ('i-desk', 'i-desk2'):
            access.servers[name].delay_s = 0.1
        assert await access.call('/live/a', NORTH) == 200
        assert access.list_names() == ['north', 'north']

    async def test_stream_and_its_resumption_carry_the_name(self, access):
        for name in ('i-lm0', 'i-lm1'):
            access.servers[name].break_after = 2
        status = await access.call(
            '/stream/a', NORTH, more=((b'Model', b'm0'),)
        )
        assert status == 200
        assert access.list_names() == ['north', 'north']


class TestChanges:
    async def test_keys_change_on_a_kept_connection(self, access):
        # A connection that outlives a key must not outlive its removal.
        address = frames.parse_address(access.gateway.settings.http)
        client = await outgoing.connect(address, 1.0)

        async def call():
            headers = (
                (b'Host', b'shop.example'),
                (b'Request-Id', b'q1'),
                (b'Api-Key', b'new'),
            )
            client.send_request(http.Head(b'POST', b'/live/a', headers), b'x')
            reply = await client.receive_head()
            await client.receive_body(1000)
            return reply.status_code

        assert await call() == 401
        await access.change([{'name': 'north', 'apiKeys': ['new']}])
        assert await call() == 200
        await access.change([{'name': 'north', 'apiKeys': []}])
        # Another gateway may still accept the key.
        assert await call() == 503
        access.forget_refusals()
        assert await call() == 401
        client.close()
        assert access.list_names() == ['north']

    async def test_new_key_is_accepted_before_the_watch_reports_it(
        self, access, wait_until
    ):
        # The response to a watch may be lost, and nothing is known of it.
        access.gateway._route_watcher._on_objects = lambda *changes: None
        access.put([{'name': 'north', 'apiKeys': ['new']}])
        assert access.gateway._routes.table.version != access.version
        assert await access.call('/live/a', 'new') == 200
        assert access.list_names() == ['north']

    async def test_no_key_is_checked_before_a_table_is_known(self, access):
        # A process that has restarted does not know whether organisations are
        # in force.
        access.gateway._routes.table = None
        assert await access.call('/live/a', NORTH) == 503
        for method in ('GET', 'DELETE'):
            status = await access.call('/api/lots/s1', NORTH, method=method)
            assert status == 503

    async def test_keys_are_in_no_log_line_or_error(self, access):
        # Guards against keys in logs, which many people may read.
        with testing.capture_logs() as lines:
            await access.call('/live/a', NORTH)
            await access.call('/live/a', WRONG)
            await access.call('/api/lots/s1', WRONG, method='GET')
            await access.call('/api/lots/s1', NORTH, method='GET')
            address = frames.parse_address(access.gateway.settings.http)
            client = await outgoing.connect(address, 1.0)
            client._channel.send(
                b'GET / HTTP/1.1\r\nApi-Key: key-of-\x00bad\r\n\r\n'
            )
            assert (await client.receive_head()).status_code == 400
            error = await client.receive_body(1000)
            client.close()
        assert any(line['event'] == 'client refused' for line in lines)
        assert 'key-of' not in str(lines)
        assert b'key-of' not in error


class TestSubmissions:
    async def submit(self, access, submission_id, key, **options):
        return await access.deployment.submit(
            access.gateway, submission_id, key=key, **options
        )

    async def test_items_and_reward_calls_carry_the_name(self, access):
        status = await self.submit(access, 's1', NORTH, scored=True)
        assert status == 202
        results = await access.deployment.read_all(
            access.gateway, 's1', 4, 'second-of-north'
        )
        assert {result['state'] for result in results} == {'completed'}
        assert set(access.list_names()) == {'north'}
        record = access.store.get_spec('submissions', 's1')
        assert record['submission']['organisation'] == 'north'
        assert 'key-of' not in json.dumps(record)

    @pytest.mark.parametrize('leader', [True, False])
    async def test_only_the_own_organisation_uses_a_submission(
        self, access, leader, monkeypatch
    ):
        """The leader and the ledger must decide alike."""
        for name in ('i-lm0', 'i-lm1'):
            access.servers[name].gap_s = 5.0
        assert await self.submit(access, 's1', NORTH) == 202
        if not leader:

            async def fail(*arguments):
                raise errors.NotReady('no leader')

            monkeypatch.setattr(leaders.LeaderClient, 'ask', fail)
        calls = (
            ('GET', '/api/lots/s1'),
            ('GET', '/api/items/s1?id=s1-i0'),
            ('DELETE', '/api/lots/s1'),
        )
        for method, path in calls:
            for key, status in ((SOUTH, 404), (WRONG, 401), (None, 401)):
                access.forget_refusals()
                keys = () if key is None else (key,)
                assert await access.call(path, *keys, method=method) == status
                assert b'prompt' not in access.answer
        assert not access.store.get_status('submissions', 's1')
        for method, path in calls:
            assert await access.call(path, NORTH, method=method) == 200
        assert access.store.get_status('submissions', 's1')
        # A repeated end is answered without the store.
        access.forget_refusals()
        assert await access.call('/api/lots/s1', SOUTH, method='DELETE') == 404

    async def test_end_costs_one_call_to_the_store(self, access, wait_until):
        # Calls are priced, and each submission is ended.
        await self.submit(access, 's1', NORTH)
        await access.deployment.read_all(access.gateway, 's1', 4, NORTH)
        access.store.calls.clear()
        assert await access.call('/api/lots/s1', NORTH, method='DELETE') == 200
        calls = [call for call in access.store.calls if 'watch' not in call[2]]
        about = [call for call in calls if call[1] == 'submissions']
        assert [call[0] for call in about] == ['PUT']

    async def test_submission_without_a_key_is_read_without_one(self, access):
        status = await self.submit(access, 's1', None, path='/openbatch/')
        assert status == 202
        await access.deployment.read_all(access.gateway, 's1', 4)
        assert set(access.list_names()) == {''}
        assert await access.call('/api/lots/s1', method='DELETE') == 200

    async def test_earlier_submission_is_used_with_any_valid_key(self, access):
        # The results of work accepted before the change would be lost.
        await access.change(None)
        for name in ('i-lm0', 'i-lm1'):
            access.servers[name].gap_s = 0.1
        assert await self.submit(access, 's1', WRONG) == 202
        await access.change(TENANTS)
        access.forget_refusals()
        assert await access.call('/api/lots/s1', method='GET') == 401
        await access.deployment.read_all(access.gateway, 's1', 4, SOUTH)

    async def test_submission_outlives_the_key_and_the_organisation(
        self, access
    ):
        for name in ('i-lm0', 'i-lm1'):
            access.servers[name].gap_s = 0.1
        await self.submit(access, 's1', NORTH)
        await access.change([{'name': 'south', 'apiKeys': [SOUTH]}])
        assert await access.call('/api/lots/s1', SOUTH, method='GET') == 404
        await access.change([{'name': 'north', 'apiKeys': ['later']}])
        await access.deployment.read_all(access.gateway, 's1', 4, 'later')
        assert set(access.list_names()) == {'north'}

    async def test_key_that_changes_its_organisation_gets_no_404_at_first(
        self, access
    ):
        # Another gateway may still accept the key for the submission.
        await self.submit(access, 's1', NORTH)
        await access.change([{'name': 'south', 'apiKeys': [NORTH]}])
        assert await access.call('/api/lots/s1', NORTH, method='GET') == 503
        access.forget_refusals()
        assert await access.call('/api/lots/s1', NORTH, method='GET') == 404

    async def test_id_belongs_to_the_first_organisation(self, access):
        assert await self.submit(access, 's1', NORTH) == 202
        record = access.store.get_spec('submissions', 's1')
        assert await self.submit(access, 's1', NORTH) == 202
        assert await self.submit(access, 's1', SOUTH, items=2) == 400
        assert access.store.get_spec('submissions', 's1') == record

    async def test_items_left_by_another_organisation_are_not_used(
        self, client
    ):
        """A gateway may end between the items and their submission."""
        book = ledgers.Ledger(client, 100)
        parts = {}
        for name in ('north', 'south'):
            parts[name] = submissions.Submission(
                's1',
                'r',
                'lm',
                'h',
                'm0',
                0,
                1,
                0,
                0.0,
                tuple(
                    submissions.Item(f'i{n}', '/p', (), name.encode(), 1, 'g')
                    for n in range(3)
                ),
                organisation=name,
            )
        left = parts['north']
        await book._write_parts(left, [(item,) for item in left.items])
        assert await book.accept(parts['south'])
        assert await book.read('s1') == parts['south']
        await book.remove('s1', 0, 3, 'south')
        assert await book.read('s1') is None

    async def test_end_that_may_be_recorded_is_not_refused(
        self, access, monkeypatch
    ):
        # 503 would promise that the submission was not ended.
        assert await self.submit(access, 's1', NORTH) == 202
        failures = [
            errors.AmbiguousWrite('no response'),
            errors.PlatformUnavailable('status 503'),
        ]

        async def fail(*arguments):
            raise failures.pop(0)

        monkeypatch.setattr(ledgers.Ledger, 'end', fail)
        assert await access.call('/api/lots/s1', NORTH, method='DELETE') == 504
        assert not failures
        failures.append(errors.PlatformUnavailable('status 503'))
        assert await access.call('/api/lots/s1', NORTH, method='DELETE') == 503

    @pytest.mark.parametrize('leader', [True, False])
    async def test_key_given_to_another_organisation_is_used_at_once(
        self, access, leader, monkeypatch
    ):
        """A 404 from a late gateway would deny what the manifest allows."""
        assert await self.submit(access, 's1', NORTH) == 202
        if not leader:

            async def fail(*arguments):
                raise errors.NotReady('no leader')

            monkeypatch.setattr(leaders.LeaderClient, 'ask', fail)
        access.gateway._route_watcher._on_objects = lambda *changes: None
        access.put([{'name': 'north', 'apiKeys': [SOUTH]}])
        assert await access.call('/api/lots/s1', SOUTH, method='GET') == 200

    async def test_late_gateway_that_is_cut_off_gives_no_404(self, access):
        # The key may belong to the submission's organisation by now.
        assert await self.submit(access, 's1', NORTH) == 202
        access.gateway._route_watcher.current = False
        for method in ('GET', 'DELETE'):
            status = await access.call('/api/lots/s1', SOUTH, method=method)
            assert status == 503
        access.gateway._route_watcher.current = True
        assert not access.store.get_status('submissions', 's1')

    async def test_unknown_submission_is_not_found_without_a_read(
        self, access
    ):
        # Calls are priced, and no manifest allows what does not exist.
        await access.change([{'name': 'south', 'apiKeys': [NORTH]}])
        status = await access.call('/api/lots/s9', NORTH, method='GET')
        assert status == 404
        assert access.gateway._authorizer._reader._started_at is None

    async def test_end_of_a_later_submission_of_the_same_id(self, access):
        # An end that is remembered would deny the new one's own key.
        assert await self.submit(access, 's1', NORTH) == 202
        assert await access.call('/api/lots/s1', NORTH, method='DELETE') == 200
        for keeper in access.deployment.keepers.values():
            if keeper._owner is not None:
                entry = keeper._owner.open_submissions['s1']
                await keeper._owner._remove_submission(entry)
        for name in ('i-lm0', 'i-lm1'):
            access.servers[name].gap_s = 5.0
        assert await self.submit(access, 's1', SOUTH) == 202
        access.forget_refusals()
        assert await access.call('/api/lots/s1', NORTH, method='DELETE') == 404
        assert not access.store.get_status('submissions', 's1')
        assert await access.call('/api/lots/s1', SOUTH, method='DELETE') == 200
        assert access.store.get_status('submissions', 's1')

    async def test_repeat_through_a_late_gateway_is_not_refused(self, access):
        # The submission was accepted, and 400 would tell its owner otherwise.
        for path in ('/openbatch/', '/batch/'):
            submission_id = f's{len(path)}'
            status = await self.submit(access, submission_id, NORTH, path=path)
            assert status == 202
            access.forget_refusals()
            key = 'new' if path == '/openbatch/' else SOUTH
            route_watcher = access.gateway._route_watcher
            on_objects = route_watcher._on_objects
            route_watcher._on_objects = lambda *changes: None
            access.put([{'name': 'north', 'apiKeys': [NORTH, key]}])
            status = await self.submit(access, submission_id, key, path=path)
            assert status == 202
            route_watcher._on_objects = on_objects

    async def test_taken_id_is_refused_after_another_refusal(self, access):
        # 504 would let the other one repeat a submission that cannot run.
        assert await self.submit(access, 's1', NORTH) == 202
        for _ in range(2):
            assert await self.submit(access, 's1', SOUTH) == 400

    async def test_reads_for_callers_without_a_key_are_limited(
        self, access, monkeypatch
    ):
        # Anybody could cause a priced call to the store by each request.
        reads = []
        read_record = ledgers.Ledger.read_record

        async def count(ledger, submission_id):
            reads.append(submission_id)
            return await read_record(ledger, submission_id)

        monkeypatch.setattr(ledgers.Ledger, 'read_record', count)
        calls = []
        for number in range(25):
            for method, path in (
                ('GET', '/api/lots/'),
                ('DELETE', '/api/lots/'),
                ('GET', '/api/items/'),
            ):
                calls.append(
                    access.call(f'{path}x{number}', WRONG, method=method)
                )
        assert set(await asyncio.gather(*calls)) <= {401, 503}
        assert 0 < len(reads) < 25
        assert await access.call('/api/lots/x', NORTH, method='GET') == 404
