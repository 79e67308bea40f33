"""Fault injection runs: random faults under load, with checked guarantees.

``python -m clementineline.experiments.faults --seed 7`` runs one seed;
``--seeds 20`` runs seeds 1 to 20, one after the other. The seed feeds the
random choice of kinds, times and targets of the faults. The guarantees are
checked against the facts that the stand-ins logged, not against reports of
the service itself.
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

STEPS_PER_TRAINER = 6
PROMPTS_PER_STEP = 6
GROUP_SIZE = 4
FAULTS_PER_RUN = 7
FAULT_INTERVAL_MAX_S = 2.0
TRAINERS_TIMEOUT_S = 60.0
LEADER_PAUSE_S = 6.0
PLATFORM_FAULT_S = 6.0
DRAIN_START_LIMIT_S = 3.0
IN_FORCE_LIMIT_S = 5.0
INTENT = {
    'trainers': {
        'kiln-trainer': {'model': 'kiln-lm', 'staleness_bound_versions': 1},
        'quote-trainer': {'model': 'quote-lm', 'staleness_bound_versions': 1},
    },
    'models': {'kiln-lm': {}, 'quote-lm': {}},
    'services': {'order-desk': {}, 'counter-app': {}},
}


def build_endpoints():
    """Return the endpoint specs of a fault run."""
    slow = ('--step-s', '0.02', '--tokens-per-step', '8')
    checking = (*slow, '--checks-fencing')
    spec = deployments.EndpointSpec
    return [
        spec('kiln-1', 'engine', 'kiln-lm', 'walvis-a', slow),
        spec('kiln-2', 'engine', 'kiln-lm', 'swakop-b', checking),
        spec('desk-1', 'service', 'order-desk', 'langstrand-c'),
        spec('desk-2', 'service', 'order-desk', 'walvis-a'),
        spec('quote-1', 'engine', 'quote-lm', 'taichung', slow),
        spec('quote-2', 'engine', 'quote-lm', 'changhua', checking),
        spec('counter-1', 'service', 'counter-app', 'chiayi'),
        spec('counter-2', 'service', 'counter-app', 'tainan'),
    ]


class FaultRun:
    """A run of the service under load with the faults of one seed.

    :param seed: seed of all random choices
    :param folder: folder for settings files, logs and fact files
    """

    def __init__(self, seed, folder):
        self.rng = random.Random(seed)
        self.deployment = deployments.Deployment(
            folder, build_endpoints(), entries=3
        )
        self.recorder = checks.OutcomeRecorder(staleness_bound=1)
        self.fault_log = []
        self.drain_periods = {}
        self.in_force_delays_s = []

    def _log_fault(self, text):
        self.fault_log.append(text)

    async def run(self):
        """Run the load and the faults, then check the guarantees."""
        deployment = self.deployment
        try:
            await deployment.start()
            await deployment.wait_until_ready()
            await deployment.apply_intent(INTENT)
            await self._run_load()
            await self._check_in_force_delay()
        finally:
            await deployment.stop()
        checks.check_engine_facts(deployment, self.recorder)
        checks.check_order_facts(deployment, self.recorder)
        checks.check_configuration_facts(deployment, self.recorder)
        checks.check_draining_facts(
            deployment, self.recorder, self.drain_periods, DRAIN_START_LIMIT_S
        )

    async def _run_load(self):
        stopping = asyncio.Event()
        urls = self.deployment.get_entry_urls()
        callers = []
        for model in ('kiln-lm', 'quote-lm'):
            callers.append(
                load.send_generations(
                    urls, self.recorder, model, 0.1, stopping
                )
            )
        for service in ('order-desk', 'counter-app'):
            callers.append(
                load.send_orders(urls, self.recorder, service, 0.05, stopping)
            )
        call_tasks = [asyncio.create_task(caller) for caller in callers]
        training_tasks = [
            asyncio.create_task(self._run_trainer(name, service))
            for name, service in (
                ('kiln-trainer', 'order-desk'),
                ('quote-trainer', 'counter-app'),
            )
        ]
        await self._inject_faults()
        try:
            async with asyncio.timeout(TRAINERS_TIMEOUT_S):
                await asyncio.gather(*training_tasks)
        except TimeoutError:
            self.recorder.record_violation(
                f'trainers not served within {TRAINERS_TIMEOUT_S} s of the '
                'last fault'
            )
        stopping.set()
        await asyncio.gather(*call_tasks)

    async def _run_trainer(self, name, service):
        urls = self.deployment.get_entry_urls()
        async with client.TrainerClient(name, urls) as trainer:
            for number in range(STEPS_PER_TRAINER):
                step = f'step-{number}'
                prompts = [
                    f'{name} {step} prompt {index} tail=120'
                    for index in range(PROMPTS_PER_STEP)
                ]
                await trainer.submit(
                    step, prompts, GROUP_SIZE, scoring={'service': service}
                )
                async for group in trainer.groups():
                    self.recorder.record_group(
                        name, step, prompts, trainer.version, group
                    )
                await trainer.announce(trainer.version + 1)

    async def _inject_faults(self):
        kinds = [
            self._kill_entry,
            self._kill_sidecar,
            self._kill_engine,
            self._pause_leader,
            self._stop_gracefully,
            self._take_platform_down,
            self._slow_platform,
            self._lose_write_responses,
            self._fail_next_swap,
            self._cut_stream,
            self._slow_engine,
            self._freeze_vm_list,
            self._confirm_concurrent_intents,
        ]
        running = []
        for _ in range(FAULTS_PER_RUN):
            await asyncio.sleep(self.rng.uniform(0.3, FAULT_INTERVAL_MAX_S))
            kind = self.rng.choice(kinds)
            running.append(asyncio.create_task(kind()))
        await asyncio.gather(*running)

    def _choose_endpoint(self, kind=''):
        names = []
        for name, spec in self.deployment.endpoint_specs.items():
            if not kind or spec.kind == kind:
                names.append(name)
        return self.rng.choice(names)

    async def _kill_entry(self):
        name = self.rng.choice(self.deployment.entry_names)
        self._log_fault(f'kill {name}')
        self.deployment.group.kill(name)
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.deployment.group.restart(name)

    async def _kill_sidecar(self):
        name = self._choose_endpoint()
        self._log_fault(f'kill sidecar {name}')
        self.deployment.group.kill(name)
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        if not self.deployment.group.is_running(name):
            self.deployment.group.restart(name)

    async def _kill_engine(self):
        name = self._choose_endpoint('engine')
        self._log_fault(f'kill engine of {name}')
        self.deployment.group.kill(f'{name}-endpoint')
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.deployment.group.restart(f'{name}-endpoint')

    async def _pause_leader(self):
        status = None
        for name in self.deployment.entry_names:
            status = await self.deployment.read_status(name)
            if status is not None:
                break
        leader = status['leader'] if status else ''
        if not leader or not self.deployment.group.is_running(leader):
            self._log_fault('no leader to pause')
            return
        self._log_fault(f'pause leader {leader}')
        self.deployment.group.send_signal(leader, signal.SIGSTOP)
        await asyncio.sleep(LEADER_PAUSE_S)
        self.deployment.group.send_signal(leader, signal.SIGCONT)

    async def _stop_gracefully(self):
        name = self._choose_endpoint()
        group = self.deployment.group
        if name in self.drain_periods or not group.is_running(name):
            self._log_fault(f'{name} does not run, no planned stop')
            return
        self._log_fault(f'planned stop of {name}')
        started = time.time()
        pid = group.get_pid(name)
        code = await group.terminate(name, timeout_s=70.0)
        if code not in (0, -signal.SIGKILL):
            self.recorder.record_violation(
                f'planned stop of {name} ended with {code}'
            )
        self.drain_periods[name] = (started, time.time())
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        if group.get_pid(name) == pid:
            group.restart(name)

    async def _take_platform_down(self):
        self._log_fault('platform down')
        await self.deployment.set_faults('platform', down=True)
        await asyncio.sleep(PLATFORM_FAULT_S)
        await self.deployment.set_faults('platform', down=False)

    async def _slow_platform(self):
        self._log_fault('platform slow')
        await self.deployment.set_faults('platform', slow_s=0.7)
        await asyncio.sleep(PLATFORM_FAULT_S)
        await self.deployment.set_faults('platform', slow_s=0.0)

    async def _lose_write_responses(self):
        self._log_fault('answers of three writes lost')
        await self.deployment.set_faults('platform', lose_writes=3)

    async def _set_engine_fault(self, description, **faults):
        name = self._choose_endpoint('engine')
        self._log_fault(f'{description} at {name}')
        if self.deployment.group.is_running(f'{name}-endpoint'):
            try:
                await self.deployment.set_faults(f'{name}-endpoint', **faults)
            except OSError:
                self._log_fault(f'{name} was dead already')
        return name

    async def _fail_next_swap(self):
        kind = self.rng.choice(['fail', 'lie'])
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
                self._log_fault(f'{name} died meanwhile')

    async def _freeze_vm_list(self):
        self._log_fault('list of VMs lags')
        await self.deployment.set_faults('platform', frozen_vms=True)
        await asyncio.sleep(PLATFORM_FAULT_S)
        await self.deployment.set_faults('platform', frozen_vms=False)

    async def _confirm_concurrent_intents(self):
        self._log_fault('operators race')
        weights = self.rng.sample(range(2, 100), 2)
        outcomes = await asyncio.gather(
            *[self._change_trainer_weight(weight) for weight in weights],
            return_exceptions=True,
        )
        self._log_fault(f'  outcomes: {[str(item)[:60] for item in outcomes]}')

    async def _change_trainer_weight(self, weight):
        trainer = dict(INTENT['trainers']['kiln-trainer'], weight=weight)
        entry = self.rng.choice(self.deployment.entry_names)
        intent = {'trainers': {'kiln-trainer': trainer}}
        _, confirmed = await self.deployment.apply_intent(intent, entry)
        return confirmed['in_force_version']

    async def _check_in_force_delay(self):
        """Confirm another intent and measure the time until it is in force.

        Once the faults are over, every entry must see the new configuration
        in force at all connected processes within ``IN_FORCE_LIMIT_S``.
        """
        deployment = self.deployment
        await deployment.wait_until_ready()
        trainer = dict(INTENT['trainers']['kiln-trainer'], weight=7)
        intent = {'trainers': {'kiln-trainer': trainer}}
        _, confirmed = await deployment.apply_intent(intent)
        started = time.monotonic()
        version = confirmed['in_force_version']

        def is_in_force(status):
            return status['configuration']['lowest_in_force'] >= version

        for name in deployment.entry_names:
            await deployment.wait_for_status(is_in_force, name)
        took = time.monotonic() - started
        self.in_force_delays_s.append(took)
        if took > IN_FORCE_LIMIT_S:
            self.recorder.record_violation(
                f'configuration {version} took {took:.1f} s to be in force'
            )

    def format_report(self):
        """Return the report of the run as text."""
        return '\n'.join(
            ['faults:', *[f'  {line}' for line in self.fault_log]]
            + [self.recorder.format_report()]
        )


def run_seed(seed, keep=False):
    """Run one seed and print its report.

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
        run.recorder.record_violation(f'the run failed: {error!r}')
    print(f'seed {seed}')
    print(run.format_report())
    if run.recorder.violations or keep:
        print(f'logs are kept in {folder}')
    else:
        shutil.rmtree(folder)
    sys.stdout.flush()
    return run


def _summarize(runs):
    violations = sum(len(run.recorder.violations) for run in runs)
    unanswered = 0
    total = 0
    for run in runs:
        for outcome, count in run.recorder.live_outcomes.items():
            total += count
            unanswered += count if outcome != 'answered' else 0
    in_force = [item for run in runs for item in run.in_force_delays_s]
    summary = {
        'seeds': len(runs),
        'broken_promises': violations,
        'samples': sum(run.recorder.delivered_samples for run in runs),
        'live_requests': total,
        'live_unanswered_share': round(unanswered / max(total, 1), 4),
    }
    if in_force:
        summary['in_force_median_s'] = round(statistics.median(in_force), 2)
        summary['in_force_max_s'] = round(max(in_force), 2)
    print(json.dumps(summary))
    return violations


def main():
    """Run seeds; exit with 1 if a guarantee was violated."""
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
