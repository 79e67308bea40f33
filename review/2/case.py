"""Submissions to a new route, while the store does not answer the leader."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))

from clementineline.platform.tests import standin  # noqa: E402
from common import deployment  # noqa: E402
from common import gate  # noqa: E402
from common import trainer  # noqa: E402

# 'platform_down' with how 'nodes leader', count 1, lasts 7 s in the site file.
SILENT_S = 5.0
# Age of what the store returns for reads with 'serializable'.
STALE_S = 3.0
ROUNDS = 7
ROUND_S = 13.0
ITEMS = 8
EVENTS = 8
EVENT_S = 0.04
READ_GAP_S = 0.5
# Time from the silence to the new manifest, and from there to the submission,
# which is longer than configApplyMs.
MANIFEST_AFTER_S = 0.2
SUBMIT_AFTER_S = 2.1


class StaleStore(deployment.Store):
    """A store whose reads with 'serializable' are some seconds old."""

    def __init__(self, log):
        super().__init__(log)
        # Pairs of a time and the objects and the revision from then on.
        self._past = []

    def _record_event(self, kind, found, deleted):
        self._past.append(
            (time.monotonic(), dict(self.objects), self.revision)
        )
        # put() adds the object before the event is recorded.
        super()._record_event(kind, found, deleted)

    async def _read(self, incoming, kind, names, query):
        if 'serializable' not in query:
            await super()._read(incoming, kind, names, query)
            return
        now = time.monotonic()
        while len(self._past) > 1 and self._past[1][0] < now - STALE_S:
            del self._past[0]
        current = self.objects, self.revision
        _, self.objects, self.revision = self._past[0]
        try:
            # Answers without waiting, so nothing else runs meanwhile.
            await super()._read(incoming, kind, names, query)
        finally:
            self.objects, self.revision = current


class Drill:
    """The deployment, the operator, and a new trainer in each round."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.version = 3
        self.routes = standin.build_manifest()['routes']
        self.gateways = {
            'front-walvis-a-1': 'walvis-a',
            'front-swakop-b-1': 'swakop-b',
            'front-langstrand-c-1': 'langstrand-c',
        }
        self.keepers = {
            'store-walvis-a-1': 'walvis-a',
            'store-swakop-b-1': 'swakop-b',
            'store-langstrand-c-1': 'langstrand-c',
        }
        self.gates = {}
        self.engines = []

    async def start(self):
        fleet = self.fleet
        await fleet.store.start()
        self.write_manifest()
        for number in range(3):
            engine = standin.ServerStandIn(
                deployment.StandInLog(), f'i-lm{number}', {'m0': 1, 'm1': 1}
            )
            engine.events = EVENTS
            engine.gap_s = EVENT_S
            await engine.start()
            self.engines.append(engine)
            entry = engine.describe('lm', zone=deployment.ZONES[number])
            entry['slots'] = 12
            fleet.store.put('servers', engine.name, entry)
        fleet.store_address_of = lambda name: (
            self.gates[name].address
            if name in self.gates
            else fleet.store.address
        )
        for name, zone in self.keepers.items():
            host = fleet.store.address.rpartition(':')[0]
            self.gates[name] = gate.Gate(fleet.store.address, host)
            await self.gates[name].start()
            fleet.start(name, 'keeper', zone)
        for name, zone in self.gateways.items():
            fleet.start(name, 'gateway', zone)
        for name in self.gateways:
            await fleet.wait_ready(name)
        await asyncio.sleep(5.0)

    def write_manifest(self, prefix=None):
        """Write the next version, with a new rollout route if one is given."""
        if prefix:
            new = {**self.routes[1], 'name': f'r{prefix[1:-1]}'}
            self.routes = [*self.routes, {**new, 'pathPrefix': prefix}]
        self.version += 2
        manifest = standin.build_manifest(self.version, routes=self.routes)
        self.fleet.store.put('config', 'main', manifest)
        self.record.add('the store acknowledges the manifest', self.version)

    def find_leader(self):
        lease = self.fleet.store.get_spec('lease', 'leader') or {}
        return lease.get('holder') or None

    async def train(self, number, names, gathered):
        """Submit to the new route, and read until all items are listed."""
        prefix = f'/t{number}/'
        lot = trainer.Lot(f'{number:02x}{os.getpid():010x}', ITEMS)
        gathered.append(lot)
        await trainer.submit(
            self.fleet, names, lot, self.record, prefix=prefix
        )
        turn = 0
        while len(lot.results) < ITEMS:
            name = names[turn % len(names)]
            turn += 1
            page = await trainer.read(
                self.fleet, name, lot.id, len(lot.results), self.record
            )
            if page is not None:
                lot.results.extend(page['results'])
            await asyncio.sleep(READ_GAP_S)

    async def play_round(self, number, trouble):
        started = time.monotonic()
        leader = self.find_leader()
        names = []
        for name, zone in self.gateways.items():
            if zone != self.keepers[leader]:
                names.append(name)
        if trouble:
            self.gates[leader].set_silent(True)
            self.record.add('the store does not answer', leader)
        await asyncio.sleep(MANIFEST_AFTER_S)
        self.write_manifest(f'/t{number}/')
        await asyncio.sleep(SUBMIT_AFTER_S)
        lots = []
        training = asyncio.create_task(self.train(number, names, lots))
        await asyncio.sleep(max(0.0, started + SILENT_S - time.monotonic()))
        if trouble:
            self.gates[leader].set_silent(False)
            self.record.add('the store answers', leader, 'again')
        await asyncio.sleep(max(0.0, started + ROUND_S - time.monotonic()))
        training.cancel()
        return self.check(lots[0])

    def check(self, lot):
        """Return whether no item was given up; no server ever failed one."""
        abandoned = 0
        for result in lot.results:
            abandoned += result['state'] == 'abandoned'
        text = (
            f'{lot.id}: {len(lot.results)} of {ITEMS} items listed, '
            f'{abandoned} as abandoned'
        )
        self.record.add('MIXED' if abandoned else 'held', text)
        print('MIXED' if abandoned else 'held', text)
        return not abandoned


async def main(record):
    fleet = deployment.Deployment(record, StaleStore)
    try:
        drill = Drill(fleet, record)
        await drill.start()
        trouble = deployment.has_trouble()
        held = True
        for number in range(ROUNDS):
            if not await drill.play_round(number, trouble):
                held = False
                break
        for engine in drill.engines:
            for request_id, _, _ in engine.runs:
                record.add(engine.name, 'ran', request_id)
        return held
    finally:
        await fleet.stop()


if __name__ == '__main__':
    deployment.run(main, pathlib.Path(__file__).parent)
