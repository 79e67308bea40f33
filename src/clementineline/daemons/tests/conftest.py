"""Fixture of a small fleet that runs in the test process on loopback."""

import asyncio
import json

import aiohttp
import pytest
from starlette import applications
import structlog

from clementineline.daemons import entry
from clementineline.daemons import sidecar
from clementineline.standins import engine
from clementineline.standins import platform
from clementineline.standins import ports
from clementineline.standins import server
from clementineline.standins import service
from clementineline.state import settings
from clementineline.transport import frames
from clementineline.transport import web

FAST_LINKS = {'heartbeat_s': 0.05, 'silence_s': 0.5, 'retain_s': 5.0}


class SmallFleet:
    """An entry, an engine with a sidecar and a plain service with two."""

    def __init__(self):
        self.ports = {}
        self.servers = []
        self.daemons = []
        self.tasks = []
        self.platform = platform.PlatformStandIn(server.FactLog())
        self.service = service.ServiceStandIn('desk', server.FactLog(), 0.0)
        options = engine.parse_options(['--step-s', '0.005'])
        self.engine = engine.EngineStandIn('m', server.FactLog(), options)
        self.http = None

    def get_port(self, name):
        if name not in self.ports:
            self.ports[name] = ports.find_free_ports(1)[0]
        return self.ports[name]

    def get_url(self, name):
        return f'http://127.0.0.1:{self.get_port(name)}'

    async def start(self):
        self.http = aiohttp.ClientSession()
        for name in ('platform', 'service', 'engine'):
            standin = getattr(self, name)
            app = applications.Starlette(routes=standin.build_routes())
            address = frames.Address('127.0.0.1', self.get_port(name))
            running = web.WebServer(app, address, grace_s=1)
            await running.start()
            self.servers.append(running)
        self.tasks.append(asyncio.create_task(self.engine.run()))
        self._register_vms()
        await self.start_entry('entry-1')
        url = self.get_url('engine')
        await self.start_sidecar('engine-1', engine={'url': url, 'model': 'm'})
        url = self.get_url('service')
        for name in ('desk-1', 'desk-2'):
            await self.start_sidecar(
                name, service={'url': url, 'service': 'desk'}
            )

    def _register_vms(self):
        names = ('entry-1', 'entry-2', 'engine-1', 'desk-1', 'desk-2')
        self.platform._vms = dict.fromkeys(names, 'live')

    def _build(self, name, kind, **fields):
        values = {
            'name': name,
            'availability_zone': 'walvis-a' if '1' in name else 'swakop-b',
            'listen': f'127.0.0.1:{self.get_port(name)}',
            'http': f'127.0.0.1:{self.get_port(name + "-http")}',
            'platform': {'url': self.get_url('platform')},
            'seeds': [f'127.0.0.1:{self.get_port("entry-1")}'],
            'links': FAST_LINKS,
            'drain_s': 1.0,
            **fields,
        }
        return settings.parse_settings(json.dumps(values).encode(), kind, name)

    async def start_entry(self, name):
        lease = {'duration_s': 1.0, 'renew_s': 0.1}
        values = self._build(name, settings.EntrySettings, lease=lease)
        daemon = entry.Entry(values, structlog.get_logger())
        self.daemons.append(daemon)
        await daemon.start()
        return daemon

    async def start_sidecar(self, name, **endpoint):
        values = self._build(name, settings.SidecarSettings, **endpoint)
        daemon = sidecar.Sidecar(values, structlog.get_logger())
        self.daemons.append(daemon)
        await daemon.start()
        return daemon

    async def post(self, path, value, status=200, entry='entry-1', **options):
        url = self.get_url(f'{entry}-http') + path
        async with self.http.post(url, json=value, **options) as response:
            body = await response.read()
            assert response.status == status, body
            return json.loads(body), response.headers

    async def confirm_intent(self, intent):
        plan, _ = await self.post('/v1/operator/intents', intent, 201)
        await self.post(f'/v1/operator/plans/{plan["id"]}/confirm', None)

    async def stop(self):
        for daemon in self.daemons:
            await daemon.tasks.stop()
            if hasattr(daemon, 'fleet'):
                await daemon.samples.stop()
                await daemon.fleet.stop()
            await daemon.listener.stop()
            await daemon.web.stop()
            await daemon.http.close()
            if hasattr(daemon, 'http_once'):
                await daemon.http_once.close()
        for task in self.tasks:
            task.cancel()
        for running in self.servers:
            await running.stop()
        await self.http.close()


@pytest.fixture
async def fleet(wait_until):
    built = SmallFleet()
    await built.start()
    first = built.daemons[0]

    def is_ready():
        endpoints = first.fleet.endpoints.values()
        usable = [item for item in endpoints if item.usable]
        roster = first.configuration.get('roster')
        return len(usable) == 3 and roster and len(roster.homes) == 3

    await wait_until(is_ready)
    yield built
    await built.stop()
