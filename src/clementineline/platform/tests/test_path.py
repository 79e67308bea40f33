"""End-to-end tests of gateways and keepers on a stand-in platform.

All processes run in the test process and communicate over loopback.
"""

import asyncio
import math

import pytest

from clementineline.coordination import ledger
from clementineline.coordination import recording
from clementineline.coordination import submissionowner
from clementineline import errors
from clementineline.platform.tests import standin
from clementineline.state import dialect as dialects
from clementineline.transport import frames


class TestLiveCalls:
    async def test_response_of_the_endpoint_is_forwarded(self, served):
        status, headers, body = await served.call(
            served.gateways['gateway-1'],
            'POST',
            '/live/a%20b?c=1',
            ((b'Request-Id', b'r1'), (b'Timeout-Ms', b'800')),
            b'lookup',
        )
        assert (status, body) == (200, b'answer to lookup')
        assert (b'server-stamp', b'stamp') in headers
        request_id, seen, _ = served.servers['i-desk'].runs[0]
        assert request_id == 'r1'
        assert seen['expect-instance'] == 'i-desk'
        assert 700 <= int(seen['timeout-ms']) <= 800

    async def test_request_without_a_route_gets_404(self, served):
        status, _, _ = await served.call(
            served.gateways['gateway-1'],
            'GET',
            '/nowhere/',
            ((b'Request-Id', b'r1'),),
        )
        assert status == 404

    async def test_refusal_by_all_endpoints_gets_503_with_retry_after(
        self, served
    ):
        served.servers['i-desk'].shed = True
        status, headers, _ = await served.call(
            served.gateways['gateway-1'],
            'POST',
            '/live/a',
            ((b'Request-Id', b'r1'),),
        )
        assert status == 503
        assert dict(headers)[b'retry-after'] == b'0.100'

    async def test_draining_endpoint_gets_no_new_calls(
        self, served, wait_until
    ):
        other = await served.start_server('i-desk2', 'desk')
        entry = served.servers['i-desk'].describe('desk', state='draining')
        served.store.put('servers', 'i-desk', entry)
        gateway = served.gateways['gateway-1']
        known = gateway._directory
        await wait_until(
            lambda: [s.id for s in known.list_usable('desk')] == ['i-desk2']
        )
        for number in range(5):
            status, _, _ = await served.call(
                gateway,
                'POST',
                '/live/a',
                ((b'Request-Id', b'r%d' % number),),
            )
            assert status == 200
        assert len(other.runs) == 5

    async def test_older_manifest_is_ignored(self, served, wait_until):
        gateway = served.gateways['gateway-1']
        served.store.put('config', 'main', standin.build_manifest(7))
        await wait_until(lambda: gateway._routes.table.version == 7)
        served.store.put('config', 'main', standin.build_manifest(6))
        served.store.put('config', 'main', standin.build_manifest(8))
        await wait_until(lambda: gateway._routes.table.version == 8)


class TestSteps:
    async def test_each_item_is_listed_once(self, served):
        gateway = served.gateways['gateway-1']
        assert await served.submit(gateway, 's1', items=8) == 202
        results = await served.read_all(gateway, 's1', 8)
        assert sorted(result['id'] for result in results) == sorted(
            f's1-i{number}' for number in range(8)
        )
        for result in results:
            assert result['state'] == 'completed'
            assert result['text'] == 'e1\ne2\ne3'
            assert result['versions'] == [1]

    async def test_repeated_submission_runs_once(self, served):
        gateway = served.gateways['gateway-1']
        assert await served.submit(gateway, 's1') == 202
        assert await served.submit(gateway, 's1') == 202
        await served.read_all(gateway, 's1', 4)
        runs = []
        for name in ('i-lm0', 'i-lm1'):
            runs.extend(run[0] for run in served.servers[name].runs)
        assert len(runs) == len(set(runs)) == 4

    async def test_read_of_unknown_submission_gets_404(self, served):
        gateway = served.gateways['gateway-1']
        status, _ = await served.read(gateway, 'nothing')
        assert status == 404

    async def test_broken_item_run_resumes_after_the_last_event(self, served):
        served.servers['i-lm0'].break_after = 2
        served.servers['i-lm1'].break_after = 2
        gateway = served.gateways['gateway-1']
        await served.submit(gateway, 's1')
        results = await served.read_all(gateway, 's1', 4)
        assert {result['text'] for result in results} == {'e1\ne2\ne3'}
        resumed = []
        for name in ('i-lm0', 'i-lm1'):
            for _, headers, _ in served.servers[name].runs:
                resumed.append(headers.get('last-event-id'))
        assert '2' in resumed

    async def test_straggler_moves_off_an_engine_that_becomes_slow(
        self, served, wait_until
    ):
        for server in served.servers.values():
            server.events = 60
            server.gap_s = 0.02
        gateway = served.gateways['gateway-1']
        await served.submit(gateway, 's1', items=2)
        first = served.servers['i-lm0']
        leader = served.keepers[served.find_leader()]
        await wait_until(lambda: leader._owner.open_submissions.get('s1'))
        runs = leader._owner.open_submissions['s1'].runs
        # Wait until the prefill of the prompts is over.
        await wait_until(
            lambda: min((len(r.texts) for r in runs.values()), default=0) > 25
        )
        (run,) = [r for r in runs.values() if r.state.id == 'i-lm0']
        received = len(run.texts)
        first.gap_s = 0.5
        first.slowness = 25
        results = await served.read_all(gateway, 's1', 2)
        complete_text = '\n'.join(f'e{number}' for number in range(1, 61))
        assert {result['text'] for result in results} == {complete_text}
        second = served.servers['i-lm1']
        moved = [run for run in second.runs if 'last-event-id' in run[1]]
        assert len(moved) == 1
        # The slow engine sends at most one more event.
        assert int(moved[0][1]['last-event-id']) <= received + 1
        assert second.health_requests

    async def test_items_that_end_before_they_run_occupy_no_slot(
        self, served, wait_until
    ):
        leader = served.keepers[served.find_leader()]
        owner = leader._owner
        gateway = served.gateways['gateway-1']
        states = leader._directory.endpoints.values()
        for state in states:
            state.backoff_until = math.inf
        await served.submit(gateway, 's1', items=4)
        await wait_until(lambda: 's1' in owner.open_submissions)
        entry = owner.open_submissions['s1']
        await wait_until(lambda: len(entry.waiting) == 4)
        for state in states:
            state.backoff_until = 0.0
        now = asyncio.get_running_loop().time()
        owner._start_items(entry, now)
        owner._end_submission(entry)
        await wait_until(lambda: not any(state.item_runs for state in states))

    async def test_item_that_the_engine_rejects_is_abandoned(self, served):
        for name in ('i-lm0', 'i-lm1'):
            served.servers[name].fail_next = 100
            served.servers[name].fail_status = 422
        gateway = served.gateways['gateway-1']
        await served.submit(gateway, 's1', items=2)
        results = await served.read_all(gateway, 's1', 2)
        assert {result['state'] for result in results} == {'abandoned'}

    async def test_failing_item_runs_as_often_as_its_route_allows(
        self, served
    ):
        for name in ('i-lm0', 'i-lm1'):
            served.servers[name].fail_next = 100
        gateway = served.gateways['gateway-1']
        await served.submit(gateway, 's1', items=2)
        results = await served.read_all(gateway, 's1', 2)
        assert {result['state'] for result in results} == {'abandoned'}
        runs = []
        for name in ('i-lm0', 'i-lm1'):
            runs.extend(served.servers[name].runs)
        assert len(runs) == 6

    async def test_no_item_starts_after_the_end_of_its_submission(
        self, served, wait_until
    ):
        for name in ('i-lm0', 'i-lm1'):
            served.servers[name].gap_s = 0.2
        gateway = served.gateways['gateway-1']
        await served.submit(gateway, 's1', items=40)
        status, _, _ = await served.call(gateway, 'DELETE', '/api/lots/s1')
        assert status == 200
        leader = served.keepers[served.find_leader()]
        await wait_until(lambda: leader._owner.open_submissions['s1'].ended)
        counts = [len(server.runs) for server in served.servers.values()]
        await asyncio.sleep(0.3)
        assert counts == [len(s.runs) for s in served.servers.values()]
        status, _, _ = await served.call(gateway, 'DELETE', '/api/lots/s1')
        assert status == 200

    async def test_owner_learns_of_an_end_that_its_watch_misses(
        self, served, wait_until, monkeypatch
    ):
        for name in ('i-lm0', 'i-lm1'):
            served.servers[name].gap_s = 0.5
        gateway = served.gateways['gateway-1']
        await served.submit(gateway, 's1', items=4)
        leader = served.keepers[served.find_leader()]
        await wait_until(lambda: leader._owner.list_runs())
        monkeypatch.setattr(
            ledger, 'decode_submission_object', lambda found: None
        )
        status, _, _ = await served.call(gateway, 'DELETE', '/api/lots/s1')
        assert status == 200
        await wait_until(lambda: leader._owner.open_submissions['s1'].ended)
        assert not leader._owner.list_runs()

    async def test_item_body_is_readable_until_its_result_is_listed(
        self, served
    ):
        for name in ('i-lm0', 'i-lm1'):
            served.servers[name].gap_s = 0.3
        gateway = served.gateways['gateway-1']
        await served.submit(gateway, 's1')
        target = '/api/items/s1?id=s1-i1'
        status, _, body = await served.call(gateway, 'GET', target)
        assert (status, body) == (200, b'prompt 1')
        await served.read_all(gateway, 's1', 4)
        status, _, _ = await served.call(gateway, 'GET', target)
        assert status == 404


class TestVersions:
    async def test_target_version_is_loaded_and_generates_the_results(
        self, served, wait_until
    ):
        served.store.put('versions', 'm0', {'model': 'm0', 'version': 2})
        engines = [served.servers['i-lm0'], served.servers['i-lm1']]
        await wait_until(
            lambda: max(engine.versions['m0'] for engine in engines) == 2
        )
        gateway = served.gateways['gateway-1']
        await served.submit(gateway, 's1', minVersion=2)
        results = await served.read_all(gateway, 's1', 4)
        assert {tuple(result['versions']) for result in results} == {(2,)}
        fences = set()
        for engine in engines:
            fences.update(order['fencingToken'] for order in engine.orders)
        assert len(fences) == 1

    async def test_single_version_item_is_not_resumed_by_another_version(
        self, served, wait_until
    ):
        # On a single-version route, items were resumed at an engine with
        # another version. Their results then mixed two versions, so the items
        # were restarted after they had ended.
        manifest = standin.build_manifest(2)
        manifest['routes'][1]['singleVersion'] = True
        served.store.put('config', 'main', manifest)
        old, new = served.servers['i-lm0'], served.servers['i-lm1']
        leader = served.keepers[served.find_leader()]
        await wait_until(lambda: leader._routes.table.version == 2)
        new.versions['m0'] = 2
        entry = new.describe('lm')
        served.store.put('servers', 'i-lm1', entry)
        states = leader._directory.endpoints
        await wait_until(lambda: states['i-lm1'].versions['m0'] == 2)
        old.events = new.events = 20
        old.gap_s = new.gap_s = 0.02
        old.break_after = new.break_after = 10
        gateway = served.gateways['gateway-1']
        await served.submit(gateway, 's1', items=2)
        results = await served.read_all(gateway, 's1', 2)
        assert {len(result['versions']) for result in results} == {1}
        for server, other in ((old, new), (new, old)):
            run_here = [run[0] for run in server.runs]
            run_twice = [run for run in other.runs if run[0] in run_here]
            assert not run_twice
        assert len(old.runs + new.runs) == 4

    async def test_load_order_without_response_is_sent_again(
        self, served, wait_until
    ):
        engines = [served.servers['i-lm0'], served.servers['i-lm1']]
        for engine in engines:
            engine.lose_orders = 1
        served.store.put('versions', 'm0', {'model': 'm0', 'version': 2})
        await wait_until(
            lambda: max(engine.versions['m0'] for engine in engines) == 2
        )


class TestFailures:
    async def test_new_leader_continues_from_the_ledger(
        self, served, wait_until
    ):
        for name in ('i-lm0', 'i-lm1'):
            served.servers[name].gap_s = 0.05
        gateway = served.gateways['gateway-1']
        await served.submit(gateway, 's1', items=40)
        first = await served.read_all(gateway, 's1', 2)
        leader = served.keepers.pop(served.find_leader())
        await leader.stop()
        results = await served.read_all(gateway, 's1', 40)
        assert results[: len(first)] == first
        assert len({result['id'] for result in results}) == 40

    async def test_new_leader_resumes_items_with_their_text(
        self, served, wait_until
    ):
        # Without their text, items of 5 s restarted after a change of the
        # leader, and their results came too late for the step.
        engines = [served.servers['i-lm0'], served.servers['i-lm1']]
        for engine in engines:
            engine.events, engine.gap_s = 30, 0.05
        gateway = served.gateways['gateway-1']
        first = served.find_leader()
        await wait_until(lambda: served.keepers[first]._members.keepers)
        await served.submit(gateway, 's1')
        await wait_until(
            lambda: (
                all(
                    len(run.texts) > 5
                    for _, run in served.keepers[first]._owner.list_runs()
                )
                and served.keepers[first]._owner.list_runs()
            )
        )
        await served.keepers[first].stop()
        await wait_until(lambda: served.find_leader() not in (None, first))
        await served.read_all(gateway, 's1', 4)
        resumed = []
        for engine in engines:
            for _, headers, _ in engine.runs:
                resumed.append(int(headers.get('last-event-id', 0)))
        assert len(resumed) == 8
        assert sorted(resumed)[4] > 0
        served.keepers.pop(first)

    async def test_texts_survive_a_restart_of_all_keepers(
        self, deployment, wait_until, tmp_path
    ):
        # All processes were killed 34 s into a scenario. Without their text,
        # items of 7 s restarted, and the steps after them were late.
        engine = await deployment.start_server('i-lm0', 'lm', {'m0': 1})
        engine.events, engine.gap_s = 40, 0.05
        gateway = await deployment.start_gateway('gateway-1')
        names = ('keeper-1', 'keeper-2')
        for name in names:
            (tmp_path / name).mkdir()
            await deployment.start_keeper(name, tmp_path / name)
        await wait_until(lambda: gateway.is_ready and deployment.find_leader())
        first = deployment.keepers[deployment.find_leader()]
        await wait_until(lambda: first._members.keepers)
        await deployment.submit(gateway, 's1')
        (other,) = [k for k in deployment.keepers.values() if k is not first]
        await wait_until(lambda: other._text_log.written_bytes > 500)
        for name in names:
            await deployment.keepers.pop(name)._tasks.stop()
        for name in names:
            await deployment.start_keeper(name, tmp_path / name)
        results = await deployment.read_all(gateway, 's1', 4)
        complete_text = '\n'.join(f'e{number}' for number in range(1, 41))
        assert {result['text'] for result in results} == {complete_text}
        assert len(engine.runs) == 8
        for _, headers, _ in engine.runs[4:]:
            assert int(headers.get('last-event-id', 0)) > 0

    @pytest.mark.parametrize('ended', [False, True])
    async def test_owner_lists_all_results_that_the_ledger_holds(
        self, served, wait_until, monkeypatch, ended
    ):
        # The owner got no response to an append that had taken effect. A read
        # from the ledger then returned results that a later read from the
        # owner lacked.
        monkeypatch.setattr(submissionowner, 'UNCONFIRMED_READ_DELAY_S', 0.0)
        gateway = served.gateways['gateway-1']
        leader = served.keepers[served.find_leader()]
        append = leader._ledger.append
        appended = asyncio.Event()

        async def append_without_answer(*arguments):
            await append(*arguments)
            appended.set()
            if ended:
                await asyncio.sleep(60)
            raise errors.AmbiguousWrite('no answer')

        monkeypatch.setattr(
            ledger.Ledger, 'append', lambda _, *a: append_without_answer(*a)
        )
        monkeypatch.setattr(recording, 'APPEND_RETRY_DELAY_S', 60.0)
        await served.submit(gateway, 's1')
        await appended.wait()
        if ended:
            status, _, _ = await served.call(gateway, 'DELETE', '/api/lots/s1')
            assert status == 200
            await wait_until(
                lambda: leader._owner.open_submissions['s1'].ended
            )
        recorded = await gateway._submissions._read_recorded(
            dialects.BatchCall(dialects.BatchVerb.READ_RESULTS, 's1')
        )
        assert recorded.results
        _, page = await served.read(gateway, 's1')
        assert len(page['results']) >= len(recorded.results)

    async def test_items_keep_running_while_the_store_is_unreachable(
        self, served, wait_until
    ):
        engines = [served.servers['i-lm0'], served.servers['i-lm1']]
        for engine in engines:
            engine.events, engine.gap_s = 30, 0.05
        gateway = served.gateways['gateway-1']
        leader = served.keepers[served.find_leader()]
        await served.submit(gateway, 's1')
        await wait_until(lambda: leader._owner.list_runs())
        served.store.down = True
        await wait_until(lambda: not leader._lease.holds())
        entry = leader._owner.open_submissions['s1']
        await wait_until(lambda: len(entry.finished) == 4)
        served.store.down = False
        assert len(await served.read_all(gateway, 's1', 4)) == 4
        assert sum(len(engine.runs) for engine in engines) == 4

    async def test_results_are_readable_from_the_ledger_without_a_leader(
        self, served, wait_until
    ):
        gateway = served.gateways['gateway-1']
        await served.submit(gateway, 's1')
        results = await served.read_all(gateway, 's1', 4)
        for keeper in served.keepers.values():
            await keeper.stop()
        served.keepers.clear()
        status, page = await served.read(gateway, 's1', 1)
        assert status == 200
        assert page['results'] == results[1:]

    async def test_submission_is_accepted_if_the_store_response_is_lost(
        self, served
    ):
        gateway = served.gateways['gateway-1']
        served.store.lose_writes = 1
        assert await served.submit(gateway, 's1') == 202
        assert len(await served.read_all(gateway, 's1', 4)) == 4

    async def test_submission_is_refused_while_the_store_is_unreachable(
        self, served
    ):
        gateway = served.gateways['gateway-1']
        served.store.down = True
        assert await served.submit(gateway, 's1') == 503
        served.store.down = False

    async def test_keeper_without_store_access_uses_another_process(
        self, served, wait_until
    ):
        gateway = served.gateways['gateway-1']
        name = served.find_leader()
        leader = served.keepers[name]
        await wait_until(lambda: leader._members.addresses)
        fence = leader._lease.fence
        client = served.clients[name]
        # Nothing listens on this port, so the keeper cannot reach the store
        # itself.
        client._address = frames.parse_address(
            f'127.0.0.1:{standin.find_free_port()}'
        )
        client._idle_connections.clear()
        await served.submit(gateway, 's1')
        await served.read_all(gateway, 's1', 4)
        version = leader._lease._version
        # Several renewals succeed, which only another process can relay.
        await wait_until(lambda: leader._lease._version > version + 20)
        assert served.find_leader() == name
        assert leader._lease.fence == fence

    async def test_retiring_vm_is_released(self, served, wait_until):
        served.store.put('retirements', 'keeper-1', {'durationS': 5})
        await wait_until(
            lambda: (
                served.store.get_status('retirements', 'keeper-1')
                == {'state': 'completed'}
            )
        )
        assert served.find_leader() != 'keeper-1'
