"""Gateways and keepers as processes, between relays that can fail."""

import asyncio
import collections
import json
import os
import pathlib

import aiohttp

from clementineline.experiments import processes
from clementineline.experiments import relay
from clementineline.platform.tests import standin
from clementineline.transport import frames

__all__ = ['ORGANISATIONS', 'Fleet', 'SoakServer', 'build_routes', 'name_key']

PROGRAM = pathlib.Path(__file__).parents[5] / 'deploy' / 'clementineline.py'
ORGANISATIONS = ('north', 'south')
ZONES = ('walvis-a', 'swakop-b', 'langstrand-c')
HTTP_PORT = 8161
READY_PORT = 8167
PEER_PORT = 7720
START_TIMEOUT_S = 20.0
# Added for each process, since all of them start at the same time.
PROCESS_START_S = 0.2
# Time for an event at the fastest engine; the others take 4 and 9 times as
# long, so that the results of a submission come one after the other.
EVENT_S = 0.06
# Time for a call, so that some are open at each fault.
CALL_S = 0.04
# Time between a stop signal and the kill.
GRACE_S = 8.0


class SoakServer(standin.ServerStandIn):
    """An endpoint that records each run and its order of arrival.

    :ivar run_ids: ids of the requests that ran, one entry for each run
    :ivar arrived_at: loop times of the first runs, by request id
    :ivar versions_used: weights versions that produced events, by request id
    :ivar fences: fencing numbers of the orders, in the order of arrival
    :ivar names: names of organisations that came with a request, by its id
    :ivar keyed_ids: ids of the requests that came with a key
    """

    def __init__(self, log, name, versions=None):
        super().__init__(log, name, versions)
        self.run_ids = []
        self.arrived_at = {}
        self.versions_used = {}
        self.fences = []
        self.names = collections.defaultdict(set)
        self.keyed_ids = set()

    async def _run(self, incoming, request_id, headers, echo):
        self.run_ids.append(request_id)
        self.names[request_id].add(headers.get('tenant', ''))
        if 'api-key' in headers:
            self.keyed_ids.add(request_id)
        now = asyncio.get_running_loop().time()
        self.arrived_at.setdefault(request_id, now)
        await asyncio.sleep(CALL_S)
        await super()._run(incoming, request_id, headers, echo)

    async def _stream(self, incoming, headers, response_headers, model):
        used = self.versions_used.setdefault(headers['request-id'], set())
        used.add(self.versions[model])
        try:
            await super()._stream(incoming, headers, response_headers, model)
        finally:
            # The version may have changed between two events.
            used.update(range(min(used), self.versions[model] + 1))

    async def _order(self, incoming):
        self.fences.append(json.loads(incoming.body)['fencingToken'])
        await super()._order(incoming)


def name_key(organisation, version=None):
    """Return a key of an organisation.

    :param version: version of the manifest that adds it; None for the key
        that all of them have
    """
    return f'key-of-{organisation}-{version or "all"}'


def build_routes(version):
    """Return a manifest; its version has a route and keys of its own.

    The route of the version before stays, and the keys of the two versions
    before. The older ones are gone.
    """
    manifest = standin.build_manifest(version)
    live, batch = manifest['routes']
    routes = [live, batch]
    routes.append(
        {
            **live,
            'name': 'r-order',
            'pathPrefix': '/order/',
            'kind': 'unsafe',
            'maxAttempts': 2,
        }
    )
    for number in (version - 1, version):
        routes.append(
            {**live, 'name': f'r-{number}', 'pathPrefix': f'/v{number}/'}
        )
    manifest['routes'] = routes
    manifest['tenants'] = [
        {
            'name': name,
            'apiKeys': [
                name_key(name, number)
                for number in (None, version - 2, version - 1, version)
            ],
        }
        for name in ORGANISATIONS
    ]
    return manifest


class Fleet:
    """The processes of a soak, the stand-ins and the relays between them.

    :param folder: folder for settings, disks and logs
    :param gateways: number of gateways
    :param keepers: number of keepers
    :param log: logger of the stand-ins
    :ivar routes_version: version of the newest manifest
    """

    def __init__(self, folder, gateways, keepers, log):
        self.group = processes.ProcessGroup(folder)
        self.log = log
        self.store = standin.StoreStandIn(log)
        self.servers = {}
        # Relays before the endpoints, and before the store for each process.
        self.server_relays = {}
        self.store_relays = {}
        self.gateways = [f'gateway-{n}' for n in range(1, gateways + 1)]
        self.keepers = [f'keeper-{n}' for n in range(1, keepers + 1)]
        # Loop times of the last kill, by name.
        self._killed_at = {}
        # Loop times of kills, restarts and pauses, by name.
        self._disturbed_at = collections.defaultdict(list)
        # Processes that were told to end.
        self.stopped = set()
        # Loopback addresses of this run; other runs use other ones.
        pid = os.getpid()
        self._network = f'127.{pid >> 8 & 127 | 64}.{pid & 255}'
        self._addresses = {}
        self.routes_version = 0
        # Sizes of the logs at the last restart, in bytes.
        self._log_starts = {}

    @property
    def names(self):
        """Names of all processes."""
        return [*self.gateways, *self.keepers]

    async def start(self):
        """Start the stand-ins and all processes, and wait until ready."""
        self._place(self.store)
        await self.store.start()
        self.change_routes()
        for number in range(1, 4):
            await self._start_server(f'i-desk{number}', 'desk', None)
            await self._start_server(f'i-lm{number}', 'lm', {'m0': 1, 'm1': 1})
        for number, name in enumerate(self.names, 1):
            self._addresses[name] = f'{self._network}.{number}'
            await self._start_process(name, ZONES[number % len(ZONES)])
        await self.wait_until_ready()

    def change_routes(self):
        """Put the next version of the manifest into the store."""
        self.routes_version += 1
        manifest = build_routes(self.routes_version)
        self.store.put('config', 'main', manifest)

    def _place(self, stand_in):
        """Give a stand-in an address at which nothing else listens."""
        stand_in.address = f'{self._network}.254:{stand_in.port}'

    async def _start_server(self, name, service, versions):
        server = SoakServer(self.log, name, versions)
        self._place(server)
        await server.start()
        server.gap_s = EVENT_S * int(name[-1]) ** 2
        path = relay.Relay(frames.parse_address(server.address))
        await path.start()
        self.servers[name] = server
        self.server_relays[name] = path
        entry = server.describe(service, zone=ZONES[len(self.servers) % 3])
        self.store.put(
            'servers', name, {**entry, 'address': str(path.address)}
        )

    async def _start_process(self, name, zone):
        path = relay.Relay(frames.parse_address(self.store.address))
        await path.start()
        self.store_relays[name] = path
        ip = self._addresses[name]
        boot = {
            'nodeName': name,
            'ip': ip,
            'zone': zone,
            'portRange': [PEER_PORT, PEER_PORT + 15],
            'platform': {'address': str(path.address)},
            'bounds': {'graceS': GRACE_S},
        }
        role = name.partition('-')[0]
        if role == 'gateway':
            boot['listen'] = {
                'front': f'{ip}:{HTTP_PORT}',
                'ready': f'{ip}:{READY_PORT}',
            }
        else:
            disk = self.group.folder / f'{name}-disk'
            disk.mkdir()
            boot['dataDir'] = str(disk)
        settings = self.group.folder / f'{name}.json'
        settings.write_text(json.dumps(boot))
        self.group.start_program(
            name,
            [str(PROGRAM), role],
            {'CLEMENTINELINE_BOOT': str(settings)},
        )

    def get_http_address(self, name):
        """Return the :class:`~frames.Address` for callers of a gateway."""
        return frames.Address(self._addresses[name], HTTP_PORT)

    def get_disk(self, name):
        """Return the folder that is a keeper's disk."""
        return self.group.folder / f'{name}-disk'

    async def is_ready(self, http, name):
        """Return whether a gateway is ready."""
        url = f'http://{self._addresses[name]}:{READY_PORT}/api/ready'
        try:
            async with http.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def wait_until_ready(self):
        """Wait until all gateways are ready.

        :raises TimeoutError: if one is not in time
        """
        timeout = aiohttp.ClientTimeout(total=1.0)
        timeout_s = START_TIMEOUT_S + PROCESS_START_S * len(self.names)
        async with (
            asyncio.timeout(timeout_s),
            aiohttp.ClientSession(timeout=timeout) as http,
        ):
            for name in self.gateways:
                while not await self.is_ready(http, name):
                    await asyncio.sleep(0.1)

    def note_disturbance(self, name):
        """Record that a process is killed, started or paused now."""
        now = asyncio.get_running_loop().time()
        self._disturbed_at[name].append(now)

    def was_disturbed(self, name, since, until):
        """Return whether a process was killed, started or paused.

        :param since: loop time, in seconds
        :param until: loop time, in seconds
        """
        times = self._disturbed_at[name]
        return any(since <= time <= until for time in times)

    def restart(self, name):
        """Start a process that has ended again."""
        self.note_disturbance(name)
        self._log_starts[name] = self._get_log(name).stat().st_size
        self.group.restart(name)
        self.stopped.discard(name)

    def kill(self, name):
        """Kill a process."""
        self.stopped.add(name)
        self.note_disturbance(name)
        self._killed_at[name] = asyncio.get_running_loop().time()
        self.group.kill(name)

    def was_killed(self, name, since):
        """Return whether a process was killed after some time.

        :param since: loop time, in seconds
        """
        return self._killed_at.get(name, 0.0) > since

    def restart_keepers(self):
        """Kill all keepers at the same time and start them again."""
        for name in self.keepers:
            self.kill(name)
        for name in self.keepers:
            self.restart(name)

    def has_started(self, name):
        """Return whether a process has logged its start."""
        with self._get_log(name).open() as file:
            file.seek(self._log_starts.get(name, 0))
            return ' started"' in file.read()

    def _get_log(self, name):
        return self.group.folder / f'{name}.log'

    def list_ended(self):
        """Return the processes that ended without being told to."""
        ended = []
        for name in self.names:
            if name not in self.stopped and not self.group.is_running(name):
                ended.append(name)
        return ended

    async def stop(self):
        """End everything that was started."""
        self.group.stop_all()
        for path in (
            *self.server_relays.values(),
            *self.store_relays.values(),
        ):
            await path.stop()
        for stand_in in (self.store, *self.servers.values()):
            await stand_in.stop()
