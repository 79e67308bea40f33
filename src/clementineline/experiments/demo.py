"""The demo: both deployments in small, from an intent to a report.

It states an intent, confirms its plan, serves live requests and orders, feeds
two trainers while weights change, stops one endpoint in order and kills
another. It ends with a report and a non-zero exit code if a promise broke.
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
LIMIT_S = 30.0
STEPS = 10
PROMPTS = 8
GROUP_SIZE = 4
LIVE_INTERVAL_S = 0.05
ORDER_INTERVAL_S = 0.05
TRAINERS = (
    ('kiln-trainer', 'order-desk'),
    ('quote-trainer', 'counter-app'),
)


async def _train(deployment, ledger, name, service):
    """Run a trainer for some steps, with new weights after each."""
    urls = deployment.get_entry_urls()
    async with client.TrainerClient(name, urls) as trainer:
        for number in range(STEPS):
            step = f'step-{number}'
            prompts = [
                f'{name} {step} prompt {index} tail=60'
                for index in range(PROMPTS)
            ]
            await trainer.submit(
                step, prompts, GROUP_SIZE, scoring={'service': service}
            )
            async for group in trainer.groups():
                ledger.note_group(name, step, prompts, trainer.version, group)
            await trainer.announce(trainer.version + 1)


async def _disturb(deployment):
    """Stop one endpoint in order, and kill another one's engine."""
    await asyncio.sleep(3.0)
    print('stopping kiln-2 in order ...')
    await deployment.list_vms(leaving=['kiln-2'])
    code = await deployment.group.terminate('kiln-2')
    print(f'  kiln-2 ended with code {code}')
    await asyncio.sleep(1.0)
    print('killing the engine of quote-2 ...')
    deployment.group.kill('quote-2-endpoint')
    await asyncio.sleep(3.0)
    deployment.start_endpoint('quote-2')
    deployment.start_sidecar('kiln-2')
    await deployment.list_vms()
    return code


async def _show_intent(deployment):
    print('intent:')
    print(json.dumps(INTENT, indent=2))
    plan, confirmed = await deployment.put_in_force(INTENT)
    print(f'plan {plan["id"]}, against {plan["base_version"]}:')
    for effect in plan['effects']:
        print(f'  {effect}')
    print(f'confirmed; in force with {confirmed["in_force_version"]}')


async def _run_load(deployment, ledger):
    stopping = asyncio.Event()
    urls = deployment.get_entry_urls()
    callers = [
        asyncio.create_task(
            load.send_generations(
                urls, ledger, model, LIVE_INTERVAL_S, stopping
            )
        )
        for model in ('kiln-lm', 'quote-lm')
    ]
    for service in ('order-desk', 'counter-app'):
        callers.append(
            asyncio.create_task(
                load.send_orders(
                    urls, ledger, service, ORDER_INTERVAL_S, stopping
                )
            )
        )
    trainers = [
        _train(deployment, ledger, name, service) for name, service in TRAINERS
    ]
    code, *_ = await asyncio.gather(_disturb(deployment), *trainers)
    stopping.set()
    await asyncio.gather(*callers)
    if code != 0:
        ledger.break_promise(f'the planned stop ended with code {code}')


async def _explain(deployment, ledger):
    """Ask for the decisions about one live request."""
    if not ledger.request_ids:
        return
    request_id = ledger.request_ids[-1]
    url = deployment.get_entry_urls()[0]
    async with aiohttp.ClientSession() as http:
        async with http.get(
            f'{url}/v1/operator/explain/{request_id}'
        ) as response:
            answer = await response.json()
    print(f'decisions about {request_id}:')
    for line in answer.get('decisions', []):
        print(f'  {json.dumps(line)}')


async def _run(folder):
    started = time.monotonic()
    deployment = deployments.Deployment(
        folder, deployments.build_small_fleet()
    )
    ledger = checks.Ledger(staleness_bound=1)
    try:
        await deployment.start()
        await deployment.wait_until_ready()
        await _show_intent(deployment)
        try:
            async with asyncio.timeout(LIMIT_S):
                await _run_load(deployment, ledger)
        except TimeoutError:
            ledger.break_promise(f'not finished within {LIMIT_S} s')
            for name in [*deployment.endpoint_specs, *deployment.entry_names]:
                deployment.group.send_signal(name, signal.SIGUSR1)
            await asyncio.sleep(1.0)
        await _explain(deployment, ledger)
        status = await deployment.read_status()
        print(f'repaired: {len(status["repairs"])} notes, the last ones:')
        for repair in status['repairs'][-3:]:
            print(f'  {json.dumps(repair)}')
    finally:
        await deployment.stop()
    checks.check_engine_facts(deployment, ledger)
    checks.check_order_facts(deployment, ledger)
    expected = len(TRAINERS) * STEPS * PROMPTS * GROUP_SIZE
    if ledger.delivered != expected:
        ledger.break_promise(
            f'{ledger.delivered} samples delivered, expected {expected}'
        )
    print(ledger.format_report())
    print(f'took {time.monotonic() - started:.1f} s')
    return ledger


def main():
    """Run the demo and exit with 1 if a promise was broken."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix='clementineline-demo-'))
    ledger = asyncio.run(_run(folder))
    if ledger.broken:
        print(f'logs are kept in {folder}')
        sys.exit(1)
    shutil.rmtree(folder)


if __name__ == '__main__':
    main()
