"""Demo of a small deployment for two example organisations.

The demo submits an intent and confirms its plan, sends live requests and
orders, and runs two trainers that announce new weights. During this load it
stops one endpoint gracefully and kills the engine of another one. It prints a
report, and exits with 1 if a guarantee was violated.
"""

import asyncio
import json
import pathlib
import shutil
import signal
import sys
import tempfile
import time

import aiohttp

from clementineline import client
from clementineline.experiments import checks
from clementineline.experiments import deployments
from clementineline.experiments import load

__all__ = ['main']

INTENT = {
    'trainers': {
        'kiln-trainer': {
            'model': 'kiln-lm',
            'weight': 3,
            'staleness_bound_versions': 1,
        },
        'quote-trainer': {
            'model': 'quote-lm',
            'weight': 1,
            'staleness_bound_versions': 1,
        },
    },
    'models': {'kiln-lm': {}, 'quote-lm': {}},
    'services': {'order-desk': {}, 'counter-app': {}},
}
LOAD_TIMEOUT_S = 30.0
STEPS_PER_TRAINER = 10
PROMPTS_PER_STEP = 8
GROUP_SIZE = 4
LIVE_INTERVAL_S = 0.05
ORDER_INTERVAL_S = 0.05
TRAINERS = (
    ('kiln-trainer', 'order-desk'),
    ('quote-trainer', 'counter-app'),
)


async def _run_trainer(deployment, recorder, name, service):
    """Run the steps of a trainer, with a new weights version after each."""
    urls = deployment.get_entry_urls()
    async with client.TrainerClient(name, urls) as trainer:
        for number in range(STEPS_PER_TRAINER):
            step = f'step-{number}'
            prompts = [
                f'{name} {step} prompt {index} tail=60'
                for index in range(PROMPTS_PER_STEP)
            ]
            await trainer.submit(
                step, prompts, GROUP_SIZE, scoring={'service': service}
            )
            async for group in trainer.groups():
                recorder.record_group(
                    name, step, prompts, trainer.version, group
                )
            await trainer.announce(trainer.version + 1)


async def _inject_faults(deployment):
    """Stop one sidecar gracefully, kill an engine, and start both again."""
    await asyncio.sleep(3.0)
    print('stopping kiln-2 in order ...')
    await deployment.set_vms(leaving=['kiln-2'])
    code = await deployment.group.terminate('kiln-2')
    print(f'  kiln-2 ended with code {code}')
    await asyncio.sleep(1.0)
    print('killing the engine of quote-2 ...')
    deployment.group.kill('quote-2-endpoint')
    await asyncio.sleep(3.0)
    deployment.start_endpoint('quote-2')
    deployment.start_sidecar('kiln-2')
    await deployment.set_vms()
    return code


async def _apply_intent(deployment):
    print('intent:')
    print(json.dumps(INTENT, indent=2))
    plan, confirmed = await deployment.apply_intent(INTENT)
    print(f'plan {plan["id"]}, against {plan["base_version"]}:')
    for effect in plan['effects']:
        print(f'  {effect}')
    print(f'confirmed; in force with {confirmed["in_force_version"]}')


async def _run_load(deployment, recorder):
    stopping = asyncio.Event()
    urls = deployment.get_entry_urls()
    callers = [
        asyncio.create_task(
            load.send_generations(
                urls, recorder, model, LIVE_INTERVAL_S, stopping
            )
        )
        for model in ('kiln-lm', 'quote-lm')
    ]
    for service in ('order-desk', 'counter-app'):
        callers.append(
            asyncio.create_task(
                load.send_orders(
                    urls, recorder, service, ORDER_INTERVAL_S, stopping
                )
            )
        )
    trainers = [
        _run_trainer(deployment, recorder, name, service)
        for name, service in TRAINERS
    ]
    code, *_ = await asyncio.gather(_inject_faults(deployment), *trainers)
    stopping.set()
    await asyncio.gather(*callers)
    if code != 0:
        recorder.record_violation(f'the planned stop ended with code {code}')


async def _print_decisions(deployment, recorder):
    """Print the decisions that the service logged about one live request."""
    if not recorder.request_ids:
        return
    request_id = recorder.request_ids[-1]
    url = deployment.get_entry_urls()[0]
    async with aiohttp.ClientSession() as http:
        async with http.get(
            f'{url}/v1/operator/explain/{request_id}'
        ) as response:
            explanation = await response.json()
    print(f'decisions about {request_id}:')
    for line in explanation.get('decisions', []):
        print(f'  {json.dumps(line)}')


async def _run(folder):
    started = time.monotonic()
    deployment = deployments.Deployment(
        folder, deployments.build_demo_endpoints()
    )
    recorder = checks.OutcomeRecorder(staleness_bound=1)
    try:
        await deployment.start()
        await deployment.wait_until_ready()
        await _apply_intent(deployment)
        try:
            async with asyncio.timeout(LOAD_TIMEOUT_S):
                await _run_load(deployment, recorder)
        except TimeoutError:
            recorder.record_violation(
                f'not finished within {LOAD_TIMEOUT_S} s'
            )
            for name in [*deployment.endpoint_specs, *deployment.entry_names]:
                deployment.group.send_signal(name, signal.SIGUSR1)
            await asyncio.sleep(1.0)
        await _print_decisions(deployment, recorder)
        status = await deployment.read_status()
        print(f'repaired: {len(status["repairs"])} notes, the last ones:')
        for repair in status['repairs'][-3:]:
            print(f'  {json.dumps(repair)}')
    finally:
        await deployment.stop()
    checks.check_engine_facts(deployment, recorder)
    checks.check_order_facts(deployment, recorder)
    expected = (
        len(TRAINERS) * STEPS_PER_TRAINER * PROMPTS_PER_STEP * GROUP_SIZE
    )
    if recorder.delivered_samples != expected:
        recorder.record_violation(
            f'{recorder.delivered_samples} samples delivered, '
            f'expected {expected}'
        )
    print(recorder.format_report())
    print(f'took {time.monotonic() - started:.1f} s')
    return recorder


def main():
    """Run the demo; exit with 1 if a guarantee was violated."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix='clementineline-demo-'))
    recorder = asyncio.run(_run(folder))
    if recorder.violations:
        print(f'logs are kept in {folder}')
        sys.exit(1)
    shutil.rmtree(folder)


if __name__ == '__main__':
    main()
