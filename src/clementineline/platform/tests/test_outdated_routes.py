"""Submissions to routes that the leader does not know yet.

A gateway may learn of a route table seconds before the leader, to which the
store does not respond. The leader must not decide by its older table.
"""

import pytest

from clementineline.platform.tests import standin

ITEMS = 4
ROUTE_NAME = 'r-new'
PREFIX = '/new/'


def build_routes(**changes):
    """Return the routes of a manifest with one more batch route."""
    routes = standin.build_manifest()['routes']
    new = {**routes[1], 'name': ROUTE_NAME, 'pathPrefix': PREFIX, **changes}
    return [*routes, new]


class Operator:
    """Writes manifests that the leader learns of late."""

    def __init__(self, deployment, wait_until):
        self._deployment = deployment
        self._wait_until = wait_until
        self.gateway = deployment.gateways['gateway-1']
        self.leader = deployment.keepers[deployment.find_leader()]
        self._on_objects = self.leader._route_watcher._on_objects

    def write(self, version, **changes):
        manifest = standin.build_manifest(
            version, routes=build_routes(**changes)
        )
        self._deployment.store.put('config', 'main', manifest)

    async def wait_for(self, process, version):
        await self._wait_until(
            lambda: process._routes.table.version == version
        )

    def hide_from_leader(self):
        self.leader._route_watcher._on_objects = lambda *page: None

    def show_to_leader(self):
        self.leader._route_watcher._on_objects = self._on_objects

    async def submit(self, submission_id):
        status = await self._deployment.submit(
            self.gateway, submission_id, items=ITEMS, path=PREFIX
        )
        assert status == 202
        owner = self.leader._owner
        await self._wait_until(lambda: submission_id in owner.open_submissions)
        return owner.open_submissions[submission_id]


@pytest.fixture
async def operator(served, wait_until):
    return Operator(served, wait_until)


class TestLeaderWithAnOlderRouteTable:
    async def test_items_are_not_abandoned_for_a_route_that_is_not_known_yet(
        self, served, operator
    ):
        """All items of an accepted submission were abandoned (review/2)."""
        operator.hide_from_leader()
        operator.write(2)
        await operator.wait_for(operator.gateway, 2)
        await operator.submit('s1')
        for _ in range(5):
            operator.leader._owner._expire_submissions()
            _, page = await served.read(operator.gateway, 's1')
            assert not page['results']
        operator.show_to_leader()
        results = await served.read_all(operator.gateway, 's1', ITEMS)
        assert {result['state'] for result in results} == {'completed'}

    async def test_age_limit_of_an_older_table_is_not_used(
        self, served, operator
    ):
        """The operator had raised the limit before the submission."""
        operator.write(2, maxQueueS=0.001)
        await operator.wait_for(operator.gateway, 2)
        await operator.wait_for(operator.leader, 2)
        operator.hide_from_leader()
        operator.write(3, maxQueueS=40.0)
        await operator.wait_for(operator.gateway, 3)
        await operator.submit('s1')
        operator.leader._owner._expire_submissions()
        operator.show_to_leader()
        results = await served.read_all(operator.gateway, 's1', ITEMS)
        assert {result['state'] for result in results} == {'completed'}

    async def test_items_do_not_run_at_the_service_of_an_older_table(
        self, served, operator
    ):
        """The operator had moved the route before the submission."""
        old, new = served.servers['i-lm0'], served.servers['i-lm1']
        served.store.put('servers', 'i-lm1', new.describe('lm2'))
        operator.write(2)
        await operator.wait_for(operator.gateway, 2)
        await operator.wait_for(operator.leader, 2)
        operator.hide_from_leader()
        operator.write(3, service='lm2')
        await operator.wait_for(operator.gateway, 3)
        await operator.submit('s1')
        operator.leader._owner._start_waiting()
        operator.show_to_leader()
        await served.read_all(operator.gateway, 's1', ITEMS)
        assert len(new.runs) == ITEMS
        assert not old.runs

    async def test_items_of_a_removed_route_are_abandoned(
        self, served, operator
    ):
        operator.write(2)
        await operator.wait_for(operator.gateway, 2)
        await operator.wait_for(operator.leader, 2)
        for name in ('i-lm0', 'i-lm1'):
            served.servers[name].gap_s = 5.0
        await operator.submit('s1')
        served.store.put('config', 'main', standin.build_manifest(3))
        results = await served.read_all(operator.gateway, 's1', ITEMS)
        assert {result['state'] for result in results} == {'abandoned'}
