"""Benchmark of the cost of a gateway's log lines at several call rates.

Each case runs in a separate process, which holds a gateway, a stand-in service
and a client that sends live calls at a fixed rate. The gateway's standard
output is ``read``, ``blocked`` (a pipe without a reader) or ``silent`` (no
log lines are created). Prints one line of JSON for each case.
"""

import asyncio
import json
import os
import subprocess
import sys
import threading
import time

from clementineline.daemons import gateway as gateways
from clementineline.daemons import logs
from clementineline.platform import dialect
from clementineline.platform import objects
from clementineline.platform.tests import standin
from clementineline.state import settings
from clementineline.transport import frames
from clementineline.transport import http
from clementineline.transport import outgoing

# The heaviest tested load is about 3 live calls per second for each gateway.
RATES_PER_S = (3, 30, 300)
OUTPUTS = ('silent', 'read', 'blocked')
DURATION_S = 5.0


class PipeReader(threading.Thread):
    """Thread that reads a pipe and counts the bytes."""

    def __init__(self, descriptor):
        super().__init__(daemon=True)
        self.descriptor = descriptor
        self.bytes_read = 0

    def run(self):
        while True:
            self.bytes_read += len(os.read(self.descriptor, 1 << 16))


async def start_gateway(log):
    """Start a store, a service and a gateway on loopback.

    :returns: the :class:`~frames.Address` of the gateway's HTTP port
    """
    store = standin.StoreStandIn(log)
    await store.start()
    store.put('config', 'main', standin.build_manifest())
    service = standin.ServerStandIn(log, 'i-desk')
    await service.start()
    server_object = service.describe('desk')
    server_object['slots'] = 1000
    store.put('servers', 'i-desk', server_object)
    gateway_settings = settings.GatewaySettings(
        name='gateway-1',
        zone='walvis-a',
        http=f'127.0.0.1:{standin.find_free_port()}',
        ready=f'127.0.0.1:{standin.find_free_port()}',
        listen=f'127.0.0.1:{standin.find_free_port()}',
        store=store.address,
    )
    client = objects.ObjectStore(frames.parse_address(store.address), log)
    gateway = gateways.Gateway(
        gateway_settings, client, dialect.WireDialect(), log
    )
    await gateway.start()
    while not gateway.is_ready:
        await asyncio.sleep(0.01)
    return frames.parse_address(gateway_settings.http)


async def call(address, number):
    """Send one live call.

    :returns: its latency in seconds, or None if it failed
    """
    started = time.perf_counter()
    client = await outgoing.connect(address, 1.0)
    head = http.Head(
        b'POST',
        b'/live/a',
        ((b'Host', b'shop.example'), (b'Request-Id', b'r%d' % number)),
    )
    try:
        client.send_request(head, b'lookup')
        response = await client.receive_head()
        await client.receive_body(1 << 20)
    finally:
        client.close()
    if response.status_code != 200:
        return None
    return time.perf_counter() - started


async def measure(rate_per_s, output, writer):
    """Run one case and return its figures.

    :param rate_per_s: live calls per second
    :param output: one of ``OUTPUTS``
    :param writer: the :class:`~logs.BoundedWriter` for log lines
    """
    level = 'critical' if output == 'silent' else 'info'
    logs._configure(level, lambda *args: writer, [logs.LineRateLimiter()])
    log = logs.structlog.get_logger().bind(process='gateway-1')
    address = await start_gateway(log)
    started = time.perf_counter()
    cpu_s = time.process_time()
    tasks = []
    count = int(rate_per_s * DURATION_S)
    for number in range(count):
        due_at = started + number / rate_per_s
        await asyncio.sleep(max(0.0, due_at - time.perf_counter()))
        tasks.append(asyncio.create_task(call(address, number)))
    results = await asyncio.gather(*tasks)
    cpu_s = time.process_time() - cpu_s
    latencies_s = sorted(
        latency_s for latency_s in results if latency_s is not None
    )
    return {
        'calls_per_s': rate_per_s,
        'output': output,
        'served': len(latencies_s) / count,
        'p50_ms': round(latencies_s[len(latencies_s) // 2] * 1000, 2),
        'p99_ms': round(latencies_s[int(len(latencies_s) * 0.99)] * 1000, 2),
        'cpu_ms_per_call': round(cpu_s * 1000 / count, 3),
        'lines_dropped': writer.dropped,
    }


def run_case(rate_per_s, output):
    """Run one case in this process and print its figures."""
    read_end, write_end = os.pipe()
    reader = PipeReader(read_end)
    if output == 'read':
        reader.start()
    figures = asyncio.run(
        measure(rate_per_s, output, logs.BoundedWriter(write_end))
    )
    figures['bytes_per_s'] = round(reader.bytes_read / DURATION_S)
    print(json.dumps(figures))


def main(arguments):
    """Run one case, or each case in a process of its own.

    :param arguments: call rate and output of one case; empty for all cases
    """
    if arguments:
        run_case(int(arguments[0]), arguments[1])
        return
    for rate_per_s in RATES_PER_S:
        for output in OUTPUTS:
            subprocess.run(
                [sys.executable, __file__, str(rate_per_s), output],
                check=True,
            )


if __name__ == '__main__':
    main(sys.argv[1:])
