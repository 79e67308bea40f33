"""Requests under which their endpoints end.

No more than a few endpoints may end under one request, over all processes and
repetitions. A crash for another reason must cost no request its answer.
"""

import asyncio

import pytest

from clementineline.coordination import crashes
from clementineline.platform.tests import standin
from clementineline.state import questions
from clementineline.transport import http

DEADLY = b'deadly'
# More than this, and the last endpoints of a service are spent.
ENDED_MAX = 3
PROCESSES = ('gateway-1', 'gateway-2')


@pytest.fixture
async def service(served, wait_until):
    """Start six endpoints that a certain request ends, and two gateways."""
    for number in range(2, 7):
        await served.start_server(f'i-desk{number}', 'desk')
    for name, server in served.servers.items():
        if name.startswith('i-desk'):
            server.deadly_bodies.add(DEADLY)
            server.delay_s = 0.02
    await served.start_gateway('gateway-2')
    for gateway in served.gateways.values():
        await wait_until(
            lambda gateway=gateway: (
                len(gateway._directory.list_usable('desk')) == 6
            )
        )
        await gateway._members.refresh()
    return served


class Caller:
    """Sends requests with a new id each time."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._number = 0

    async def call(self, name, body, path='/live/a'):
        self._number += 1
        status, _, answer = await self._deployment.call(
            self._deployment.gateways[name],
            'POST',
            path,
            ((b'Request-Id', b'r%d' % self._number),),
            body,
        )
        return status, answer


@pytest.fixture
def caller(service):
    return Caller(service)


def count_ended(deployment):
    return sum(server.ended for server in deployment.servers.values())


class TestDeadlyCalls:
    async def test_few_endpoints_end_over_all_processes_and_repetitions(
        self, service, caller
    ):
        """The users' day ended 16 endpoints with one request."""
        loop = asyncio.get_running_loop()
        for _ in range(3):
            for name in PROCESSES:
                started = loop.time()
                status, _ = await caller.call(name, DEADLY)
                assert status == 502
                assert loop.time() - started < 0.5
                # Time in which a process tells the others.
                await asyncio.sleep(0.05)
        assert 1 <= count_ended(service) <= ENDED_MAX
        for name in PROCESSES:
            assert service.gateways[name]._crash_record.refused

    async def test_other_requests_of_the_service_are_answered(
        self, service, caller, wait_until
    ):
        for name in PROCESSES:
            await caller.call(name, DEADLY)
        # Their entries lapse, as they write nothing any more.
        for name, server in service.servers.items():
            if server.ended:
                service.store.remove('servers', name)
        left = 6 - count_ended(service)
        for name in PROCESSES:
            known = service.gateways[name]._directory
            await wait_until(
                lambda known=known: len(known.list_usable('desk')) == left
            )
        for name in PROCESSES:
            for number in range(10):
                body = b'q%d' % number
                answer = await caller.call(name, body)
                assert answer == (200, b'answer to ' + body)

    async def test_process_that_starts_later_knows_it(
        self, service, caller, wait_until
    ):
        for name in PROCESSES:
            await caller.call(name, DEADLY)
        ended = count_ended(service)
        started = await service.start_gateway('gateway-3')
        await wait_until(lambda: started.is_ready)
        await wait_until(lambda: len(started._crash_record) == 1)
        status, _ = await caller.call('gateway-3', DEADLY)
        assert status == 502
        assert count_ended(service) == ended

    async def test_crash_for_another_reason_costs_no_answer(
        self, service, caller
    ):
        """Several endpoints end, one after the other, with calls at work."""
        for server in service.servers.values():
            server.delay_s = 0.1
        calls = []
        for number in range(24):
            name = PROCESSES[number % 2]
            calls.append(
                asyncio.create_task(caller.call(name, b'q%d' % number))
            )
        await asyncio.sleep(0.05)
        service.servers['i-desk2'].end()
        answers = await asyncio.gather(*calls)
        assert {status for status, _ in answers} == {200}
        # Those that the endpoint held may be sent again, also later.
        for number in range(24):
            status, _ = await caller.call(PROCESSES[0], b'q%d' % number)
            assert status == 200

    async def test_crashes_far_apart_do_not_add_up_for_a_common_request(
        self, service, caller, wait_until
    ):
        """Many callers send the same request, and some are at each crash."""
        servers = service.servers
        for name in ('i-desk2', 'i-desk3', 'i-desk4'):
            for server in servers.values():
                server.delay_s = 0.1
            calls = [
                asyncio.create_task(
                    caller.call(PROCESSES[number % 2], b'same')
                )
                for number in range(24)
            ]
            await asyncio.sleep(0.05)
            servers[name].end()
            answers = await asyncio.gather(*calls)
            assert {status for status, _ in answers} == {200}
            await asyncio.sleep(0.05)
            # The entry lapses before the next crash, which is far apart.
            service.store.remove('servers', name)
            for gateway in service.gateways.values():
                known = gateway._directory.endpoints
                await wait_until(
                    lambda known=known, name=name: name not in known
                )
        assert count_ended(service) == 3
        for name in PROCESSES:
            assert not len(service.gateways[name]._crash_record)

    async def test_broken_connection_of_an_endpoint_that_goes_on_is_no_crash(
        self, service, caller
    ):
        for name, server in service.servers.items():
            if name.startswith('i-desk'):
                server.raw_answer = b'HTTP/1.1 200 OK\r\n'
        for _ in range(4):
            await caller.call('gateway-1', b'q')
        assert not len(service.gateways['gateway-1']._crash_record)


class TestCommonRequests:
    """A request that many callers send, and that ends no endpoint.

    Guards against a request that is never sent again, so that no answer can
    show that it is harmless (review/9).
    """

    async def _start_servers(self, service, wait_until):
        """Start other instances of the plain service, as after a crash."""
        for name in list(service.servers):
            if name.startswith('i-desk'):
                service.store.remove('servers', name)
        for number in range(3):
            await service.start_server(f'i-new{number}', 'desk')
        for gateway in service.gateways.values():
            await wait_until(
                lambda gateway=gateway: (
                    {
                        state.id
                        for state in gateway._directory.list_usable('desk')
                    }
                    == {'i-new0', 'i-new1', 'i-new2'}
                )
            )

    async def _remove_ended(self, service, wait_until):
        """Let the entries of ended servers lapse."""
        names = [name for name, each in service.servers.items() if each.ended]
        for name in names:
            service.store.remove('servers', name)
        for gateway in service.gateways.values():
            await wait_until(
                lambda gateway=gateway: (
                    not set(names) & gateway._directory.endpoints.keys()
                )
            )

    async def test_endpoints_that_end_together_do_not_bar_it(
        self, service, caller, wait_until
    ):
        for server in service.servers.values():
            server.delay_s = 0.2
        calls = [
            asyncio.create_task(caller.call(PROCESSES[number % 2], b'same'))
            for number in range(12)
        ]
        await asyncio.sleep(0.1)
        for name, server in service.servers.items():
            if name.startswith('i-desk'):
                server.end()
        await asyncio.gather(*calls)
        assert all(
            len(service.gateways[name]._crash_record) for name in PROCESSES
        )
        await self._start_servers(service, wait_until)
        for name in PROCESSES:
            status, _ = await caller.call(name, b'same')
            assert status == 200

    async def test_barred_request_is_tried_again(
        self, service, caller, wait_until, monkeypatch
    ):
        """Two endpoints end one after the other, for another reason."""
        monkeypatch.setattr(crashes, 'TRIAL_PAUSE_S', 1.5)
        await caller.call('gateway-1', DEADLY)
        for server in service.servers.values():
            server.deadly_bodies.clear()
        for name in PROCESSES:
            record = service.gateways[name]._crash_record
            await wait_until(lambda record=record: len(record))
            status, _ = await caller.call(name, DEADLY)
            assert status == 502
        await self._remove_ended(service, wait_until)
        await asyncio.sleep(1.6)
        status, _ = await caller.call('gateway-2', DEADLY)
        assert status == 200
        # The answer clears it at all processes.
        for name in PROCESSES:
            record = service.gateways[name]._crash_record
            await wait_until(lambda record=record: not len(record))
            status, _ = await caller.call(name, DEADLY)
            assert status == 200

    async def test_trial_that_reaches_no_endpoint_is_not_spent(
        self, service, caller, monkeypatch
    ):
        """An endpoint that ended is tried first here."""
        monkeypatch.setattr(crashes, 'TRIAL_PAUSE_S', 0.3)
        await caller.call('gateway-1', DEADLY)
        for server in service.servers.values():
            server.deadly_bodies.clear()
        known = service.gateways['gateway-1']._directory
        await asyncio.sleep(0.4)
        later = asyncio.get_running_loop().time() + 60.0
        ended = []
        for state in known.list_usable('desk'):
            state.backoff_until = later
            if service.servers[state.id].ended:
                ended.append(state)
        ended[0].backoff_until = 0.0
        ended[1].backoff_until = later + 60.0
        ended[1].in_flight = 100
        status, _ = await caller.call('gateway-1', DEADLY)
        assert status == 200

    async def test_trials_are_few_over_all_processes(
        self, service, caller, wait_until, monkeypatch
    ):
        """Each trial of a deadly request ends an endpoint."""
        monkeypatch.setattr(crashes, 'TRIAL_PAUSE_S', 2.0)
        await caller.call('gateway-1', DEADLY)
        ended = count_ended(service)
        # Otherwise the trial may find only endpoints that have ended.
        await self._remove_ended(service, wait_until)
        await asyncio.sleep(2.1)
        await caller.call('gateway-1', DEADLY)
        records = [service.gateways[name]._crash_record for name in PROCESSES]
        for record in records:
            await wait_until(lambda record=record: _has_trial(record))
        # The second trial would come after four times the first pause.
        for name in PROCESSES * 5:
            status, _ = await caller.call(name, DEADLY)
            assert status == 502
        assert sum(record.trials for record in records) == 1
        assert count_ended(service) == ended + 1


def _has_trial(record):
    """Return whether a record knows of a trial and of the end under it."""
    return any(
        marks.tried_at > 0.0 and marks.count_rounds() > crashes.ENDED_MAX
        for marks in record._marks.values()
    )


class TestDeadlyStreams:
    async def test_few_endpoints_end(self, service, caller, wait_until):
        manifest = standin.build_manifest(2)
        manifest['routes'].append(
            {
                **manifest['routes'][0],
                'name': 'r-stream',
                'pathPrefix': '/stream/',
                'kind': 'stream',
                'resumable': True,
            }
        )
        service.store.put('config', 'main', manifest)
        for name in PROCESSES:
            routes = service.gateways[name]._routes
            await wait_until(lambda routes=routes: routes.table.version == 2)
        for _ in range(3):
            for name in PROCESSES:
                status, _ = await caller.call(name, DEADLY, '/stream/a')
                assert status == 502
                await asyncio.sleep(0.05)
        assert 1 <= count_ended(service) <= ENDED_MAX


class TestIdentity:
    HEAD = http.Head(b'POST', b'/a?b=1', ((b'Host', b'shop.example'),))

    def test_repetition_with_another_id_is_the_same(self):
        other = http.Head(
            b'POST',
            b'/a?b=1',
            ((b'Request-Id', b'x'), (b'host', b'shop.example')),
        )
        assert crashes.identify_request(
            self.HEAD, b'q'
        ) == crashes.identify_request(other, b'q')

    @pytest.mark.parametrize(
        ('head', 'body'),
        [
            (HEAD, b'other'),
            (http.Head(b'POST', b'/a?b=2', HEAD.headers), b'q'),
            (http.Head(b'PUT', b'/a?b=1', HEAD.headers), b'q'),
            (http.Head(b'POST', b'/a?b=1', ((b'Host', b'other'),)), b'q'),
            (http.Head(b'POST', b'/a?b=', HEAD.headers), b'1q'),
        ],
    )
    def test_other_requests_are_others(self, head, body):
        assert crashes.identify_request(
            self.HEAD, b'q'
        ) != crashes.identify_request(head, body)


class TestMarks:
    """Processes are told in any order."""

    HEAD = http.Head(b'POST', b'/a', ())

    @pytest.mark.parametrize('order', [(0, 1, 2), (2, 1, 0), (1, 2, 0)])
    async def test_crashes_before_an_answer_do_not_count(self, served, order):
        record = served.gateways['gateway-1']._crash_record
        key = crashes.identify_request(self.HEAD, b'')
        first = frozenset(['a@1'])
        told = [
            questions.CrashMarks(first),
            questions.CrashMarks(first, first),
            questions.CrashMarks(frozenset(['b@1'])),
        ]
        for number in order:
            record._learn({key: told[number]})
        assert not record.find_refusal(self.HEAD, b'', 'r1')
        record._learn({key: questions.CrashMarks(frozenset(['c@1']))})
        assert record.find_refusal(self.HEAD, b'', 'r1')

    @pytest.mark.parametrize(
        ('ages', 'barred'),
        [
            # The times since it was sent, and since the endpoint ended.
            (((0.5, 0.2), (0.4, 0.1)), False),
            (((0.5, 0.3), (0.3, 0.1)), True),
            (((0.9, 0.1), (0.5, 0.4), (0.3, 0.2)), True),
        ],
    )
    async def test_endpoints_that_held_it_together_count_once(
        self, served, ages, barred
    ):
        record = served.gateways['gateway-1']._crash_record
        key = crashes.identify_request(self.HEAD, b'')
        for number, each in enumerate(ages):
            instance = f'i{number}@1'
            record._learn(
                {
                    key: questions.CrashMarks(
                        frozenset([instance]), ages={instance: each}
                    )
                }
            )
        assert bool(record.find_refusal(self.HEAD, b'', 'r1')) is barred

    async def test_old_marks_get_no_new_life(self, served, monkeypatch):
        """A process that starts is told marks, and tells them on."""
        monkeypatch.setattr(crashes, 'KEEP_S', 60.0)
        record = served.gateways['gateway-1']._crash_record
        key = crashes.identify_request(self.HEAD, b'')
        ages = {'a@1': (59.9, 59.7), 'b@1': (59.6, 59.5)}
        record._learn({key: questions.CrashMarks(frozenset(ages), ages=ages)})
        assert record.find_refusal(self.HEAD, b'', 'r1') == ''
        assert record.trials == 1
        answer = await record.answer(questions.ReadCrashes())
        assert answer.marks[key].ages['b@1'][1] >= 59.5
        await asyncio.sleep(0.6)
        answer = await record.answer(questions.ReadCrashes())
        assert answer.marks == {}

    async def test_ended_endpoint_gets_requests_last(self, served):
        gateway = served.gateways['gateway-1']
        state = gateway._directory.endpoints['i-desk']
        marks = questions.CrashMarks(frozenset([crashes.name_instance(state)]))
        gateway._crash_record._learn({'k': marks})
        assert state.backoff_until > asyncio.get_running_loop().time()


class TestMemory:
    async def test_old_and_excess_requests_are_forgotten(
        self, served, monkeypatch
    ):
        record = served.gateways['gateway-1']._crash_record
        monkeypatch.setattr(crashes, 'REQUESTS_MAX', 5)
        for number in range(9):
            marks = questions.CrashMarks(frozenset(['a@1', 'b@1']))
            record._learn({f'k{number}': marks})
        assert len(record) == 5
        monkeypatch.setattr(crashes, 'KEEP_S', 0.0)
        head = http.Head(b'POST', b'/a', ())
        assert not record.find_refusal(head, b'', 'r1')
        assert len(record) == 0
