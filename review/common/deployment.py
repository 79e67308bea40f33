"""Starts the programs of the deploy file between stand-ins, on loopback."""

import asyncio
import json
import logging
import os
import pathlib
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

from clementineline.platform.tests import standin
from common import wire

__all__ = ['BOUNDS', 'ROOT', 'Deployment', 'Record', 'has_trouble']

ROOT = pathlib.Path(__file__).parents[2]
ZONES = ('walvis-a', 'swakop-b', 'langstrand-c')
# As on the sheet of wbm-smoke.
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'stableWindowMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4.7,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'downgradeSlackMs': 250,
    'skewMaxMs': 5000,
    'recoveryS': 12,
    'passMs': 120,
    'retryAfterS': 0,
    'finishS': 10,
    'statusS': 120,
    'cancelMs': 3000,
    'settleMs': 1000,
    'quotaOvershoot': 0.1,
    'requireFence': False,
    'leaseMs': 3000,
    'thawSlackMs': 300,
}
START_TIMEOUT_S = 15.0
PASSED_ON = ('PATH', 'HOME', 'LANG')


def has_trouble():
    """Return whether the disruption is wanted."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes ``record.txt``: what was sent, answered and run, with times.

    :param path: path of the file
    """

    def __init__(self, path):
        self._file = open(path, 'w')
        self.started = time.monotonic()

    def add(self, *words):
        """Write a line."""
        now = time.monotonic() - self.started
        print(f'{now:9.4f}', *words, file=self._file, flush=True)

    def close(self):
        """Close the file."""
        self._file.close()


class StandInLog:
    """A logger that drops what the project's stand-ins log."""

    def __getattr__(self, name):
        return lambda *words, **fields: None


class Store(standin.StoreStandIn):
    """The project's stand-in of the store; a PUT of the same changes nothing.

    :ivar acknowledged: called with the method, kind, names and body of each
        write before it is answered
    """

    def __init__(self, log):
        super().__init__(log)
        self.on_write = lambda method, kind, names, body: None

    def _write(self, method, kind, names, body):
        if method == 'PUT':
            given = json.loads(body)
            found = self.objects.get((kind, names[0]))
            revision = given.get('metadata', {}).get('revision')
            field = 'status' if names[1:] == ['status'] else 'spec'
            same = found is not None and found[field] == given.get(field)
            if same and revision in (None, found['metadata']['revision']):
                return 200, found
        answer = super()._write(method, kind, names, body)
        self.on_write(method, kind, names, body)
        return answer


def _find_free_network():
    """Return the start of loopback addresses that nothing listens at."""
    pid = os.getpid()
    return f'127.{pid >> 8 & 127 | 64}.{pid & 255}'


class Deployment:
    """Gateways and keepers as processes, and the store's stand-in.

    :param record: a :class:`Record`
    :param store_type: class of the store's stand-in
    """

    def __init__(self, record, store_type=Store):
        logging.disable(logging.CRITICAL)
        self.record = record
        self.store = store_type(StandInLog())
        self._network = _find_free_network()
        self.store.address = f'{self._network}.254:{self.store.port}'
        self._folder = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = pathlib.Path(self._folder.name)
        self._processes = {}
        self._ips = {}
        self._commands = self._read_commands()
        self.store_address_of = lambda name: self.store.address

    def _read_commands(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        roles = deploy['roles']
        return {role: shlex.split(roles[role]['run']) for role in roles}

    def get_ip(self, name):
        """Return the loopback address of a machine."""
        if name not in self._ips:
            self._ips[name] = f'{self._network}.{len(self._ips) + 1}'
        return self._ips[name]

    def get_front(self, name):
        """Return the address for consumers of a gateway."""
        return f'{self.get_ip(name)}:8161'

    def start(self, name, role, zone):
        """Write the settings of a machine and start its program.

        Its disk is kept from one start to the next.
        """
        ip = self.get_ip(name)
        boot = {
            'nodeName': name,
            'role': role,
            'machineClass': 'front' if role == 'gateway' else 'store',
            'ip': ip,
            'zone': zone,
            'portRange': [7720, 7735],
            'listen': {},
            'bounds': BOUNDS,
            'heartbeatMs': 1200,
            'dataDir': None,
            'platform': {
                'address': self.store_address_of(name),
                'form': 'objects',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
            },
        }
        if role == 'gateway':
            boot['listen'] = {'front': f'{ip}:8161', 'ready': f'{ip}:8167'}
        else:
            disk = self.folder / f'{name}-disk'
            disk.mkdir(exist_ok=True)
            boot['dataDir'] = str(disk)
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(boot))
        variables = {
            key: os.environ[key] for key in PASSED_ON if key in os.environ
        }
        variables['CLEMENTINELINE_BOOT'] = str(path)
        variables['PYTHONPATH'] = str(ROOT / 'target/deps')
        variables['PYTHONDONTWRITEBYTECODE'] = '1'
        words = self._commands[role]
        log = (self.folder / f'{name}.log').open('ab')
        self._processes[name] = subprocess.Popen(
            [sys.executable, *words[1:]],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env=variables,
        )
        log.close()
        self.record.add('started', name)

    def signal(self, name, number):
        """Send a signal to a process."""
        self._processes[name].send_signal(number)
        self.record.add('signal', signal.Signals(number).name, 'to', name)

    def is_running(self, name):
        """Return whether a process runs."""
        return self._processes[name].poll() is None

    async def wait_ended(self, name, timeout_s):
        """Wait until a process has ended; kill it after the time limit."""
        deadline = time.monotonic() + timeout_s
        while self.is_running(name):
            if time.monotonic() > deadline:
                self.signal(name, signal.SIGKILL)
                self._processes[name].wait()
            await asyncio.sleep(0.01)
        self.record.add('ended', name)

    def read_log(self, name):
        """Return what a process has logged."""
        return (self.folder / f'{name}.log').read_text(errors='replace')

    async def wait_ready(self, name):
        """Wait until a gateway is ready.

        :raises TimeoutError: if it is not in time
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                status, _, _ = await wire.call(
                    f'{self.get_ip(name)}:8167',
                    'GET',
                    '/api/ready',
                    [('Host', 'ready')],
                    timeout_s=1.0,
                )
                if status == 200:
                    return
                await asyncio.sleep(0.1)

    async def stop(self):
        """Kill all processes, wait for them and remove the folder."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            target = pathlib.Path(kept)
            target.mkdir(parents=True, exist_ok=True)
            for log in self.folder.glob('*.log'):
                (target / log.name).write_bytes(log.read_bytes())
        await self.store.stop()
        self._folder.cleanup()


def run(main, folder):
    """Run a case and exit with its code.

    :param main: coroutine function that takes a :class:`Record` and returns
        whether the rule held
    :param folder: folder of the case
    """
    record = Record(pathlib.Path(folder) / 'record.txt')

    async def bounded():
        async with asyncio.timeout(115.0):
            return await main(record)

    def interrupt(number, frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, interrupt)
    try:
        held = asyncio.run(bounded())
    except BaseException as error:
        record.add('could not run:', repr(error))
        print(f'could not run: {error!r}')
        sys.exit(2)
    record.add('rule held' if held else 'rule broken')
    print('rule held' if held else 'rule broken')
    sys.exit(0 if held else 1)
