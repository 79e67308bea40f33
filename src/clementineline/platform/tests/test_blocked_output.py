"""Tests of a gateway whose standard output is not read.

A reader that stops leaves the pipe full. Log writes that waited for the reader
would stop the gateway.
"""

import asyncio
import logging
import os

import structlog

from clementineline.daemons import logs
from clementineline.platform.tests import conftest

CALLS = 300


class TestBlockedOutput:
    async def test_all_calls_are_served_and_dropped_lines_are_counted(
        self, log, wait_until, monkeypatch
    ):
        monkeypatch.setattr(logs, 'BUFFER_BYTES_MAX', 4096)
        reader, descriptor = os.pipe()
        writer = logs.BoundedWriter(descriptor)
        # Fill the pipe, so that a blocking write would wait forever.
        try:
            while True:
                os.write(descriptor, b' ' * 4096)
        except BlockingIOError:
            pass
        blocked_log = structlog.wrap_logger(
            writer,
            processors=[structlog.processors.add_log_level, logs._render],
            wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        )
        deployment = conftest.Deployment(log)
        await deployment.store.start()
        manifest = conftest.standin.build_manifest()
        deployment.store.put('config', 'main', manifest)
        server = await deployment.start_server('i-desk', 'desk')
        entry = {**server.describe('desk'), 'slots': 1000}
        deployment.store.put('servers', 'i-desk', entry)
        deployment.log = blocked_log
        gateway = await deployment.start_gateway('gateway-1')
        await wait_until(lambda: gateway.is_ready)

        async def call(number):
            headers = ((b'Request-Id', b'r%d' % number),)
            status, _, _ = await deployment.call(
                gateway, 'POST', '/live/a', headers
            )
            return status

        statuses = await asyncio.gather(*(call(n) for n in range(CALLS)))
        assert set(statuses) == {200}
        # Each call logs two lines, and about a dozen lines fit the buffer.
        assert writer.dropped > CALLS
        assert writer._size <= logs.BUFFER_BYTES_MAX
        await deployment.stop()
        os.close(reader)
