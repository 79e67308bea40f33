"""Decisions on the keys of requests, without a network."""

import asyncio
import types

import pytest

from clementineline.coordination import authorization
from clementineline import errors
from clementineline.state import dialect
from clementineline.state import organisations
from clementineline.state import routes
from clementineline.state import settings

APPLY_S = 2.0
PATHS = ('/live/', '/open/')


def build_table(version, keys, public=('/open/',)):
    """Return a table with two routes.

    :param keys: dict from key to the name of its organisation; None if
        organisations are not in force
    """
    found = []
    for path in PATHS:
        found.append(
            routes.Route(
                path,
                'h',
                path,
                True,
                False,
                False,
                False,
                1.0,
                0.2,
                5,
                2,
                (),
                public=path in public,
            )
        )
    table = None
    if keys is not None:
        table = organisations.OrganisationTable(
            [
                (organisations.Organisation(name), [key])
                for key, name in keys.items()
            ]
        )
    return routes.RouteTable(
        version, tuple(found), {}, routes.TrafficLimits(), table
    )


def build_facts(key, path='/live/a'):
    return dialect.CallFacts('q1', 'h', path, None, key=key)


CURRENT = authorization.Standing(True)
LOST = authorization.Standing(False)
CLOSED = authorization.Standing(True, confirmed=False)


class TestCalls:
    """A call that runs under another name, or without a key, is a leak."""

    @pytest.mark.parametrize(
        ('key', 'path', 'standing', 'expected'),
        [
            ('n', '/live/a', CURRENT, (0, 'north')),
            ('n', '/live/a', LOST, (0, 'north')),
            ('n', '/live/a', CLOSED, (503, None)),
            ('x', '/live/a', CURRENT, (401, None)),
            ('x', '/live/a', LOST, (503, None)),
            (None, '/live/a', CURRENT, (401, None)),
            ('', '/live/a', CURRENT, (401, None)),
            ('n', '/open/a', CURRENT, (0, 'north')),
            ('n', '/open/a', CLOSED, (0, 'north')),
            ('x', '/open/a', CURRENT, (0, '')),
            (None, '/open/a', LOST, (0, '')),
            ('x', '/none', CURRENT, (404, None)),
            ('x', '/none', LOST, (503, None)),
        ],
    )
    def test_status_and_name(self, key, path, standing, expected):
        table = build_table(1, {'n': 'north'})
        access = authorization.judge_call(
            table, build_facts(key, path), standing
        )
        assert (access.status, access.organisation) == expected
        # The metric of refused keys would count missing routes.
        no_route = access.reason == authorization.NO_ROUTE
        assert no_route == (path == '/none')

    def test_nothing_is_checked_unless_in_force(self):
        # Deployments without organisations would refuse their callers.
        table = build_table(1, None)
        access = authorization.judge_call(table, build_facts(None), CLOSED)
        assert (access.status, access.organisation) == (0, None)


class TestSubmissions:
    @pytest.mark.parametrize(
        ('recorded', 'reader', 'allowed'),
        [
            ('north', 'north', True),
            ('north', 'south', False),
            ('north', '', False),
            ('north', None, True),
            ('', '', True),
            ('', 'south', True),
            (None, 'south', True),
            (None, '', False),
            (None, None, True),
        ],
    )
    def test_only_the_own_organisation_uses_it(
        self, recorded, reader, allowed
    ):
        # Another organisation would read the texts, or end the submission.
        assert authorization.may_use(recorded, reader) == allowed

    @pytest.mark.parametrize(
        ('recorded', 'sender', 'repeat'),
        [
            ('north', 'north', True),
            ('north', 'south', False),
            ('north', '', False),
            (None, '', True),
            ('', 'north', True),
            ('north', None, True),
        ],
    )
    def test_id_of_another_organisation_is_taken(
        self, recorded, sender, repeat
    ):
        # A 202 to the other one would promise a run of what it sent.
        assert authorization.may_repeat(recorded, sender) == repeat


class FakeClock:
    def __init__(self):
        self.time = 100.0

    def now(self):
        return self.time


class Setup:
    """An authorizer, and a store that holds a table."""

    def __init__(self, fail_closed=False):
        self.clock = FakeClock()
        self.age_s = 0.0
        self.watcher = types.SimpleNamespace(
            current=True, measure_age=lambda: self.age_s
        )
        self.stored = None
        self.reads = 0
        self.release = asyncio.Event()
        self.release.set()
        self.authorizer = authorization.Authorizer(
            self.watcher,
            self.read,
            settings.AccessSettings(fail_closed=fail_closed, revoke_s=5.0),
            APPLY_S,
            self.clock,
        )

    def start(self, table):
        """Use a first table, and let its refusals be final."""
        self.authorizer.replace_table(table)
        self.clock.time += APPLY_S + authorization.REPLACED_MARGIN_S

    async def read(self):
        self.reads += 1
        stored = self.stored
        await self.release.wait()
        if isinstance(stored, Exception):
            raise stored
        if stored is not None:
            self.authorizer.replace_table(stored)

    async def decide(self, key, path='/live/a'):
        access = await self.authorizer.authorize_call(build_facts(key, path))
        return access.status


class TestAuthorizer:
    """A 401 to a key that is in force somewhere must not be given."""

    async def test_key_of_a_newer_table_is_found_by_a_read(self):
        # The watch of one gateway may be later than the caller.
        setup = Setup()
        setup.start(build_table(1, {'n': 'north'}))
        setup.stored = build_table(2, {'n': 'north', 'new': 'north'})
        assert await setup.decide('new') == 0
        assert await setup.decide('n') == 0
        assert setup.reads == 1

    async def test_unknown_key_is_refused_after_a_read(self):
        setup = Setup()
        setup.start(build_table(1, {'n': 'north'}))
        assert await setup.decide('x') == 401
        access = await setup.authorizer.authorize_reader('x', '')
        # The table may have changed since the read before.
        assert access.status == 503
        assert access.retry_after_s > authorization.RETRY_AFTER_S

    async def test_failed_read_is_no_evidence(self):
        setup = Setup()
        setup.start(build_table(1, {'n': 'north'}))
        setup.stored = errors.PlatformUnavailable('cut off')
        assert await setup.decide('x') == 503

    async def test_read_that_began_before_a_request_is_no_evidence(self):
        setup = Setup()
        setup.start(build_table(1, {'n': 'north'}))
        setup.release.clear()
        first = asyncio.create_task(setup.decide('x'))
        await asyncio.sleep(0.01)
        assert await setup.decide('x') == 503
        setup.release.set()
        assert await first == 401

    async def test_many_requests_share_a_read(self):
        # Reads are priced, and a caller may send any number of wrong keys.
        setup = Setup()
        setup.start(build_table(1, {'n': 'north'}))
        statuses = await asyncio.gather(
            *(setup.decide(f'x{number}') for number in range(200))
        )
        assert setup.reads == 1
        assert statuses.count(401) == authorization.WAITING_MAX
        assert set(statuses) == {401, 503}

    async def test_caller_that_returns_as_told_takes_part_in_a_read(self):
        # With other wrong keys about, it would come just after each read.
        setup = Setup()
        setup.start(build_table(1, {'n': 'north'}))
        await setup.decide('x')
        access = await setup.authorizer.authorize_call(build_facts('y'))
        assert access.status == 503

        async def send_others():
            while True:
                task = asyncio.create_task(setup.decide('x'))
                await asyncio.wait([task], timeout=0.01)

        others = asyncio.create_task(send_others())
        await asyncio.sleep(access.retry_after_s + 0.05)
        assert await setup.decide('y') == 401
        others.cancel()

    async def test_caller_that_leaves_does_not_end_the_read_of_others(self):
        setup = Setup()
        setup.start(build_table(1, {'n': 'north'}))
        setup.release.clear()
        leaving = asyncio.create_task(setup.decide('x'))
        staying = asyncio.create_task(setup.decide('x'))
        await asyncio.sleep(0)
        leaving.cancel()
        await asyncio.sleep(0.01)
        setup.release.set()
        assert await staying == 401

    @pytest.mark.parametrize(
        'changed',
        [
            (build_table(1, {'old': 'north'}), build_table(2, {})),
            (build_table(1, None), build_table(2, {'n': 'north'})),
            (build_table(1, {}, public=PATHS), build_table(2, {})),
        ],
    )
    async def test_refusal_is_temporary_while_others_may_use_the_old_table(
        self, changed
    ):
        before, after = changed
        setup = Setup()
        setup.start(before)
        assert await setup.decide('old') == 0
        setup.authorizer.replace_table(after)
        assert await setup.decide('old') == 503
        setup.clock.time += APPLY_S + authorization.REPLACED_MARGIN_S
        assert await setup.decide('old') == 401

    async def test_refusal_is_temporary_after_a_table_was_skipped(self):
        # Another process may still use the skipped one, which has the key.
        setup = Setup()
        setup.start(build_table(1, {'n': 'north'}))
        setup.authorizer.replace_table(build_table(3, {'n': 'north'}))
        assert await setup.decide('x') == 503
        setup.clock.time += APPLY_S + authorization.REPLACED_MARGIN_S
        assert await setup.decide('x') == 401

    async def test_refusal_is_temporary_after_very_many_changes(self):
        # Only some of the replaced tables are kept.
        setup = Setup()
        setup.start(build_table(1, {'old': 'north'}))
        last = 2 + authorization.REPLACED_TABLES_MAX
        for version in range(2, last + 1):
            setup.authorizer.replace_table(build_table(version, {}))
        assert await setup.decide('old') == 503
        setup.clock.time += APPLY_S + authorization.REPLACED_MARGIN_S
        assert await setup.decide('old') == 401

    async def test_first_refusals_of_a_process_are_temporary(self):
        # The key may have been removed moments before its start.
        setup = Setup()
        setup.authorizer.replace_table(build_table(1, {'n': 'north'}))
        assert await setup.decide('n') == 0
        assert await setup.decide('x') == 503
        assert not setup.reads
        setup.clock.time += APPLY_S + authorization.REPLACED_MARGIN_S
        assert await setup.decide('x') == 401

    async def test_process_that_is_cut_off_closes_if_it_is_told_to(self):
        # Guards against a removed key that is accepted for hours.
        setup = Setup(fail_closed=True)
        setup.start(build_table(1, {'n': 'north'}))
        setup.age_s = 4.9
        assert await setup.decide('n') == 0
        setup.age_s = 5.1
        assert await setup.decide('n') == 503
        assert await setup.decide('n', '/open/a') == 0
        assert setup.authorizer.name_reader('n') == ''
        assert (await setup.authorizer.authorize_reader('n', '')).status == 503
        assert not setup.reads

    async def test_process_that_is_cut_off_goes_on_by_default(self):
        setup = Setup()
        setup.start(build_table(1, {'n': 'north'}))
        setup.age_s = 1000.0
        setup.watcher.current = False
        assert await setup.decide('n') == 0
        assert await setup.decide('x') == 503
        assert not setup.reads
