"""Untrusted clients of processes with the memory of the smallest VMs.

Each guards against a process that exceeds the memory or the descriptors of its
VM, ends, or no longer answers ordinary callers. Memory is bounded by the VM's,
not by what was measured.
"""

import asyncio
import contextlib
import json
import os
import pathlib

import pytest

from clementineline import errors
from clementineline.experiments import processes
from clementineline.platform.tests.soak import fleet
from clementineline.platform.tests import standin
from clementineline.platform.tests import untrusted
from clementineline.transport import frames
from clementineline.transport import http
from clementineline.transport import outgoing

MEMORY_MB = 150
FDS_MAX = 400
METRICS_PORT = 9464
ORDINARY_TIMEOUT_S = 4.0
MAX_BODY_BYTES = 33_554_432


class DiscardingServer(standin.ServerStandIn):
    """An endpoint whose response to a large body is a short one."""

    async def _run(self, incoming, request_id, headers, echo):
        if len(incoming.body) > 4_000_000:
            incoming.body = b'%d' % len(incoming.body)
        await super()._run(incoming, request_id, headers, echo)


class Machine:
    """One process on its own loopback address, and its stand-ins."""

    def __init__(self, folder, log):
        pid = os.getpid()
        network = f'127.{pid >> 8 & 31 | 32}.{pid & 255}'
        self.ip = f'{network}.1'
        self.untrusted = f'{network}.3'
        self.group = processes.ProcessGroup(folder)
        self.store = standin.StoreStandIn(log)
        self.server = DiscardingServer(log, 'i-desk')

    async def start(self, role):
        manifest = standin.build_manifest()
        manifest['limits']['maxBodyBytes'] = MAX_BODY_BYTES
        manifest['routes'][0]['timeoutMs'] = 8000
        await self.store.start()
        await self.server.start()
        self.store.put('config', 'main', manifest)
        self.store.put('servers', 'i-desk', self.server.describe('desk'))
        boot = {
            'nodeName': f'{role}-1',
            'ip': self.ip,
            'zone': 'walvis-a',
            'portRange': [fleet.PEER_PORT, fleet.PEER_PORT + 15],
            'platform': {'address': self.store.address},
            'listen': {
                'front': f'{self.ip}:{fleet.HTTP_PORT}',
                'ready': f'{self.ip}:{fleet.READY_PORT}',
            },
            'limits': {'memoryMb': MEMORY_MB, 'maxFds': FDS_MAX},
        }
        settings = self.group.folder / 'boot.json'
        settings.write_text(json.dumps(boot))
        self.group.start_program(
            role,
            [str(fleet.PROGRAM), role],
            {'CLEMENTINELINE_BOOT': str(settings)},
        )
        self.process = pathlib.Path(f'/proc/{self.group.get_pid(role)}')
        self.role = role
        port = fleet.READY_PORT if role == 'gateway' else METRICS_PORT
        async with asyncio.timeout(5.0):
            while await self.get(port, '/api/ready') not in (200, 404):
                await asyncio.sleep(0.05)

    async def stop(self):
        self.group.stop_all()
        await self.store.stop()
        await self.server.stop()

    def get_address(self, port):
        return frames.Address(self.ip, port)

    async def exchange(self, port, head, body=b''):
        """Send a request; return the status and body, None if it failed."""
        client = None
        try:
            async with asyncio.timeout(ORDINARY_TIMEOUT_S):
                client = await outgoing.connect(self.get_address(port), 1.0)
                client.send_request(head, body)
                reply = await client.receive_head()
                return reply.status_code, await client.receive_body(1 << 20)
        except (errors.ClementinelineError, TimeoutError):
            return None, b''
        finally:
            if client is not None:
                client.close()

    async def get(self, port, path):
        head = http.Head(b'GET', path.encode(), ((b'Host', b'x'),))
        return (await self.exchange(port, head))[0]

    async def call(self, body, path=b'/live/a'):
        headers = (
            (b'Host', b'shop.example'),
            (b'Request-Id', b'ordinary'),
        )
        head = http.Head(b'POST', path, headers)
        return await self.exchange(fleet.HTTP_PORT, head, body)

    def read_peak_mb(self):
        for line in (self.process / 'status').read_text().splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def count_descriptors(self):
        return len(list((self.process / 'fd').iterdir()))


@pytest.fixture
async def machine(tmp_path, log):
    started = Machine(tmp_path, log)
    try:
        yield started
    finally:
        await started.stop()


async def measure(machine, send, port):
    """Run a group of clients.

    :returns: the most descriptors that were open, and the connections
    """
    most = 0

    async def count():
        nonlocal most
        while True:
            with contextlib.suppress(OSError):
                most = max(most, machine.count_descriptors())
            await asyncio.sleep(0.02)

    counter = asyncio.create_task(count())
    opened = await send(machine.get_address(port), machine.untrusted)
    await asyncio.sleep(0.3)
    counter.cancel()
    return most, opened


def check(machine, most_descriptors):
    assert machine.group.is_running(machine.role)
    peak_mb = machine.read_peak_mb()
    print(f'peak {peak_mb:.0f} MB, {most_descriptors} descriptors')
    assert peak_mb < MEMORY_MB
    assert most_descriptors < FDS_MAX


async def wait_for_answer(request):
    """Repeat an ordinary request until it is answered."""
    async with asyncio.timeout(ORDINARY_TIMEOUT_S):
        while (await request())[0] not in (200, 202):
            await asyncio.sleep(0.1)


class TestCallers:
    """The callers' port of a gateway."""

    @pytest.mark.parametrize('name', untrusted.GROUPS)
    async def test_gateway_stays_within_its_vm(self, machine, name):
        await machine.start('gateway')
        most, opened = await measure(
            machine, untrusted.GROUPS[name], fleet.HTTP_PORT
        )
        try:
            check(machine, most)
            await wait_for_answer(lambda: machine.call(b'q'))
        finally:
            for _, writer in opened:
                writer.transport.abort()

    async def test_largest_body_is_forwarded_whole(self, machine):
        """A bound on memory must not refuse a request within the limits."""
        await machine.start('gateway')
        before_mb = machine.read_peak_mb()
        body = b'y' * MAX_BODY_BYTES
        status, answer = await machine.call(body)
        print(f'at start {before_mb:.0f} MB')
        assert (status, answer) == (200, b'answer to 33554432')
        check(machine, 0)


class TestOtherPorts:
    """The ports of readiness, metrics and peers."""

    @pytest.mark.parametrize('name', untrusted.INNER_GROUPS)
    @pytest.mark.parametrize('role', ['gateway', 'keeper'])
    async def test_peers(self, machine, role, name):
        await machine.start(role)
        most, opened = await measure(
            machine, untrusted.INNER_GROUPS[name], fleet.PEER_PORT
        )
        try:
            check(machine, most)
            if role == 'gateway':
                await wait_for_answer(lambda: machine.call(b'q'))
            else:
                assert await machine.get(METRICS_PORT, '/metrics') == 200
        finally:
            for _, writer in opened:
                writer.transport.abort()

    @pytest.mark.parametrize('port', [fleet.READY_PORT, METRICS_PORT])
    async def test_readiness_and_metrics(self, machine, port):
        await machine.start('gateway')
        most, opened = await measure(machine, untrusted.open_many, port)
        try:
            check(machine, most)
            await wait_for_answer(lambda: machine.call(b'q'))
        finally:
            for _, writer in opened:
                writer.transport.abort()
