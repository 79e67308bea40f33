"""Command line of the soak."""

import argparse
import asyncio
import pathlib
import random
import shutil
import signal
import sys
import tempfile

import structlog

from clementineline.platform.tests.soak import checks
from clementineline.platform.tests.soak import faults
from clementineline.platform.tests.soak import fleet as fleets
from clementineline.platform.tests.soak import load
from clementineline.platform.tests.soak import trainers

__all__ = ['main', 'run_seed']

# Seeds that are divisible by it have untrusted clients as well.
UNTRUSTED_EACH = 5


async def run_seed(seed, duration_s, folder, gateways=3, keepers=3):
    """Run the faults of one seed under load.

    :param duration_s: time for which faults are injected, in seconds
    :param folder: new folder for logs, settings and disks
    :returns: ``(recorder, injector, trainer)``
    """
    structlog.configure(
        logger_factory=structlog.PrintLoggerFactory(
            (pathlib.Path(folder) / 'standins.log').open('a')
        )
    )
    fleet = fleets.Fleet(folder, gateways, keepers, structlog.get_logger())
    recorder = checks.Recorder()
    injector = faults.FaultInjector(fleet, recorder, random.Random(seed))
    sender = load.Sender(fleet, random.Random(seed + 1))
    trainer = trainers.Trainer(
        sender, recorder, fleet, random.Random(seed + 2)
    )
    stopping = asyncio.Event()
    try:
        await fleet.start()
        callers = load.Callers(sender, recorder)
        kept = load.KeptCallers(recorder, fleet)
        watcher = load.RouteWatcher(sender, recorder, fleet)
        async with asyncio.TaskGroup() as group:
            group.create_task(callers.run(stopping))
            group.create_task(kept.run(stopping))
            group.create_task(watcher.run(stopping))
            group.create_task(trainer.run(stopping))
            group.create_task(
                injector.let_servers_leave(stopping, random.Random(seed + 3))
            )
            group.create_task(
                injector.answer_wrongly(stopping, random.Random(seed + 5))
            )
            if seed % UNTRUSTED_EACH == 0:
                group.create_task(
                    injector.crowd_gateways(stopping, random.Random(seed + 4))
                )
            await injector.run(duration_s)
            await fleet.wait_until_ready()
            stopping.set()
        for name in fleet.list_ended():
            recorder.report('processes run on', f'{name} ended by itself')
        # What keepers have only in memory may differ from the ledger.
        fleet.restart_keepers()
        await trainer.read_all_again()
    finally:
        await fleet.stop()
    recorder.check_runs(fleet.servers.values())
    recorder.check_organisations(fleet.servers.values())
    recorder.check_limits()
    recorder.check_departures(fleet.was_disturbed)
    recorder.check_orders(fleet.servers.values())
    recorder.check_duties(fleet.duty_api)
    return recorder, injector, trainer


def _print_run(seed, recorder, injector, trainer):
    print(
        f'seed {seed}: {len(injector.injected)} faults, '
        f'{sum(recorder.statuses.values())} responses, '
        f'{trainer.completed} of {trainer.accepted} accepted submissions '
        f'complete, {len(recorder.violations)} broken promises'
    )
    for violation in recorder.violations:
        print(f'  {violation}')


def main(arguments=None):
    """Run one or more seeds; return the exit code."""
    parser = argparse.ArgumentParser(description='Soak gateways and keepers.')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--minutes', type=float, default=0.5)
    parser.add_argument('--gateways', type=int, default=3)
    parser.add_argument('--keepers', type=int, default=3)
    parser.add_argument('--faults', action='store_true', help='list faults')
    options = parser.parse_args(arguments)
    # Without this, the gateways and keepers would outlive the soak.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    broken = []
    for seed in range(options.seed, options.seed + options.seeds):
        folder = tempfile.mkdtemp(prefix=f'soak-{seed}-')
        outcome = asyncio.run(
            run_seed(
                seed,
                60 * options.minutes,
                folder,
                options.gateways,
                options.keepers,
            )
        )
        _print_run(seed, *outcome)
        if options.faults:
            for fault in outcome[1].injected:
                print('  ', *fault)
        if outcome[0].violations:
            broken.append(seed)
            print(f'  logs in {folder}')
        else:
            shutil.rmtree(folder)
    print(f'{options.seeds} seeds, {len(broken)} with broken promises')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
