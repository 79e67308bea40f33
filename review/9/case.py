"""One crash of a service's servers bars a path for minutes."""

import asyncio
import pathlib
import uuid

from clementineline.platform.tests import standin
from common2 import rig

SERVERS = 3
CALL_S = 0.2
DOWN_S = 3.0
# Steady state begins this long after the servers are back.
STABLE_S = 3.0
ASKED = 40


async def ask(deployment, number, path):
    """Ask as a consumer does: once more after a failure, at another node.

    :returns: whether it was answered with success
    """
    for attempt in range(2):
        name = deployment.gateways[(number + attempt) % 2]
        request_id = uuid.uuid4().hex[:16]
        try:
            status, headers, _ = await rig.call(
                deployment.get_address(name),
                'GET',
                path,
                {'Request-Id': request_id, 'Timeout-Ms': '800'},
                timeout_s=1.5,
            )
        except (OSError, EOFError, TimeoutError) as error:
            deployment.record.write(f'{path} at {name}: {error!r}')
            continue
        deployment.record.write(
            f'{path} as {request_id} at {name}: {status} '
            f'stamp {headers.get("server-stamp")}'
        )
        if status == 200:
            return True
    return False


async def start_servers(deployment, generation):
    servers = []
    for number in range(SERVERS):
        server = standin.ServerStandIn(
            deployment.log, f'i-desk{number}-{generation}'
        )
        server.delay_s = CALL_S
        servers.append(await deployment.start_server(server, 'desk'))
    return servers


async def play(record):
    deployment = rig.Rig(record, gateways=2, keepers=1)
    manifest = standin.build_manifest()
    try:
        await deployment.start(manifest)
        servers = await start_servers(deployment, 1)
        await deployment.wait_until_ready()
        for number in range(6):
            await ask(deployment, number, f'/live/order/{number}')
        live = manifest['routes'][0]
        added = {**live, 'name': 'r-added', 'pathPrefix': '/added/'}
        grown = {**manifest, 'version': 2}
        grown['routes'] = [*manifest['routes'], added]
        deployment.store.put('config', 'main', grown)
        record.write('version 2 adds the route /added/')
        await asyncio.sleep(3.0)
        # Several consumers ask for the price list at the same time.
        asked = [
            asyncio.create_task(ask(deployment, number, '/added/prices'))
            for number in range(6)
        ]
        await asyncio.sleep(CALL_S / 2)
        if rig.TROUBLE:
            record.write('all servers of the service crash')
            for server in servers:
                server.end()
        await asyncio.gather(*asked)
        if rig.TROUBLE:
            await asyncio.sleep(DOWN_S)
            for server in servers:
                deployment.store.remove('servers', server.name)
            await start_servers(deployment, 2)
            record.write('the servers are back')
        await asyncio.sleep(STABLE_S + 1.0)
        served = {'/live/': 0, '/added/': 0}
        for number in range(ASKED):
            served['/live/'] += await ask(
                deployment, number, f'/live/order/{number}'
            )
            served['/added/'] += await ask(deployment, number, '/added/prices')
            await asyncio.sleep(0.2)
        record.write(f'served of {ASKED} each in steady state: {served}')
        return served['/added/'] * 4 >= served['/live/']
    finally:
        await deployment.stop()


rig.run(pathlib.Path(__file__).parent, play)
