"""A 503 that a server gave to an order which it ran reaches the consumer."""

import asyncio
import pathlib
import uuid

from clementineline.platform.tests import standin
from common2 import rig

ORDERS = 60
# The grey server fails this part of its requests, the default of the bench.
FAILED_SHARE = 0.4
REFUSALS = (408, 421, 429, 503)


class GreyServer(standin.ServerStandIn):
    """Runs all requests; fails part of them with 503, its health is good.

    It states nothing of the failed ones, as they have run.
    """

    def __init__(self, log, name, record, grey):
        super().__init__(log, name)
        self._record = record
        self._grey = grey
        self._due = 0.0

    async def _run(self, incoming, request_id, headers, echo):
        await asyncio.sleep(0.02)
        stamped = (*echo, (b'Server-Stamp', b'stamp-of-' + self.name.encode()))
        if self._grey and rig.TROUBLE:
            self._due += FAILED_SHARE
            if self._due >= 1.0:
                self._due -= 1.0
                self._record.write(
                    f'{self.name} ran {request_id}, answers 503'
                )
                incoming.respond(503, stamped, b'stock is locked\n')
                return
        self._record.write(f'{self.name} ran {request_id}, answers 200')
        incoming.respond(200, stamped, b'ordered ' + incoming.body)


async def order(deployment, number):
    """Send an order as a consumer does: again after a promise.

    :returns: list of ``(request id, status, headers)`` of each attempt
    """
    attempts = []
    for attempt in range(2):
        request_id = uuid.uuid4().hex[:16]
        name = deployment.gateways[(number + attempt) % 2]
        status, headers, _ = await rig.call(
            deployment.get_address(name),
            'POST',
            f'/order/{number}',
            {'Request-Id': request_id, 'Timeout-Ms': '800'},
            b'eel %d' % number,
        )
        deployment.record.write(
            f'order {number} as {request_id} through {name}: {status} '
            f'stamp {headers.get("server-stamp")}'
        )
        attempts.append((request_id, status))
        if status not in REFUSALS:
            break
    return attempts


async def play(record):
    manifest = standin.build_manifest()
    live = manifest['routes'][0]
    manifest['routes'].append(
        {**live, 'name': 'r-order', 'pathPrefix': '/order/', 'kind': 'unsafe'}
    )
    deployment = rig.Rig(record, gateways=2, keepers=1)
    try:
        await deployment.start(manifest)
        servers = []
        for number in range(3):
            server = GreyServer(
                deployment.log, f'i-desk{number}', record, grey=not number
            )
            servers.append(await deployment.start_server(server, 'desk'))
        await deployment.wait_until_ready()
        ran = set()
        promised = []
        doubled = 0
        for number in range(ORDERS):
            attempts = await order(deployment, number)
            ran = {run[0] for server in servers for run in server.runs}
            promised += [
                request_id
                for request_id, status in attempts
                if status in REFUSALS and request_id in ran
            ]
            doubled += sum(found[0] in ran for found in attempts) > 1
        # It must not run later either.
        await asyncio.sleep(1.0)
        record.write(
            f'{ORDERS} orders, {len(ran)} runs, {len(promised)} runs answered '
            f'with a promise that they have not run, {doubled} orders '
            'carried out twice'
        )
        return not promised
    finally:
        await deployment.stop()


rig.run(pathlib.Path(__file__).parent, play)
