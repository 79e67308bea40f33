"""Fixtures that run the platform, gateways and keepers in the test process."""

import asyncio
import base64
import json

import pytest

from clementineline.daemons import gateway as gateways
from clementineline.daemons import keeper as keepers
from clementineline.platform import dialect
from clementineline.platform import objects
from clementineline.platform.tests import standin
from clementineline.state import settings
from clementineline.transport import frames
from clementineline.transport import http
from clementineline.transport import outgoing

FAST_LEASE = settings.LeaseSettings(duration_s=0.6, renew_s=0.1, quiet_s=0.1)


def build_scorer(submission_id, number, path):
    """Return the wire form of an item's reward call."""
    return {
        'id': f'{submission_id}-r{number}',
        'host': 'shop.example',
        'path': f'{path}/{number}?of={submission_id}',
        'body': base64.b64encode(b'reply %d' % number).decode(),
    }


def build_key(key):
    """Return the headers that carry a key, none if it is None."""
    return () if key is None else ((b'Api-Key', key.encode()),)


class Deployment:
    """Gateways and keepers with a stand-in store and stand-in endpoints.

    All of them run in the test process and communicate over loopback.
    """

    def __init__(self, log):
        self.log = log
        self.store = standin.StoreStandIn(log)
        self.servers = {}
        self.gateways = {}
        self.keepers = {}
        self.clients = {}
        self.value_bytes = 1 << 20

    def build_store_client(self, name):
        client = objects.ObjectStore(
            frames.parse_address(self.store.address), self.log
        )
        self.clients[name] = client
        return client

    async def start_server(self, name, service, versions=None, **entry):
        server = standin.ServerStandIn(self.log, name, versions)
        await server.start()
        self.servers[name] = server
        self.store.put('servers', name, server.describe(service, **entry))
        return server

    async def start_gateway(self, name):
        loaded = settings.GatewaySettings(
            name=name,
            zone='walvis-a',
            http=f'127.0.0.1:{standin.find_free_port()}',
            ready=f'127.0.0.1:{standin.find_free_port()}',
            listen=f'127.0.0.1:{standin.find_free_port()}',
            store=self.store.address,
            grace_s=4.2,
            value_bytes=self.value_bytes,
        )
        store = self.build_store_client(name)
        gateway = gateways.Gateway(
            loaded, store, dialect.WireDialect(), self.log
        )
        gateway.settings = loaded
        self.gateways[name] = gateway
        await gateway.start()
        return gateway

    async def start_keeper(self, name, data_dir=''):
        loaded = settings.KeeperSettings(
            name=name,
            zone='walvis-a',
            listen=f'127.0.0.1:{standin.find_free_port()}',
            store=self.store.address,
            lease=FAST_LEASE,
            data_dir=str(data_dir),
            value_bytes=self.value_bytes,
        )
        store = self.build_store_client(name)
        keeper = keepers.Keeper(loaded, store, dialect.WireDialect(), self.log)
        self.keepers[name] = keeper
        await keeper.start()
        return keeper

    def find_leader(self):
        """Return the name of the keeper that is the leader, or None."""
        for name, keeper in self.keepers.items():
            owner = keeper._owner
            if owner is not None and owner.synced and keeper._may_lead():
                return name
        return None

    async def call(self, gateway, method, target, headers=(), body=b''):
        """Send one request on a new connection.

        :returns: ``(status, headers, body)``
        """
        address = frames.parse_address(gateway.settings.http)
        client = await outgoing.connect(address, 1.0)
        head = http.Head(
            method.encode(),
            target.encode(),
            ((b'Host', b'shop.example'), *headers),
        )
        try:
            client.send_request(head, body)
            reply = await client.receive_head()
            answer = await client.receive_body(1 << 24)
        finally:
            client.close()
        return reply.status_code, tuple(reply.headers), answer

    async def submit(
        self,
        gateway,
        submission_id,
        items=4,
        scored=False,
        scorer_path='/live/score',
        path='/batch/',
        key=None,
        **fields,
    ):
        """Submit a batch of items in groups of two; return the status.

        :param scored: whether each item has a reward call
        :param scorer_path: start of the paths of the reward calls
        :param path: prefix of the route
        :param key: key of the sender, None for none
        """
        body = {
            'step': 0,
            'model': 'm0',
            'minVersion': 1,
            'desired': items // 2,
            'items': [
                {
                    'id': f'{submission_id}-i{number}',
                    'path': f'{path}{number}',
                    'headers': {'Model': 'm0', 'Length-Hint': '3'},
                    'body': base64.b64encode(b'prompt %d' % number).decode(),
                    'tokens': 10,
                    'group': f'g{number // 2}',
                }
                for number in range(items)
            ],
            **fields,
        }
        for number, item in enumerate(body['items']):
            if scored:
                item['scorer'] = build_scorer(
                    submission_id, number, scorer_path
                )
        status, _, _ = await self.call(
            gateway,
            'POST',
            f'{path}{submission_id}',
            ((b'Request-Id', submission_id.encode()), *build_key(key)),
            json.dumps(body).encode(),
        )
        return status

    async def read(self, gateway, submission_id, after=0, key=None):
        """Read results from a position on.

        :returns: ``(status, page)``, the page None unless the status is 200
        """
        status, _, body = await self.call(
            gateway,
            'GET',
            f'/api/lots/{submission_id}?after={after}',
            build_key(key),
        )
        return status, json.loads(body) if status == 200 else None

    async def read_all(self, gateway, submission_id, count, key=None):
        """Read results until there are ``count`` of them."""
        results = []
        async with asyncio.timeout(20):
            while len(results) < count:
                status, page = await self.read(
                    gateway, submission_id, len(results), key
                )
                if status == 200:
                    results.extend(page['results'])
                await asyncio.sleep(0.02)
        return results

    async def stop(self):
        for process in [*self.gateways.values(), *self.keepers.values()]:
            await process._tasks.stop()
        for stand_in in [self.store, *self.servers.values()]:
            await stand_in.stop()


@pytest.fixture
async def store(log):
    """Start an empty store."""
    started = standin.StoreStandIn(log)
    await started.start()
    yield started
    await started.stop()


@pytest.fixture
def client(store, log):
    """Return a client of the store."""
    return objects.ObjectStore(frames.parse_address(store.address), log)


@pytest.fixture
async def deployment(log):
    """Start a store with a manifest, and stop everything at the end."""
    started = Deployment(log)
    await started.store.start()
    started.store.put('config', 'main', standin.build_manifest())
    yield started
    await started.stop()


@pytest.fixture
async def served(deployment, wait_until):
    """Start one gateway, two keepers, a plain service and two engines."""
    await deployment.start_server('i-desk', 'desk')
    await deployment.start_server('i-lm0', 'lm', {'m0': 1, 'm1': 1})
    await deployment.start_server('i-lm1', 'lm', {'m0': 1, 'm1': 1})
    gateway = await deployment.start_gateway('gateway-1')
    await deployment.start_keeper('keeper-1')
    await deployment.start_keeper('keeper-2')
    await wait_until(lambda: gateway.is_ready and deployment.find_leader())
    return deployment
