"""A keeper that leads again after another one led and stopped unseen."""

import asyncio
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))

from clementineline.platform.tests import standin  # noqa: E402
from common import deployment  # noqa: E402
from common import trainer  # noqa: E402

# 'node_freeze' stands still for 5 s unless the day says otherwise.
FREEZE_MAX_S = 5.0
ROUNDS = 6
ROUND_S = 10.5
ITEMS = 16
EVENTS = 12
EVENT_S = 0.05
READ_GAP_S = 0.25
# Time from the submission to the freeze.
FREEZE_AFTER_S = 0.45
# How often a lot is read again from the start at each gateway, and the pause.
CHECKS = 4
CHECK_GAP_S = 0.7


class Drill:
    """The deployment, the trainer and the rounds of the case."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.gateways = ['front-walvis-a-1', 'front-swakop-b-1']
        self.keepers = {
            'store-walvis-a-1': 'walvis-a',
            'store-swakop-b-1': 'swakop-b',
            'store-langstrand-c-1': 'langstrand-c',
        }
        self.lots = []

    async def start(self):
        fleet = self.fleet
        await fleet.store.start()
        fleet.store.put('config', 'main', standin.build_manifest(3))
        self.engines = []
        for number in range(3):
            engine = standin.ServerStandIn(
                deployment.StandInLog(), f'i-lm{number}', {'m0': 1, 'm1': 1}
            )
            engine.events = EVENTS
            engine.gap_s = EVENT_S
            await engine.start()
            self.engines.append(engine)
            entry = engine.describe('lm', zone=list(deployment.ZONES)[number])
            entry['slots'] = 12
            fleet.store.put('servers', engine.name, entry)
        for name, zone in self.keepers.items():
            fleet.start(name, 'keeper', zone)
        for name in self.gateways:
            fleet.start(name, 'gateway', name[6:-2])
        for name in self.gateways:
            await fleet.wait_ready(name)
        await asyncio.sleep(4.0)

    def find_holder(self):
        lease = self.fleet.store.get_spec('lease', 'leader') or {}
        return lease.get('holder') or None

    async def train(self, lot):
        """Submit, read until all is read, and end."""
        names = self.gateways
        if not await trainer.submit(self.fleet, names, lot, self.record):
            return
        turn = 0
        while len(lot.results) < len(lot.item_ids):
            await asyncio.sleep(READ_GAP_S)
            name = names[turn % len(names)]
            turn += 1
            page = await trainer.read(
                self.fleet, name, lot.id, len(lot.results), self.record, 2.0
            )
            if page is not None:
                lot.results.extend(page['results'])
        await trainer.end(self.fleet, names, lot, self.record)

    async def disturb(self, lot):
        """Freeze the leader; stop its successor as planned once the lot has
        ended; let the first one go on.
        """
        first = self.find_holder()
        if first is None:
            return
        self.fleet.signal(first, signal.SIGSTOP)
        frozen_at = time.monotonic()
        second = None
        try:
            while time.monotonic() - frozen_at < FREEZE_MAX_S - 0.3:
                holder = self.find_holder()
                if holder not in (None, first):
                    second = holder
                if second and lot.ended:
                    break
                await asyncio.sleep(0.005)
            else:
                return
            self.fleet.signal(second, signal.SIGTERM)
            while time.monotonic() - frozen_at < FREEZE_MAX_S:
                if self.find_holder() != second:
                    break
                await asyncio.sleep(0.002)
        finally:
            self.fleet.signal(first, signal.SIGCONT)
            self.record.add(
                first, f'stood still for {time.monotonic() - frozen_at:.2f} s'
            )
        await self.fleet.wait_ended(second, 8.0)
        await asyncio.sleep(0.5)
        self.fleet.start(second, 'keeper', self.keepers[second])

    async def play_round(self, number, trouble):
        started = time.monotonic()
        lot = trainer.Lot(f'{number:02x}{os.getpid():010x}', ITEMS)
        self.lots.append(lot)
        training = asyncio.create_task(self.train(lot))
        await asyncio.sleep(FREEZE_AFTER_S)
        if trouble:
            await self.disturb(lot)
        await asyncio.wait([training], timeout=ROUND_S)
        # All machines are up, and have been for longer than
        # stableWindowMs and catchUpS, when the lot is read again.
        await asyncio.sleep(max(1.0, started + ROUND_S - time.monotonic()))
        return await self.check(lot)

    async def check(self, lot):
        """Read a lot again from the start; return whether all came again.

        It is read again after each failure, as consumers do at the end of a
        day, and counts as lost if the last time fails as well.
        """
        self.record.add('lease held by', self.find_holder())
        held = True
        for name in self.gateways:
            for _ in range(CHECKS):
                results = await trainer.read_all(
                    self.fleet, name, lot.id, self.record
                )
                complete = (
                    results is not None
                    and results[: len(lot.results)] == lot.results
                )
                await asyncio.sleep(CHECK_GAP_S)
            if complete:
                continue
            held = False
            count = None if results is None else len(results)
            text = (
                f'LOST {lot.id}: {len(lot.results)} results were read before, '
                f'{count} come again at {name}'
            )
            self.record.add(text)
            print(text)
        return held


async def main(record):
    fleet = deployment.Deployment(record)
    try:
        drill = Drill(fleet, record)
        await drill.start()
        trouble = deployment.has_trouble()
        held = True
        for number in range(ROUNDS if trouble else 2):
            if not await drill.play_round(number, trouble):
                held = False
                break
        return held
    finally:
        await fleet.stop()


if __name__ == '__main__':
    deployment.run(main, pathlib.Path(__file__).parent)
