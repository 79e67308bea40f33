"""A result that was read is gone again after a late write of a past leader."""

import asyncio
import base64
import json
import pathlib
import signal

from clementineline.platform.tests import standin
from common2 import rig

STORE_ANSWER_S = 0.004
# platform_lost, late: such a write is done 1 to 6 s later.
LATE_S = 5.0
# The trainer ends the step then; the second group ends just before.
TIME_LIMIT_S = 12.0
SECOND_GROUP_S = 11.7
# A position that was read must be there from this time on.
SETTLE_S = 1.0
CHECKED_FOR_S = 12.0
STEP = 'step-7'


class Store(standin.StoreStandIn):
    """The store, which loses the answer to one write and does it late."""

    def __init__(self, log):
        super().__init__(log)
        self.lose_next_chunk = False
        self.lost = asyncio.Event()
        self.done = asyncio.Event()

    async def handle(self, incoming):
        await asyncio.sleep(STORE_ANSWER_S)
        kind = incoming.head.path.decode().split('/')[3]
        writes = incoming.head.method == b'POST'
        if writes and self.lose_next_chunk and kind.startswith('results-'):
            self.lose_next_chunk = False
            body = incoming.body
            self.lost.set()
            asyncio.create_task(self._do_late(kind, body))
            await asyncio.sleep(60.0)
        await super().handle(incoming)

    async def _do_late(self, kind, body):
        await asyncio.sleep(LATE_S)
        # Creates the object if its condition still holds.
        self.late_status, _ = self._write('POST', kind, [], body)
        self.done.set()


class Engine(standin.ServerStandIn):
    """Generates the first group at once, and the second one for 11.7 s."""

    def __init__(self, log, name, versions):
        super().__init__(log, name, versions)
        self.ends_at = None

    async def _stream(self, incoming, headers, response_headers, model):
        if headers['request-id'].startswith('b'):
            loop = asyncio.get_running_loop()
            left_s = max(0.5, self.ends_at - loop.time())
            self.events = 30
            first = int(headers.get('last-event-id', 0))
            self.gap_s = left_s / max(1, self.events - first)
        else:
            self.events, self.gap_s = 5, 0.02
        await super()._stream(incoming, headers, response_headers, model)


def build_step():
    items = []
    for name in ('a1', 'a2', 'b1', 'b2'):
        items.append(
            {
                'id': f'{name}-of-{STEP}',
                'path': '/batch/draft',
                'headers': {'Model': 'm0', 'Token-Usage': '271,1000'},
                'body': base64.b64encode(b'prompt').decode(),
                'tokens': 1271,
                'group': name[0],
            }
        )
    return json.dumps(
        {
            'step': 7,
            'model': 'm0',
            'minVersion': 1,
            'desired': 2,
            'items': items,
        }
    ).encode()


class Case:
    def __init__(self, record):
        self.record = record
        self.store = Store(rig.make_log())
        self.deployment = rig.Rig(
            record, gateways=3, keepers=3, store=self.store
        )
        # Loop times at which positions were read first.
        self.read_at = {}
        self.broken = []
        # Position of the first result of the second group.
        self.second = 2

    async def read(self, gateway, after=0, who='a consumer'):
        """Read results; note what is listed and what is missing."""
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        try:
            status, _, body = await rig.call(
                self.deployment.get_address(gateway),
                'GET',
                f'/api/lots/{STEP}?after={after}',
                {},
            )
        except (OSError, EOFError, TimeoutError) as error:
            self.record.write(f'{who} at {gateway}: {error!r}')
            return 0
        if status != 200:
            self.record.write(f'{who} at {gateway}: {status}')
            return 0
        page = json.loads(body)
        ids = [result['id'] for result in page['results']]
        self.record.write(
            f'{who} at {gateway} from {after}: next {page["next"]}, {ids}'
        )
        for position in range(after, page['next']):
            self.read_at.setdefault(position, loop.time())
        # A page may hold less than there is, but not nothing.
        read_at = self.read_at.get(after)
        if page['next'] == after and read_at is not None:
            if asked_at - read_at > SETTLE_S:
                self.broken.append((gateway, after))
                self.record.write(
                    f'position {after} was read {asked_at - read_at:.1f} s '
                    f'before, {gateway} has nothing there'
                )
        return page['next']

    async def read_on(self):
        """Another consumer reads at the first gateways all the time."""
        number = 0
        while True:
            number += 1
            gateway = f'gateway-{1 + number % 2}'
            await self.read(gateway)
            await self.read(gateway, self.second)
            await asyncio.sleep(0.5)

    async def play(self):
        deployment = self.deployment
        loop = asyncio.get_running_loop()
        try:
            await deployment.start(standin.build_manifest())
            engines = []
            for number in range(3):
                engine = Engine(deployment.log, f'i-lm{number}', {'m0': 1})
                engines.append(await deployment.start_server(engine, 'lm'))
            await deployment.wait_until_ready()
            submitted_at = loop.time()
            for engine in engines:
                engine.ends_at = submitted_at + SECOND_GROUP_S
            status, _, _ = await rig.call(
                deployment.get_address('gateway-1'),
                'POST',
                '/batch/steps',
                {'Request-Id': STEP, 'Content-Type': 'application/json'},
                build_step(),
            )
            self.record.write(f'{STEP} submitted: {status}')
            if status != 202:
                raise RuntimeError('the step was not accepted')
            reader = asyncio.create_task(self.read_on())
            await asyncio.sleep(SECOND_GROUP_S - 1.0)
            if rig.TROUBLE:
                self.store.lose_next_chunk = True
                async with asyncio.timeout(5.0):
                    await self.store.lost.wait()
                self.record.write('the answer to a write is lost')
            else:
                await asyncio.sleep(1.0)
            await asyncio.sleep(0.05)
            # A rolling restart begins with the leader.
            leader = deployment.find_leader()
            deployment.signal(leader, signal.SIGTERM)
            restart = asyncio.create_task(deployment.start_again(leader))
            await asyncio.sleep(
                max(0.0, submitted_at + TIME_LIMIT_S - loop.time())
            )
            status, _, _ = await rig.call(
                deployment.get_address('gateway-2'),
                'DELETE',
                f'/api/lots/{STEP}',
                {},
            )
            self.record.write(f'the trainer ends {STEP}: {status}')
            if rig.TROUBLE:
                await self.store.done.wait()
                self.record.write(
                    f'the write is done late: {self.store.late_status}'
                )
            else:
                await asyncio.sleep(LATE_S)
            await asyncio.sleep(3.5)
            # Consumers of the third zone, whose gateway has served none yet.
            await asyncio.gather(
                *(
                    self.read('gateway-3', who=f'consumer {number}')
                    for number in range(4)
                )
            )
            ends_at = loop.time() + CHECKED_FOR_S
            while loop.time() < ends_at:
                await asyncio.sleep(1.2)
                await self.read('gateway-3', self.second)
            reader.cancel()
            await restart
        finally:
            await deployment.stop()
        self.record.write(
            f'{len(self.broken)} reads lacked a position that was read before'
        )
        return not self.broken


async def play(record):
    return await Case(record).play()


rig.run(pathlib.Path(__file__).parent, play)
