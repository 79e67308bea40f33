"""Measures what a gateway's log lines cost, at a usual load and at ten times.

Each case is a process of its own: a gateway and a stand-in service, live calls
at a fixed rate, and standard output that is read, not read at all, or silent
(no lines are made). Prints a line a case.
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

# A gateway of the heaviest days gets some three live calls a second.
RATES_PER_S = (3, 30, 300)
OUTPUTS = ('silent', 'read', 'blocked')
DURATION_S = 5.0


class Reader(threading.Thread):
    """Counts what is written to the other end of a pipe."""

    def __init__(self, descriptor):
        super().__init__(daemon=True)
        self.descriptor = descriptor
        self.count = 0

    def run(self):
        while True:
            self.count += len(os.read(self.descriptor, 1 << 16))


async def start_gateway(log):
    """Start a store, a service and a gateway on loopback."""
    store = standin.StoreStandIn(log)
    await store.start()
    store.put('config', 'main', standin.build_manifest())
    service = standin.ServerStandIn(log, 'i-desk')
    await service.start()
    entry = service.describe('desk')
    entry['slots'] = 1000
    store.put('servers', 'i-desk', entry)
    loaded = settings.GatewaySettings(
        name='gateway-1',
        zone='walvis-a',
        http=f'127.0.0.1:{standin.find_free_port()}',
        ready=f'127.0.0.1:{standin.find_free_port()}',
        listen=f'127.0.0.1:{standin.find_free_port()}',
        store=store.address,
    )
    client = objects.ObjectStore(frames.parse_address(store.address), log)
    gateway = gateways.Gateway(loaded, client, dialect.WireDialect(), log)
    await gateway.start()
    while not gateway.is_ready:
        await asyncio.sleep(0.01)
    return frames.parse_address(loaded.http)


async def call(address, number):
    """Send one live call.

    :returns: how long it took, in seconds; None if it failed
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
        reply = await client.receive_head()
        await client.receive_body(1 << 20)
    finally:
        client.close()
    if reply.status_code != 200:
        return None
    return time.perf_counter() - started


async def measure(rate_per_s, output, writer):
    """Run one case and return its figures."""
    level = 'critical' if output == 'silent' else 'info'
    logs._configure(level, lambda *args: writer, [logs.LineRateLimiter()])
    log = logs.structlog.get_logger().bind(process='gateway-1')
    address = await start_gateway(log)
    started = time.perf_counter()
    cpu = time.process_time()
    tasks = []
    count = int(rate_per_s * DURATION_S)
    for number in range(count):
        due = started + number / rate_per_s
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        tasks.append(asyncio.create_task(call(address, number)))
    took = await asyncio.gather(*tasks)
    cpu = time.process_time() - cpu
    served = sorted(value for value in took if value is not None)
    return {
        'calls_per_s': rate_per_s,
        'output': output,
        'served': len(served) / count,
        'p50_ms': round(served[len(served) // 2] * 1000, 2),
        'p99_ms': round(served[int(len(served) * 0.99)] * 1000, 2),
        'cpu_ms_per_call': round(cpu * 1000 / count, 3),
        'lines_dropped': writer.dropped,
    }


def run_case(rate_per_s, output):
    """Run one case in this process and print its figures."""
    reader, writer = os.pipe()
    counter = Reader(reader)
    if output == 'read':
        counter.start()
    figures = asyncio.run(
        measure(rate_per_s, output, logs.BoundedWriter(writer))
    )
    figures['bytes_per_s'] = round(counter.count / DURATION_S)
    print(json.dumps(figures))


def main(arguments):
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
