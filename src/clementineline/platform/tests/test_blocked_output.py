"""A gateway whose log lines nobody reads serves as ever."""

import asyncio
import logging
import os

import structlog

from clementineline.daemons import logs
from clementineline.platform.tests import conftest

CALLS = 300


class TestBlockedOutput:
    async def test_every_call_is_served_and_the_loss_is_counted(
        self, log, wait_until, monkeypatch
    ):
        monkeypatch.setattr(logs, 'BUFFER_BYTES_MAX', 4096)
        reader, descriptor = os.pipe()
        writer = logs.BoundedWriter(descriptor)
        # As much as the pipe takes: from now on a waiting write stays.
        try:
            while True:
                os.write(descriptor, b' ' * 4096)
        except BlockingIOError:
            pass
        blocked = structlog.wrap_logger(
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
        deployment.log = blocked
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
        # Two lines a call, of which a dozen or so fit.
        assert writer.dropped > CALLS
        assert writer._size <= logs.BUFFER_BYTES_MAX
        await deployment.stop()
        os.close(reader)
