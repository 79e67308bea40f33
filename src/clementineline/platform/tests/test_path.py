"""The whole path on the users' platform, in one process over loopback."""

import asyncio
import math

import pytest

from clementineline.coordination import ledger
from clementineline.coordination import recording
from clementineline.coordination import stepowner
from clementineline import errors
from clementineline.platform.tests import standin
from clementineline.state import dialect as dialects
from clementineline.transport import frames


class TestLiveCalls:
    async def test_answer_is_the_servers(self, served):
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

    async def test_unknown_route_is_404(self, served):
        status, _, _ = await served.call(
            served.gateways['gateway-1'],
            'GET',
            '/nowhere/',
            ((b'Request-Id', b'r1'),),
        )
        assert status == 404

    async def test_refusal_everywhere_is_503_with_retry_after(self, served):
        served.servers['i-desk'].shed = True
        status, headers, _ = await served.call(
            served.gateways['gateway-1'],
            'POST',
            '/live/a',
            ((b'Request-Id', b'r1'),),
        )
        assert status == 503
        assert dict(headers)[b'retry-after'] == b'0.100'

    async def test_leaving_server_gets_no_new_call(self, served, wait_until):
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

    async def test_manifest_never_goes_back(self, served, wait_until):
        gateway = served.gateways['gateway-1']
        served.store.put('config', 'main', standin.build_manifest(7))
        await wait_until(lambda: gateway._routes.table.version == 7)
        served.store.put('config', 'main', standin.build_manifest(6))
        served.store.put('config', 'main', standin.build_manifest(8))
        await wait_until(lambda: gateway._routes.table.version == 8)


class TestSteps:
    async def test_every_item_is_listed_once(self, served):
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

    async def test_repeated_submission_is_accepted_once(self, served):
        gateway = served.gateways['gateway-1']
        assert await served.submit(gateway, 's1') == 202
        assert await served.submit(gateway, 's1') == 202
        await served.read_all(gateway, 's1', 4)
        runs = []
        for name in ('i-lm0', 'i-lm1'):
            runs.extend(run[0] for run in served.servers[name].runs)
        assert len(runs) == len(set(runs)) == 4

    async def test_unknown_submission_is_404(self, served):
        gateway = served.gateways['gateway-1']
        status, _ = await served.read(gateway, 'nothing')
        assert status == 404

    async def test_broken_stream_goes_on_after_the_last_event(self, served):
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

    async def test_last_item_leaves_an_engine_that_turns_slow(
        self, served, wait_until
    ):
        for server in served.servers.values():
            server.events = 60
            server.gap_s = 0.02
        gateway = served.gateways['gateway-1']
        await served.submit(gateway, 's1', items=2)
        first = served.servers['i-lm0']
        leader = served.keepers[served.find_leader()]
        await wait_until(lambda: leader._owner.open.get('s1'))
        runs = leader._owner.open['s1'].runs
        # Past the time in which prompts are read.
        await wait_until(
            lambda: min((len(r.texts) for r in runs.values()), default=0) > 25
        )
        (run,) = [r for r in runs.values() if r.state.id == 'i-lm0']
        held = len(run.texts)
        first.gap_s = 0.5
        first.slowness = 25
        results = await served.read_all(gateway, 's1', 2)
        whole = '\n'.join(f'e{number}' for number in range(1, 61))
        assert {result['text'] for result in results} == {whole}
        second = served.servers['i-lm1']
        moved = [run for run in second.runs if 'last-event-id' in run[1]]
        assert len(moved) == 1
        # The engine made one more event at the most.
        assert int(moved[0][1]['last-event-id']) <= held + 1
        assert second.probes

    async def test_items_ended_before_they_began_hold_no_slot(
        self, served, wait_until
    ):
        leader = served.keepers[served.find_leader()]
        owner = leader._owner
        gateway = served.gateways['gateway-1']
        states = leader._directory.endpoints.values()
        for state in states:
            state.penalty_until = math.inf
        await served.submit(gateway, 's1', items=4)
        await wait_until(lambda: 's1' in owner.open)
        entry = owner.open['s1']
        await wait_until(lambda: len(entry.waiting) == 4)
        for state in states:
            state.penalty_until = 0.0
        now = asyncio.get_running_loop().time()
        owner._start_items(entry, now)
        owner._end(entry)
        await wait_until(lambda: not any(state.item_runs for state in states))

    async def test_impossible_item_is_abandoned(self, served):
        for name in ('i-lm0', 'i-lm1'):
            served.servers[name].fail_next = 100
            served.servers[name].fail_status = 422
        gateway = served.gateways['gateway-1']
        await served.submit(gateway, 's1', items=2)
        results = await served.read_all(gateway, 's1', 2)
        assert {result['state'] for result in results} == {'abandoned'}

    async def test_failing_item_runs_as_often_as_its_route_says(self, served):
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

    async def test_nothing_starts_after_the_end(self, served, wait_until):
        for name in ('i-lm0', 'i-lm1'):
            served.servers[name].gap_s = 0.2
        gateway = served.gateways['gateway-1']
        await served.submit(gateway, 's1', items=40)
        status, _, _ = await served.call(gateway, 'DELETE', '/api/lots/s1')
        assert status == 200
        leader = served.keepers[served.find_leader()]
        await wait_until(lambda: leader._owner.open['s1'].ended)
        counts = [len(server.runs) for server in served.servers.values()]
        await asyncio.sleep(0.3)
        assert counts == [len(s.runs) for s in served.servers.values()]
        status, _, _ = await served.call(gateway, 'DELETE', '/api/lots/s1')
        assert status == 200

    async def test_owner_hears_of_an_end_that_no_watch_tells(
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
        await wait_until(lambda: leader._owner.open['s1'].ended)
        assert not leader._owner.list_runs()

    async def test_body_of_an_item_until_it_is_listed(self, served):
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
    async def test_named_version_is_loaded_and_named_in_results(
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

    async def test_text_of_one_version_is_not_gone_on_with_another(
        self, served, wait_until
    ):
        # A variant of wbm-smoke with singleVersion: items that went on at an
        # engine of another version began anew at their end.
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
            broken = [run[0] for run in server.runs]
            again = [run for run in other.runs if run[0] in broken]
            assert not again
        assert len(old.runs + new.runs) == 4

    async def test_unanswered_order_is_sent_again(self, served, wait_until):
        engines = [served.servers['i-lm0'], served.servers['i-lm1']]
        for engine in engines:
            engine.late_orders = 1
        served.store.put('versions', 'm0', {'model': 'm0', 'version': 2})
        await wait_until(
            lambda: max(engine.versions['m0'] for engine in engines) == 2
        )


class TestLosses:
    async def test_next_keeper_goes_on_where_the_ledger_stands(
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

    async def test_next_keeper_goes_on_with_the_text(self, served, wait_until):
        # quiet-1 of wbm-smoke: items of 5 s began anew after a change of
        # the leader, and missed their step.
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

    async def test_texts_outlive_all_keepers(
        self, deployment, wait_until, tmp_path
    ):
        # scale-1 of wbm-smoke: all processes were killed at 34 s, items of
        # 7 s began anew, and the steps behind them came too late.
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
        whole = '\n'.join(f'e{number}' for number in range(1, 41))
        assert {result['text'] for result in results} == {whole}
        assert len(engine.runs) == 8
        for _, headers, _ in engine.runs[4:]:
            assert int(headers.get('last-event-id', 0)) > 0

    @pytest.mark.parametrize('ended', [False, True])
    async def test_owner_is_not_behind_what_others_read(
        self, served, wait_until, monkeypatch, ended
    ):
        # sweep-100 of wbm-smoke-grown: results that had been read from the
        # ledger were not there where the owner answered.
        monkeypatch.setattr(stepowner, 'UNSURE_S', 0.0)
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
        monkeypatch.setattr(recording, 'APPEND_RETRY_S', 60.0)
        await served.submit(gateway, 's1')
        await appended.wait()
        if ended:
            status, _, _ = await served.call(gateway, 'DELETE', '/api/lots/s1')
            assert status == 200
            await wait_until(lambda: leader._owner.open['s1'].ended)
        recorded = await gateway._read_recorded(
            dialects.BatchCall(dialects.BatchVerb.READ_RESULTS, 's1')
        )
        assert recorded.results
        _, page = await served.read(gateway, 's1')
        assert len(page['results']) >= len(recorded.results)

    async def test_items_run_on_while_the_store_is_out(
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
        entry = leader._owner.open['s1']
        await wait_until(lambda: len(entry.finished) == 4)
        served.store.down = False
        assert len(await served.read_all(gateway, 's1', 4)) == 4
        assert sum(len(engine.runs) for engine in engines) == 4

    async def test_results_are_read_from_the_ledger_without_a_leader(
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

    async def test_lost_answer_to_the_acceptance(self, served):
        gateway = served.gateways['gateway-1']
        served.store.lose_writes = 1
        assert await served.submit(gateway, 's1') == 202
        assert len(await served.read_all(gateway, 's1', 4)) == 4

    async def test_store_out_of_reach_refuses_a_submission(self, served):
        gateway = served.gateways['gateway-1']
        served.store.down = True
        assert await served.submit(gateway, 's1') == 503
        served.store.down = False

    async def test_refused_keeper_reaches_the_store_through_others(
        self, served, wait_until
    ):
        gateway = served.gateways['gateway-1']
        name = served.find_leader()
        leader = served.keepers[name]
        await wait_until(lambda: leader._members.others)
        fence = leader._lease.fence
        client = served.clients[name]
        # Nobody listens there: its own way to the store is gone.
        client._address = frames.parse_address(
            f'127.0.0.1:{standin.find_free_port()}'
        )
        client._idle_connections.clear()
        await served.submit(gateway, 's1')
        await served.read_all(gateway, 's1', 4)
        renewed = leader._lease._version
        # Several renewals, which only another process can have carried.
        await wait_until(lambda: leader._lease._version > renewed + 20)
        assert served.find_leader() == name
        assert leader._lease.fence == fence

    async def test_vm_to_be_emptied_is_released(self, served, wait_until):
        served.store.put('retirements', 'keeper-1', {'durationS': 5})
        await wait_until(
            lambda: (
                served.store.get_status('retirements', 'keeper-1')
                == {'state': 'completed'}
            )
        )
        assert served.find_leader() != 'keeper-1'
