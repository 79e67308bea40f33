"""Gateways and keepers as processes, with stand-ins around them.

The programs run with the commands of the deploy file on loopback addresses.
The store and the plain servers are the project's own stand-ins, extended where
a case needs it; the clients are small ones of this file.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import traceback

import structlog

from clementineline.platform.tests import standin

ROOT = pathlib.Path(__file__).parents[2]
HTTP_PORT = 8161
READY_PORT = 8167
PEER_PORT = 7720
START_TIMEOUT_S = 25.0
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

HELD, BROKEN, NOT_RUN = 0, 1, 2


def make_log():
    """Return a logger that prints nothing."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    return structlog.get_logger()


def read_commands():
    """Return the command of each role, from the deploy file."""
    text = (ROOT / 'deploy' / 'system.toml').read_text()
    commands = {}
    for role, body in re.findall(
        r'\[roles\.(\w+)\](.*?)(?=\n\[|\Z)', text, re.S
    ):
        command = re.search(r'^run = "(.*)"$', body, re.M).group(1)
        commands[role] = command.split()
    return commands


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._started = time.monotonic()

    def write(self, text):
        line = f'{time.monotonic() - self._started:8.3f} {text}\n'
        self._file.write(line)
        self._file.flush()
        sys.stdout.write(line)


class Rig:
    """A small deployment: gateways, keepers, the store and servers.

    :param record: the :class:`Record`
    :param gateways: number of gateways
    :param keepers: number of keepers
    :param store: the stand-in of the store, or None for the project's own
    :param limits: ``memoryMb`` by role
    :param bounds: bounds that replace those of the small sites
    """

    def __init__(
        self,
        record,
        gateways=2,
        keepers=3,
        store=None,
        limits=None,
        bounds=None,
    ):
        self.record = record
        self.log = make_log()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        pid = os.getpid()
        self._network = f'127.{64 + (pid >> 8 & 63)}.{pid & 255}'
        self.store = store or standin.StoreStandIn(self.log)
        self.store.address = f'{self._network}.250:{self.store.port}'
        self.gateways = [f'gateway-{n}' for n in range(1, gateways + 1)]
        self.keepers = [f'keeper-{n}' for n in range(1, keepers + 1)]
        self.limits = limits or {'gateway': 300, 'keeper': 330}
        self.bounds = {
            'graceS': 8,
            'statusS': 120,
            'leaseMs': 3000,
            'configApplyMs': 2000,
            'drainMs': 2000,
            'stableWindowMs': 3000,
            **(bounds or {}),
        }
        self.servers = {}
        self.processes = {}
        self._logs = {}
        self._commands = read_commands()
        self._ips = {}

    async def start(self, manifest):
        await self.store.start()
        self.store.put('config', 'main', manifest)
        zones = ('walvis-a', 'swakop-b', 'langstrand-c')
        for number, name in enumerate([*self.gateways, *self.keepers], 1):
            self._ips[name] = f'{self._network}.{number}'
            self._write_settings(name, zones[number % 3])
            self.start_process(name)

    async def start_server(self, server, service, zone='walvis-a', **entry):
        """Start a stand-in of a server and enter it into the store."""
        server.address = (
            f'{self._network}.{100 + len(self.servers)}:{server.port}'
        )
        await server.start()
        self.servers[server.name] = server
        described = {**server.describe(service, zone=zone), **entry}
        self.store.put('servers', server.name, described)
        return server

    def _write_settings(self, name, zone):
        ip = self._ips[name]
        role = name.partition('-')[0]
        folder = None
        if role == 'keeper':
            folder = self.folder / f'{name}-disk'
            folder.mkdir()
        listen = {}
        if role == 'gateway':
            listen = {
                'front': f'{ip}:{HTTP_PORT}',
                'ready': f'{ip}:{READY_PORT}',
            }
        boot = {
            'nodeName': name,
            'role': role,
            'machineClass': 'front' if role == 'gateway' else 'store',
            'serves': ['front'] if role == 'gateway' else ['store'],
            'ip': ip,
            'zone': zone,
            'region': 'erongo',
            'zones': {
                'walvis-a': 'erongo',
                'swakop-b': 'erongo',
                'langstrand-c': 'erongo',
            },
            'listen': listen,
            'portRange': [PEER_PORT, PEER_PORT + 15],
            'seeds': [],
            'bootstrap': True,
            'lossCounts': role == 'keeper',
            'limits': {
                'cpuShare': 1.0,
                'cores': 1,
                'memoryMb': self.limits[role],
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 470 if role == 'keeper' else 0,
            },
            'dataDir': str(folder) if folder else None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeatMs': 1200,
            'contracts': ['base', 'drain', 'config', 'platform', 'batch'],
            'bounds': self.bounds,
            'platform': {
                'address': self.store.address,
                'form': 'objects',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
                'ttlMinMs': 1000,
            },
        }
        (self.folder / f'{name}.json').write_text(json.dumps(boot))

    def start_process(self, name):
        """Start a process, or start it again."""
        role = name.partition('-')[0]
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['CLEMENTINELINE_BOOT'] = str(self.folder / f'{name}.json')
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        log = (self.folder / f'{name}.log').open('ab')
        self.processes[name] = subprocess.Popen(
            self._commands[role],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()

    def signal(self, name, number):
        """Send a signal to a process."""
        self.record.write(f'{signal.Signals(number).name} to {name}')
        self.processes[name].send_signal(number)

    async def kill(self, name, down_s=0.5):
        """Kill a process and start it again."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()
        await asyncio.sleep(down_s)
        self.start_process(name)

    async def start_again(self, name):
        """Start a process again as soon as it has ended."""
        while self.processes[name].poll() is None:
            await asyncio.sleep(0.05)
        self.record.write(f'{name} has ended and is started again')
        self.start_process(name)

    def read_memory_mb(self, name):
        """Return the resident memory of a process, in MB of 10^6 bytes."""
        pid = self.processes[name].pid
        try:
            text = pathlib.Path(f'/proc/{pid}/status').read_text()
        except OSError:
            return 0.0
        found = re.search(r'VmRSS:\s+(\d+) kB', text)
        return int(found.group(1)) * 1024 / 1e6 if found else 0.0

    def get_ip(self, name):
        return self._ips[name]

    def find_leader(self):
        """Return the name of the lease holder as the store has it."""
        spec = self.store.get_spec('lease', 'leader')
        return spec['holder'] if spec else ''

    async def wait_until_ready(self):
        """Wait until all gateways are ready and a keeper leads.

        :raises TimeoutError: if they are not in time
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            for name in self.gateways:
                while True:
                    with contextlib.suppress(OSError, ValueError, EOFError):
                        status, _, _ = await call(
                            (self._ips[name], READY_PORT),
                            'GET',
                            '/api/ready',
                            {},
                        )
                        if status == 200:
                            break
                    await asyncio.sleep(0.1)
            while self.find_leader() not in self.keepers:
                await asyncio.sleep(0.1)
        # The leader lists the submissions first.
        await asyncio.sleep(1.0)
        self.record.write(f'ready; {self.find_leader()} leads')

    def get_address(self, name):
        """Return the address of a gateway for callers."""
        return self._ips[name], HTTP_PORT

    def read_log(self, name):
        return (self.folder / f'{name}.log').read_text(errors='replace')

    async def stop(self):
        """End everything that was started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for server in [self.store, *self.servers.values()]:
            with contextlib.suppress(Exception):
                async with asyncio.timeout(2.0):
                    await server.stop()
        if os.environ.get('KEEP'):
            print(self.folder)
            return
        shutil.rmtree(self.folder, ignore_errors=True)


async def read_response(reader, method='GET'):
    """Read a response.

    :returns: ``(status, headers, body)``; the names of headers in lower case
    :raises EOFError: if the connection ends too early
    """
    while True:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        status = int(lines[0].split(' ')[1])
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(':')
            if colon:
                headers[name.strip().lower()] = value.strip()
        if status >= 200:
            break
    if method == 'HEAD' or status in (204, 304):
        return status, headers, b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return status, headers, body
            body += piece[:-2]
    if 'content-length' in headers:
        size = int(headers['content-length'])
        return status, headers, await reader.readexactly(size)
    return status, headers, await reader.read()


def encode_request(method, path, headers, body=b''):
    lines = [f'{method} {path} HTTP/1.1']
    given = {'Host': 'shop.example', **headers}
    if body or method in ('POST', 'PUT'):
        given['Content-Length'] = str(len(body))
    lines += [f'{name}: {value}' for name, value in given.items()]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


async def call(address, method, path, headers, body=b'', timeout_s=5.0):
    """Make a call on a new connection.

    :returns: ``(status, headers, body)``
    :raises OSError, EOFError, TimeoutError: if there is no whole response
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address, limit=1 << 26)
        try:
            writer.write(encode_request(method, path, headers, body))
            return await read_response(reader, method)
        finally:
            writer.close()


def run(folder, play):
    """Run a case and exit with its result.

    :param folder: folder of the case
    :param play: coroutine function that takes the :class:`Record` and returns
        whether the rule was kept
    """
    record = Record(folder)

    async def limited():
        async with asyncio.timeout(112.0):
            return await play(record)

    try:
        kept = asyncio.run(limited())
    except BaseException as error:
        traceback.print_exc()
        record.write(f'not run: {error!r}')
        os._exit(NOT_RUN)
    record.write('the rule held' if kept else 'the rule was broken')
    os._exit(HELD if kept else BROKEN)
