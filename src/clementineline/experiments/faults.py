"""A fault run: real processes, faults drawn from a seed, promises checked.

``python -m clementineline.experiments.faults --seed 7`` runs one seed;
``--seeds 20`` runs seeds 1 to 20, one after the other. The check of every
promise rests on what the stand-ins logged, not on what the system says.
"""

import argparse
import asyncio
import json
import pathlib
import random
import shutil
import signal
import statistics
import sys
import tempfile
import time

from clementineline import client
from clementineline import errors
from clementineline.experiments import checks
from clementineline.experiments import deployments
from clementineline.experiments import load

__all__ = ['main', 'run_seed']

STEPS = 6
PROMPTS = 6
GROUP_SIZE = 4
FAULTS = 7
FAULT_SPACING_S = 2.0
FINISH_LIMIT_S = 60.0
PAUSE_S = 6.0
OUTAGE_S = 6.0
NO_NEW_WORK_AFTER_S = 3.0
IN_FORCE_LIMIT_S = 5.0
INTENT = {
    'trainers': {
        'kiln-trainer': {'model': 'kiln-lm', 'staleness_bound_versions': 1},
        'quote-trainer': {'model': 'quote-lm', 'staleness_bound_versions': 1},
    },
    'models': {'kiln-lm': {}, 'quote-lm': {}},
    'services': {'order-desk': {}, 'counter-app': {}},
}


def build_fleet():
    """Return the endpoints of a fault run."""
    slow = ('--step-s', '0.02', '--tokens-per-step', '8')
    checking = (*slow, '--checks-fencing')
    plan = deployments.EndpointSpec
    return [
        plan('kiln-1', 'engine', 'kiln-lm', 'walvis-a', slow),
        plan('kiln-2', 'engine', 'kiln-lm', 'swakop-b', checking),
        plan('desk-1', 'service', 'order-desk', 'langstrand-c'),
        plan('desk-2', 'service', 'order-desk', 'walvis-a'),
        plan('quote-1', 'engine', 'quote-lm', 'taichung', slow),
        plan('quote-2', 'engine', 'quote-lm', 'changhua', checking),
        plan('counter-1', 'service', 'counter-app', 'chiayi'),
        plan('counter-2', 'service', 'counter-app', 'tainan'),
    ]


class FaultRun:
    """One run with the faults of one seed.

    :param seed: seed of all draws
    :param folder: folder for settings, logs and facts
    """

    def __init__(self, seed, folder):
        self.draw = random.Random(seed)
        self.deployment = deployments.Deployment(
            folder, build_fleet(), entries=3
        )
        self.ledger = checks.Ledger(staleness_bound=1)
        self.notes = []
        self.left_at = {}
        self.recoveries = []

    def _note(self, text):
        self.notes.append(text)

    async def run(self):
        """Run everything and check the promises."""
        deployment = self.deployment
        try:
            await deployment.start()
            await deployment.wait_until_ready()
            await deployment.put_in_force(INTENT)
            await self._run_load()
            await self._check_in_force()
        finally:
            await deployment.stop()
        checks.check_engine_facts(deployment, self.ledger)
        checks.check_order_facts(deployment, self.ledger)
        checks.check_document_facts(deployment, self.ledger)
        checks.check_leaving_facts(
            deployment, self.ledger, self.left_at, NO_NEW_WORK_AFTER_S
        )

    async def _run_load(self):
        stopping = asyncio.Event()
        urls = self.deployment.get_entry_urls()
        callers = []
        for model in ('kiln-lm', 'quote-lm'):
            callers.append(
                load.send_generations(urls, self.ledger, model, 0.1, stopping)
            )
        for service in ('order-desk', 'counter-app'):
            callers.append(
                load.send_orders(urls, self.ledger, service, 0.05, stopping)
            )
        calling = [asyncio.create_task(caller) for caller in callers]
        training = [
            asyncio.create_task(self._train(name, service))
            for name, service in (
                ('kiln-trainer', 'order-desk'),
                ('quote-trainer', 'counter-app'),
            )
        ]
        await self._disturb()
        try:
            async with asyncio.timeout(FINISH_LIMIT_S):
                await asyncio.gather(*training)
        except TimeoutError:
            self.ledger.break_promise(
                f'trainers not served within {FINISH_LIMIT_S} s of the '
                'last fault'
            )
        stopping.set()
        await asyncio.gather(*calling)

    async def _train(self, name, service):
        urls = self.deployment.get_entry_urls()
        async with client.TrainerClient(name, urls) as trainer:
            for number in range(STEPS):
                step = f'step-{number}'
                prompts = [
                    f'{name} {step} prompt {index} tail=120'
                    for index in range(PROMPTS)
                ]
                await trainer.submit(
                    step, prompts, GROUP_SIZE, scoring={'service': service}
                )
                async for group in trainer.groups():
                    self.ledger.note_group(
                        name, step, prompts, trainer.version, group
                    )
                await trainer.announce(trainer.version + 1)

    async def _disturb(self):
        kinds = [
            self._kill_entry,
            self._kill_sidecar,
            self._kill_engine,
            self._pause_leader,
            self._stop_in_order,
            self._take_platform_down,
            self._slow_platform,
            self._lose_writes,
            self._break_swap,
            self._cut_stream,
            self._slow_engine,
            self._freeze_vms,
            self._race_operators,
        ]
        running = []
        for _ in range(FAULTS):
            await asyncio.sleep(self.draw.uniform(0.3, FAULT_SPACING_S))
            kind = self.draw.choice(kinds)
            running.append(asyncio.create_task(kind()))
        await asyncio.gather(*running)

    def _choose_endpoint(self, kind=''):
        names = []
        for name, plan in self.deployment.endpoint_specs.items():
            if not kind or plan.kind == kind:
                names.append(name)
        return self.draw.choice(names)

    async def _kill_entry(self):
        name = self.draw.choice(self.deployment.entry_names)
        self._note(f'kill {name}')
        self.deployment.group.kill(name)
        await asyncio.sleep(self.draw.uniform(0.5, 3.0))
        self.deployment.group.restart(name)

    async def _kill_sidecar(self):
        name = self._choose_endpoint()
        self._note(f'kill sidecar {name}')
        self.deployment.group.kill(name)
        await asyncio.sleep(self.draw.uniform(0.5, 3.0))
        if not self.deployment.group.is_running(name):
            self.deployment.group.restart(name)

    async def _kill_engine(self):
        name = self._choose_endpoint('engine')
        self._note(f'kill engine of {name}')
        self.deployment.group.kill(f'{name}-endpoint')
        await asyncio.sleep(self.draw.uniform(0.5, 3.0))
        self.deployment.group.restart(f'{name}-endpoint')

    async def _pause_leader(self):
        status = None
        for name in self.deployment.entry_names:
            status = await self.deployment.read_status(name)
            if status is not None:
                break
        leader = status['leader'] if status else ''
        if not leader or not self.deployment.group.is_running(leader):
            self._note('no leader to pause')
            return
        self._note(f'pause leader {leader}')
        self.deployment.group.send_signal(leader, signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        self.deployment.group.send_signal(leader, signal.SIGCONT)

    async def _stop_in_order(self):
        name = self._choose_endpoint()
        group = self.deployment.group
        if name in self.left_at or not group.is_running(name):
            self._note(f'{name} does not run, no planned stop')
            return
        self._note(f'planned stop of {name}')
        started = time.time()
        pid = group.get_pid(name)
        code = await group.terminate(name, timeout_s=70.0)
        if code not in (0, -signal.SIGKILL):
            self.ledger.break_promise(
                f'planned stop of {name} ended with {code}'
            )
        self.left_at[name] = (started, time.time())
        await asyncio.sleep(self.draw.uniform(0.5, 2.0))
        if group.get_pid(name) == pid:
            group.restart(name)

    async def _take_platform_down(self):
        self._note('platform down')
        await self.deployment.set_faults('platform', down=True)
        await asyncio.sleep(OUTAGE_S)
        await self.deployment.set_faults('platform', down=False)

    async def _slow_platform(self):
        self._note('platform slow')
        await self.deployment.set_faults('platform', slow_s=0.7)
        await asyncio.sleep(OUTAGE_S)
        await self.deployment.set_faults('platform', slow_s=0.0)

    async def _lose_writes(self):
        self._note('answers of three writes lost')
        await self.deployment.set_faults('platform', lose_writes=3)

    async def _set_engine_fault(self, note, **faults):
        name = self._choose_endpoint('engine')
        self._note(f'{note} at {name}')
        if self.deployment.group.is_running(f'{name}-endpoint'):
            try:
                await self.deployment.set_faults(f'{name}-endpoint', **faults)
            except OSError:
                self._note(f'{name} was dead already')
        return name

    async def _break_swap(self):
        kind = self.draw.choice(['fail', 'lie'])
        await self._set_engine_fault(f'the next swap will {kind}', swap=kind)

    async def _cut_stream(self):
        await self._set_engine_fault('a stream is cut', cut_after=20)

    async def _slow_engine(self):
        name = await self._set_engine_fault('slow engine', slow=10.0)
        await asyncio.sleep(5.0)
        if self.deployment.group.is_running(f'{name}-endpoint'):
            try:
                await self.deployment.set_faults(f'{name}-endpoint', slow=1.0)
            except OSError:
                self._note(f'{name} died meanwhile')

    async def _freeze_vms(self):
        self._note('list of VMs lags')
        await self.deployment.set_faults('platform', frozen_vms=True)
        await asyncio.sleep(OUTAGE_S)
        await self.deployment.set_faults('platform', frozen_vms=False)

    async def _race_operators(self):
        self._note('operators race')
        weights = self.draw.sample(range(2, 100), 2)
        outcomes = await asyncio.gather(
            *[self._change_weight(weight) for weight in weights],
            return_exceptions=True,
        )
        self._note(f'  outcomes: {[str(item)[:60] for item in outcomes]}')

    async def _change_weight(self, weight):
        trainer = dict(INTENT['trainers']['kiln-trainer'], weight=weight)
        entry = self.draw.choice(self.deployment.entry_names)
        intent = {'trainers': {'kiln-trainer': trainer}}
        _, confirmed = await self.deployment.put_in_force(intent, entry)
        return confirmed['in_force_version']

    async def _check_in_force(self):
        """Confirm one more intent and time it until it is in force."""
        deployment = self.deployment
        await deployment.wait_until_ready()
        trainer = dict(INTENT['trainers']['kiln-trainer'], weight=7)
        intent = {'trainers': {'kiln-trainer': trainer}}
        _, confirmed = await deployment.put_in_force(intent)
        started = time.monotonic()
        version = confirmed['in_force_version']

        def is_in_force(status):
            return status['configuration']['lowest_in_force'] >= version

        for name in deployment.entry_names:
            await deployment.wait_for_status(is_in_force, name)
        took = time.monotonic() - started
        self.recoveries.append(took)
        if took > IN_FORCE_LIMIT_S:
            self.ledger.break_promise(
                f'configuration {version} took {took:.1f} s to be in force'
            )

    def format_report(self):
        """Return the run's report as text."""
        return '\n'.join(
            ['faults:', *[f'  {note}' for note in self.notes]]
            + [self.ledger.format_report()]
        )


def run_seed(seed, keep=False):
    """Run one seed.

    :returns: the :class:`FaultRun`
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'clementineline-{seed}-'))
    run = FaultRun(seed, folder)
    try:
        asyncio.run(run.run())
    except (
        RuntimeError,
        TimeoutError,
        OSError,
        errors.ClementinelineError,
    ) as error:
        run.ledger.break_promise(f'the run failed: {error!r}')
    print(f'seed {seed}')
    print(run.format_report())
    if run.ledger.broken or keep:
        print(f'logs are kept in {folder}')
    else:
        shutil.rmtree(folder)
    sys.stdout.flush()
    return run


def _summarize(runs):
    broken = sum(len(run.ledger.broken) for run in runs)
    refused = 0
    total = 0
    for run in runs:
        for outcome, count in run.ledger.live.items():
            total += count
            refused += count if outcome != 'answered' else 0
    in_force = [item for run in runs for item in run.recoveries]
    summary = {
        'seeds': len(runs),
        'broken_promises': broken,
        'samples': sum(run.ledger.delivered for run in runs),
        'live_requests': total,
        'live_unanswered_share': round(refused / max(total, 1), 4),
    }
    if in_force:
        summary['in_force_median_s'] = round(statistics.median(in_force), 2)
        summary['in_force_max_s'] = round(max(in_force), 2)
    print(json.dumps(summary))
    return broken


def main():
    """Run seeds and exit with 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=0)
    parser.add_argument('--keep', action='store_true')
    options = parser.parse_args()
    seeds = [options.seed]
    if options.seeds:
        seeds = range(1, options.seeds + 1)
    runs = [run_seed(seed, options.keep) for seed in seeds]
    sys.exit(1 if _summarize(runs) else 0)


if __name__ == '__main__':
    main()
