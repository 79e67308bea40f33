"""Keepers that restart while an entry has a very large number."""

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

# Longer than catchUpS and the time of a restart, so that one machine is lost
# at a time.
RESTART_GAP_S = 7.0
STABLE_S = deployment.BOUNDS['stableWindowMs'] / 1000
ITEMS = 16
EVENTS = 30
EVENT_S = 0.1
# From the submission of the step to the restart of the leader.
LEADER_AFTER_S = 1.5
# The trainer's time limit, as on the sheet.
STEP_S = 12.0
# An item may be at no server for less than this.
IDLE_MAX_S = 5.0
READ_GAP_S = 0.5


class Engine(standin.ServerStandIn):
    """The project's stand-in of an engine; records when it runs items.

    :ivar spans: id, start and end of each run; the end is None as yet
    """

    def __init__(self, name, record):
        super().__init__(deployment.StandInLog(), name, {'m0': 1, 'm1': 1})
        self.record = record
        self.spans = []
        self.events = EVENTS
        self.gap_s = EVENT_S

    async def _run(self, incoming, request_id, headers, echo):
        span = [request_id, time.monotonic(), None]
        self.spans.append(span)
        self.record.add(self.name, 'runs', request_id)
        try:
            await super()._run(incoming, request_id, headers, echo)
        finally:
            span[2] = time.monotonic()
            self.record.add(self.name, 'ends', request_id)

    def describe(self, service, zone='walvis-a', state='ready'):
        return {**super().describe(service, zone, state), 'slots': 12}


async def restart(fleet, name, zone):
    """Stop a keeper as planned and start it again."""
    fleet.signal(name, signal.SIGTERM)
    await fleet.wait_ended(name, 8.0)
    await asyncio.sleep(0.5)
    fleet.start(name, 'keeper', zone)


async def read_step(fleet, names, lot, until, record):
    """Read the results of a step until its time limit."""
    turn = 0
    while time.monotonic() < until and len(lot.results) < ITEMS:
        page = await trainer.read(
            fleet, names[turn % 2], lot.id, len(lot.results), record
        )
        turn += 1
        if page is not None:
            lot.results.extend(page['results'])
        await asyncio.sleep(READ_GAP_S)


def judge(engines, lot, steady_from, until, record):
    """Return whether no unfinished item was at no server for too long."""
    listed = {result['id'] for result in lot.results}
    idle = {}
    begun = set()
    for item_id in lot.item_ids:
        left_at = steady_from
        for engine in engines:
            for request_id, started, ended in engine.spans:
                if request_id != item_id:
                    continue
                begun.add(item_id)
                left_at = max(left_at, until if ended is None else ended)
                if started > until:
                    left_at = until
        if item_id not in listed:
            idle[item_id] = until - left_at
    lost = [item_id for item_id, idle_s in idle.items() if idle_s > IDLE_MAX_S]
    for item_id in lost:
        record.add('LOST', item_id, f'at no server for {idle[item_id]:.1f} s')
    counts = (
        f'of {ITEMS} items {len(begun)} had begun and {len(listed)} were '
        f'listed; at no server for over {IDLE_MAX_S} s of steady state when '
        f'the step ran out of time: {len(lost)}'
    )
    if lost:
        counts += f', the longest for {max(idle.values()):.1f} s'
    record.add(counts)
    print(counts)
    return not lost or not begun


async def main(record):
    fleet = deployment.Deployment(record)
    try:
        await fleet.store.start()
        fleet.store.put('config', 'main', standin.build_manifest(3))
        engines = [Engine(f'i-lm{number}', record) for number in (1, 2, 3)]
        for engine, zone in zip(engines, deployment.ZONES, strict=True):
            await engine.start()
            fleet.store.put(
                'servers', engine.name, engine.describe('lm', zone)
            )
        keepers = {f'store-{zone}-1': zone for zone in deployment.ZONES}
        for name, zone in keepers.items():
            fleet.start(name, 'keeper', zone)
        gateways = ['front-walvis-a-1', 'front-swakop-b-1']
        for name in gateways:
            fleet.start(name, 'gateway', name[6:-2])
        for name in gateways:
            await fleet.wait_ready(name)
        await asyncio.sleep(5.0)
        if deployment.has_trouble():
            # An integer of more than 64 bits where a small one belongs.
            fleet.store.put(
                'servers',
                'i-other',
                {'service': 'lm', 'state': 'ready', 'slots': 2**70},
            )
            record.add('another writer adds the entry i-other')
        await asyncio.sleep(2.0)
        # The keepers are restarted in turn, the leader last.
        leader = fleet.store.get_spec('lease', 'leader')['holder']
        for name, zone in keepers.items():
            if name == leader:
                continue
            await restart(fleet, name, zone)
            await asyncio.sleep(RESTART_GAP_S)
        lot = trainer.Lot(f'{os.getpid():012x}', ITEMS)
        await trainer.submit(fleet, gateways, lot, record)
        until = time.monotonic() + STEP_S
        reading = asyncio.create_task(
            read_step(fleet, gateways, lot, until, record)
        )
        await asyncio.sleep(LEADER_AFTER_S)
        await restart(fleet, leader, keepers[leader])
        steady_from = time.monotonic() + STABLE_S
        await reading
        until = min(until, time.monotonic())
        record.add('the step ends')
        return judge(engines, lot, steady_from, until, record)
    finally:
        await fleet.stop()


if __name__ == '__main__':
    deployment.run(main, pathlib.Path(__file__).parent)
