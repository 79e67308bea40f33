"""Small deployments of the whole service as processes on loopback."""

import asyncio
import dataclasses
import json

import aiohttp

from clementineline.experiments import processes
from clementineline.standins import ports

__all__ = ['Deployment', 'EndpointSpec', 'build_demo_endpoints']


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointSpec:
    """Options of one endpoint stand-in and its sidecar.

    :param name: name of the sidecar; the endpoint process is named
        ``NAME-endpoint``
    :param kind: ``engine`` or ``service``
    :param serves: name of the model or service
    :param availability_zone: availability zone of the sidecar
    :param options: additional command-line options of the stand-in
    :param slots: slots of the endpoint
    :param reserve: slots that only live requests may use
    :param sidecar_slots: slots that the sidecar is configured with; 0 for
        those of the endpoint
    """

    name: str
    kind: str
    serves: str
    availability_zone: str
    options: tuple = ()
    slots: int = 8
    reserve: int = 1
    sidecar_slots: int = 0


def build_demo_endpoints():
    """Return the endpoints of two example organisations."""
    fast = ('--step-s', '0.01', '--tokens-per-step', '8')
    return [
        EndpointSpec('kiln-1', 'engine', 'kiln-lm', 'walvis-a', fast),
        EndpointSpec('kiln-2', 'engine', 'kiln-lm', 'swakop-b', fast),
        EndpointSpec('desk-1', 'service', 'order-desk', 'langstrand-c'),
        EndpointSpec('quote-1', 'engine', 'quote-lm', 'taichung', fast),
        EndpointSpec('quote-2', 'engine', 'quote-lm', 'changhua', fast),
        EndpointSpec('counter-1', 'service', 'counter-app', 'chiayi'),
    ]


class Deployment:
    """A platform, a weight store, entries and endpoints as processes.

    :param folder: folder for settings files, logs and fact files
    :param endpoint_specs: list of :class:`EndpointSpec`
    :param entries: number of entries
    :param entry_options: additional settings of each entry
    :param sidecar_options: additional settings of each sidecar
    """

    def __init__(
        self,
        folder,
        endpoint_specs,
        entries=2,
        entry_options=None,
        sidecar_options=None,
    ):
        self.group = processes.ProcessGroup(folder)
        self.endpoint_specs = {spec.name: spec for spec in endpoint_specs}
        self.entry_names = [f'entry-{n + 1}' for n in range(entries)]
        self._entry_options = entry_options or {}
        self._sidecar_options = sidecar_options or {}
        self.ports = self._assign_ports()
        self.http = None

    def _assign_ports(self):
        names = ['platform', 'store']
        for name in self.entry_names:
            names += [name, f'{name}-http']
        for name in self.endpoint_specs:
            names += [name, f'{name}-http', f'{name}-endpoint']
        numbers = ports.find_free_ports(len(names))
        return dict(zip(names, numbers, strict=True))

    def get_url(self, name):
        """Return the base URL of a process by the name of its port."""
        return f'http://127.0.0.1:{self.ports[name]}'

    def get_entry_urls(self):
        """Return the base URLs of all entries."""
        return [self.get_url(f'{name}-http') for name in self.entry_names]

    def get_facts_path(self, name):
        """Return the path of the fact file of a stand-in.

        A stand-in appends one JSON line for each action that it performed.
        """
        return self.group.folder / f'{name}.facts'

    def read_facts(self, name):
        """Return the facts that a stand-in logged, as a list of dicts."""
        facts = []
        path = self.get_facts_path(name)
        if not path.exists():
            return facts
        for line in path.read_text().splitlines():
            facts.append(json.loads(line))
        return facts

    async def start(self):
        """Start all processes and wait until they accept connections."""
        self.http = aiohttp.ClientSession()
        self._start_standins()
        for name in ('platform', 'store'):
            await processes.wait_for_port(self.ports[name])
        await self.set_vms()
        for name in self.endpoint_specs:
            await processes.wait_for_port(self.ports[f'{name}-endpoint'])
        for name in self.endpoint_specs:
            self.start_sidecar(name)
        for name in self.entry_names:
            self.start_entry(name)
        for name in [*self.endpoint_specs, *self.entry_names]:
            await processes.wait_for_port(self.ports[f'{name}-http'])

    def _start_standins(self):
        self.group.start_standin(
            'platform',
            'platform',
            '--port',
            str(self.ports['platform']),
            '--facts',
            str(self.get_facts_path('platform')),
        )
        self.group.start_standin(
            'store',
            'weightstore',
            '--port',
            str(self.ports['store']),
            '--download-s',
            '0.05',
        )
        for name in self.endpoint_specs:
            self.start_endpoint(name)

    def start_endpoint(self, name):
        """Start the stand-in of an endpoint."""
        spec = self.endpoint_specs[name]
        endpoint = f'{name}-endpoint'
        port = str(self.ports[endpoint])
        facts = str(self.get_facts_path(endpoint))
        common_options = ['--port', port, '--facts', facts, *spec.options]
        if spec.kind == 'engine':
            self.group.start_standin(
                endpoint,
                'engine',
                '--model',
                spec.serves,
                '--store',
                self.get_url('store'),
                '--slots',
                str(spec.slots),
                *common_options,
            )
            return
        self.group.start_standin(
            endpoint, 'service', '--name', spec.serves, *common_options
        )

    def _build_common_settings(self, name, zone):
        seeds = []
        for entry in self.entry_names:
            if entry != name:
                seeds.append(f'127.0.0.1:{self.ports[entry]}')
        return {
            'name': name,
            'availability_zone': zone,
            'listen': f'127.0.0.1:{self.ports[name]}',
            'http': f'127.0.0.1:{self.ports[f"{name}-http"]}',
            'platform': {'url': self.get_url('platform')},
            'seeds': seeds,
        }

    def start_sidecar(self, name):
        """Start the sidecar of an endpoint."""
        spec = self.endpoint_specs[name]
        settings = self._build_common_settings(name, spec.availability_zone)
        url = self.get_url(f'{name}-endpoint')
        if spec.kind == 'engine':
            settings['engine'] = {
                'url': url,
                'model': spec.serves,
                'slots': spec.sidecar_slots or spec.slots,
                'live_reserve_slots': spec.reserve,
                'checks_fencing': '--checks-fencing' in spec.options,
            }
        else:
            settings['service'] = {
                'url': url,
                'service': spec.serves,
                'slots': spec.sidecar_slots or spec.slots,
            }
        settings |= self._sidecar_options
        self.group.start_daemon(name, 'sidecar', settings)

    def start_entry(self, name):
        """Start an entry."""
        zones = sorted(
            {spec.availability_zone for spec in self.endpoint_specs.values()}
        )
        zone = zones[self.entry_names.index(name) % len(zones)]
        settings = self._build_common_settings(name, zone)
        settings |= self._entry_options
        self.group.start_daemon(name, 'entry', settings)

    async def set_vms(self, gone=(), leaving=()):
        """Set the VMs that the platform stand-in lists.

        :param gone: names of VMs to omit
        :param leaving: names of VMs to list as ``leaving``
        """
        vms = {}
        for name in [*self.endpoint_specs, *self.entry_names]:
            if name in gone:
                continue
            vms[name] = 'leaving' if name in leaving else 'live'
        url = self.get_url('platform') + '/vms'
        async with self.http.post(url, json=vms) as response:
            response.raise_for_status()

    async def set_faults(self, name, **faults):
        """Set faults of a stand-in by the name of its port."""
        url = self.get_url(name) + '/faults'
        async with self.http.post(url, json=faults) as response:
            response.raise_for_status()

    async def read_status(self, entry=None):
        """Return the status of an entry, or None if it does not respond."""
        name = entry or self.entry_names[0]
        url = self.get_url(f'{name}-http') + '/v1/operator/status'
        timeout = aiohttp.ClientTimeout(total=3.0)
        try:
            async with self.http.get(url, timeout=timeout) as response:
                return await response.json()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def wait_for_status(self, predicate, entry=None, timeout_s=20.0):
        """Wait until the status of an entry satisfies a predicate.

        :param predicate: function from a status to a bool
        :returns: the status
        :raises TimeoutError: if the status does not satisfy it in time
        """
        async with asyncio.timeout(timeout_s):
            while True:
                status = await self.read_status(entry)
                if status is not None and predicate(status):
                    return status
                await asyncio.sleep(0.05)

    async def wait_until_ready(self):
        """Wait until each entry sees a leader and all endpoints as ready."""

        def is_ready(status):
            ready = 0
            for endpoint in status['endpoints']:
                ready += endpoint['state'] == 'ready'
            return ready == len(self.endpoint_specs) and status['leader']

        for name in self.entry_names:
            await self.wait_for_status(is_ready, name)

    async def apply_intent(self, intent, entry=None):
        """Submit an intent and confirm its plan.

        :returns: ``(plan, confirmed plan)``
        """
        name = entry or self.entry_names[0]
        root = self.get_url(f'{name}-http') + '/v1/operator'
        async with self.http.post(root + '/intents', json=intent) as response:
            plan = await response.json()
            if response.status != 201:
                raise RuntimeError(f'intent refused: {plan}')
        url = f'{root}/plans/{plan["id"]}/confirm'
        async with self.http.post(url) as response:
            confirmed = await response.json()
            if response.status != 200:
                raise RuntimeError(f'plan not confirmed: {confirmed}')
        return plan, confirmed

    async def stop(self):
        """Kill all processes."""
        if self.http is not None:
            await self.http.close()
        self.group.stop_all()
