"""Benchmark scenarios, most of them compared with baseline policies.

Each scenario is a coroutine function that takes a seed, starts deployments of
real processes and returns a list of :class:`Figure` objects.
"""

import asyncio
import dataclasses
import pathlib
import random
import re
import shutil
import tempfile

from clementineline.experiments import deployments
from clementineline.experiments import openloop

__all__ = [
    'BASELINES',
    'Figure',
    'run_fairness',
    'run_head_of_line',
    'run_overload',
    'run_prefix_cache',
    'run_retries',
    'read_counter',
    'run_slowed',
    'build_temporary_deployment',
]

MODEL = 'kiln-lm'
SERVICE = 'order-desk'
ZONES = ('walvis-a', 'swakop-b', 'langstrand-c')
ENGINE_COUNT = 6
SERVICE_COUNT = 3
SLOTS_PER_ENDPOINT = 8
STEP_S = 0.02
TOKENS_PER_STEP = 8
ENGINE_OPTIONS = (
    '--step-s',
    str(STEP_S),
    '--tokens-per-step',
    str(TOKENS_PER_STEP),
)
TOKENS_PER_S = TOKENS_PER_STEP / STEP_S
_FEATURES_OFF = {
    'late_binding': False,
    'predict_length': False,
    'detect_slow': False,
    'prefix_affinity': False,
    'hedge': False,
    'preempt': False,
    'resume_stragglers': False,
}
BASELINES = {
    'round_robin': dict(_FEATURES_OFF, balancing='round_robin'),
    'least_outstanding': dict(_FEATURES_OFF, balancing='least_outstanding'),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """A measured figure and its required bound.

    :param name: name that ends with the unit, if any
    :param value: measured value
    :param bound: required bound, or None
    :param is_lower_bound: whether the bound is a minimum; otherwise it is a
        maximum
    """

    name: str
    value: float
    bound: float | None = None
    is_lower_bound: bool = False

    @property
    def is_met(self):
        """Whether the value meets the bound, or there is no bound."""
        if self.bound is None:
            return True
        if self.is_lower_bound:
            return self.value >= self.bound
        return self.value <= self.bound


def build_endpoints(
    queue_at_endpoints, engine_options=(), service_options=(), reserve=1
):
    """Return the endpoint specs of the scenarios.

    :param queue_at_endpoints: whether requests queue at the endpoints, as
        without late binding: sidecars get nearly unlimited slots
    :param engine_options: additional command-line options of engines
    :param service_options: additional command-line options of services
    :param reserve: slots of an engine that only live requests may use
    """
    endpoint_specs = []
    sidecar_slots = 10_000 if queue_at_endpoints else 0
    for number in range(ENGINE_COUNT):
        endpoint_specs.append(
            deployments.EndpointSpec(
                f'kiln-{number + 1}',
                'engine',
                MODEL,
                ZONES[number % len(ZONES)],
                (*ENGINE_OPTIONS, *engine_options),
                SLOTS_PER_ENDPOINT,
                0 if queue_at_endpoints else reserve,
                sidecar_slots,
            )
        )
    for number in range(SERVICE_COUNT):
        endpoint_specs.append(
            deployments.EndpointSpec(
                f'desk-{number + 1}',
                'service',
                SERVICE,
                ZONES[number],
                tuple(service_options),
                SLOTS_PER_ENDPOINT,
                0,
                sidecar_slots,
            )
        )
    return endpoint_specs


class TemporaryDeployment:
    """Context manager that starts a deployment and removes its folder."""

    def __init__(self, deployment, folder):
        self.deployment = deployment
        self._folder = folder

    async def __aenter__(self):
        await self.deployment.start()
        await self.deployment.wait_until_ready()
        return self.deployment

    async def __aexit__(self, *_):
        await self.deployment.stop()
        shutil.rmtree(self._folder)


def build_temporary_deployment(policy=None, entries=2, **options):
    """Return a :class:`TemporaryDeployment`.

    :param policy: policy settings of the entries; None for the defaults
    :param options: arguments of :func:`build_endpoints`
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix='clementineline-bench-'))
    queue_at_endpoints = bool(policy) and not policy.get('late_binding', True)
    deployment = deployments.Deployment(
        folder,
        build_endpoints(queue_at_endpoints, **options),
        entries,
        {'policy': policy or {}},
    )
    return TemporaryDeployment(deployment, folder)


def build_generations(seed, kind, rate, duration_s, tokens, **options):
    """Return open-loop requests for generations of a fixed length.

    :param rate: mean number of requests per second
    :param tokens: length of each generation
    :param options: ``start_s`` and ``headers`` of the requests
    """
    rng = random.Random(f'{seed}/{kind}')
    requests = []
    for at_s in openloop.build_arrivals(
        f'{seed}/{kind}', rate, duration_s, options.get('start_s', 0.0)
    ):
        prompt = f'{kind} {rng.getrandbits(48):012x} len={tokens}'
        requests.append(
            openloop.Request(
                at_s, prompt, MODEL, kind, options.get('headers', ())
            )
        )
    return requests


async def run_head_of_line(seed):
    """Measure short generations behind long drafts and a trainer's step.

    The samples of the trainer fill all slots before the drafts of 10 s each
    arrive.
    """
    trainer = {'trainers': {'batch': {'model': MODEL}}}
    short_tokens = int(0.02 * TOKENS_PER_S)
    draft_tokens = int(10 * TOKENS_PER_S)
    p99_s = {}
    variants = {'idle': None, 'ours': None, **BASELINES}
    for name, policy in variants.items():
        requests = build_generations(seed, 'short', 20, 14, short_tokens)
        if name != 'idle':
            requests = build_generations(
                seed, 'short', 20, 12, short_tokens, start_s=4.0
            )
            requests += build_generations(
                seed, 'draft', 8, 4, draft_tokens, start_s=1.0
            )
        async with build_temporary_deployment(policy) as deployment:
            if name != 'idle':
                await deployment.apply_intent(trainer)
                await _submit_long_step(deployment, 'batch', f'step-{seed}')
            outcomes = await openloop.send_open_loop(
                deployment.get_entry_urls(), requests
            )
        p99_s[name] = outcomes['short'].get_percentile_s(99)
    return [
        Figure('head_of_line_idle_p99_s', p99_s['idle']),
        Figure('head_of_line_p99_s', p99_s['ours']),
        Figure('head_of_line_round_robin_p99_s', p99_s['round_robin']),
        Figure(
            'head_of_line_least_outstanding_p99_s',
            p99_s['least_outstanding'],
        ),
        Figure('head_of_line_to_idle', p99_s['ours'] / p99_s['idle'], 1.5),
        Figure(
            'head_of_line_to_round_robin',
            p99_s['ours'] / p99_s['round_robin'],
            0.2,
        ),
    ]


async def _slow_random_engines(deployment, seed, duration_s):
    """Slow down random engines tenfold, one at a time, for 5 s each."""
    rng = random.Random(f'{seed}/slow')
    deadline = asyncio.get_running_loop().time() + duration_s
    while True:
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        name = f'kiln-{rng.randint(1, ENGINE_COUNT)}-endpoint'
        await deployment.set_faults(name, slow=10.0, load_lag_s=5.0)
        await asyncio.sleep(5.0)
        await deployment.set_faults(name, slow=1.0)
        if asyncio.get_running_loop().time() > deadline:
            return


async def run_slowed(seed):
    """Measure tail latency while one engine of six is ten times slower."""
    tokens = int(0.4 * TOKENS_PER_S)
    duration_s = 18.0
    variants = {
        'even': (None, False),
        'ours': (None, True),
        'round_robin': (BASELINES['round_robin'], True),
        'least_outstanding': (BASELINES['least_outstanding'], True),
    }
    p99_s = {}
    for name, (policy, slowed) in variants.items():
        requests = build_generations(seed, 'live', 25, duration_s, tokens)
        async with build_temporary_deployment(policy) as deployment:
            slowing = None
            if slowed:
                slowing = asyncio.create_task(
                    _slow_random_engines(deployment, seed, duration_s - 5.0)
                )
            outcomes = await openloop.send_open_loop(
                deployment.get_entry_urls(), requests
            )
            if slowing is not None:
                await slowing
        p99_s[name] = outcomes['live'].get_percentile_s(99)
    return [
        Figure('slowed_even_p99_s', p99_s['even']),
        Figure('slowed_p99_s', p99_s['ours']),
        Figure('slowed_round_robin_p99_s', p99_s['round_robin']),
        Figure('slowed_least_outstanding_p99_s', p99_s['least_outstanding']),
        Figure('slowed_to_even', p99_s['ours'] / p99_s['even'], 1.3),
    ]


async def _measure_capacity(deployment, tokens, duration_s=4.0):
    """Return the generations per second that the engines can complete.

    Requests go directly to the engines, without the service, and keep each
    slot busy.
    """
    loop = asyncio.get_running_loop()
    finished = []
    started = loop.time()

    async def keep_busy(url, number):
        while loop.time() - started < duration_s:
            body = {
                'prompt': f'capacity {number} {len(finished)} len={tokens}',
                'model': MODEL,
            }
            async with deployment.http.post(
                url + '/v1/completions', json=body
            ) as response:
                await response.read()
            finished.append(loop.time())

    tasks = []
    for name, spec in deployment.endpoint_specs.items():
        if spec.kind != 'engine':
            continue
        url = deployment.get_url(f'{name}-endpoint')
        for number in range(spec.slots):
            tasks.append(keep_busy(url, number))
    await asyncio.gather(*tasks)
    # Excludes the first second, in which the batches fill up.
    in_window = [
        finished_at
        for finished_at in finished
        if 1.0 <= finished_at - started < duration_s
    ]
    return len(in_window) / (duration_s - 1.0)


async def run_overload(seed):
    """Measure goodput, tail latency and refusals at twice the capacity."""
    tokens = int(0.2 * TOKENS_PER_S)
    overload_s, after_s = 15.0, 8.0
    async with build_temporary_deployment() as deployment:
        capacity = await _measure_capacity(deployment, tokens)
        even_requests = build_generations(
            seed, 'even', 0.4 * capacity, 6, tokens
        )
        urls = deployment.get_entry_urls()
        calm_outcomes = await openloop.send_open_loop(urls, even_requests)
        requests = build_generations(
            seed, 'over', 2 * capacity, overload_s, tokens
        )
        requests += build_generations(
            seed, 'after', 0.4 * capacity, after_s, tokens, start_s=overload_s
        )
        outcomes = await openloop.send_open_loop(urls, requests)
    over, after = outcomes['over'], outcomes['after']
    # Excludes the first and last second, in which the slots fill and empty.
    in_window = [
        at_s for at_s, _ in over.answered_at if 1.0 <= at_s < overload_s - 1
    ]
    goodput = len(in_window) / (overload_s - 2.0)
    calm_p99_s = calm_outcomes['even'].get_percentile_s(99)
    slow_at_s = [
        at_s - overload_s
        for at_s, latency_s in after.answered_at
        if latency_s > 2 * calm_p99_s
    ]
    return [
        Figure('overload_capacity_per_s', capacity),
        Figure('overload_goodput_share', goodput / capacity, 0.95, True),
        Figure('overload_calm_p99_s', calm_p99_s),
        Figure(
            'overload_p99_to_calm', over.get_percentile_s(99) / calm_p99_s, 2.0
        ),
        Figure(
            'overload_refusal_p99_s', over.get_refusal_percentile_s(99), 0.05
        ),
        Figure(
            'overload_refusals_with_retry_after',
            over.refused_with_retry_after / max(over.refused, 1),
            1.0,
            True,
        ),
        Figure('overload_failed', over.failed + after.failed, 0),
        Figure('overload_recovery_s', max(slow_at_s, default=0.0), 5.0),
    ]


async def read_counter(deployment, name):
    """Return the sum of a counter over all entries.

    :param name: name of the metric without the prefix ``clementineline_``
    """
    total = 0.0
    for url in deployment.get_entry_urls():
        async with deployment.http.get(url + '/metrics') as response:
            text = await response.text()
        pattern = rf'^clementineline_{name}{{[^}}]*}} (\S+)'
        for value in re.findall(pattern, text, re.MULTILINE):
            total += float(value)
    return total


async def run_retries(seed):
    """Measure attempts per request while an endpoint fails half its calls."""
    async with build_temporary_deployment() as deployment:
        await deployment.set_faults('desk-1-endpoint', fail_share=0.5)
        requests = []
        for at_s in openloop.build_arrivals(seed, 100, 12.0):
            requests.append(openloop.Request(at_s, '', SERVICE, 'call'))
        outcomes = await openloop.send_open_loop(
            deployment.get_entry_urls(), requests
        )
        attempts = await read_counter(deployment, 'attempts')
    call = outcomes['call']
    return [
        Figure('retries_attempts_to_requests', attempts / call.sent, 1.2),
        Figure('retries_answered_share', call.answered / call.sent),
    ]


async def run_prefix_cache(seed):
    """Measure the hit rate of prefix caches with many conversations.

    The turns of a conversation share a prompt prefix. All prefixes together
    exceed the cache of one engine.
    """
    rng = random.Random(f'{seed}/prefix')
    # 60 prefixes of 16 blocks are 960 blocks; each of 6 caches holds 192.
    prefixes = [f'{number:03d} ' * 256 for number in range(60)]
    arrivals = openloop.build_arrivals(seed, 60, 15.0)
    requests = []
    for at_s in arrivals:
        prefix = rng.choice(prefixes)
        prompt = f'{prefix}{rng.getrandbits(48):012x} len=24'
        requests.append(openloop.Request(at_s, prompt, MODEL, 'turn'))
    blocks = len(prefixes[0]) // 64
    perfect_hit_rate = 1 - len(prefixes) / len(requests)
    statistics = {}
    for name, policy in {'ours': None, **BASELINES}.items():
        async with build_temporary_deployment(
            policy, engine_options=('--cache-blocks', '192')
        ) as deployment:
            await openloop.send_open_loop(
                deployment.get_entry_urls(), requests
            )
            statistics[name] = await _read_cache_statistics(deployment, blocks)
    hits, load_to_mean = statistics['ours']
    return [
        Figure('prefix_hit_rate', hits),
        Figure('prefix_perfect_hit_rate', perfect_hit_rate),
        Figure('prefix_to_perfect', hits / perfect_hit_rate, 0.9, True),
        Figure('prefix_busiest_to_mean', load_to_mean, 1.25),
        Figure('prefix_round_robin_hit_rate', statistics['round_robin'][0]),
        Figure(
            'prefix_least_outstanding_hit_rate',
            statistics['least_outstanding'][0],
        ),
    ]


async def _read_cache_statistics(deployment, blocks):
    """Return the hit rate and the ratio of the highest load to the mean.

    :param blocks: cache blocks of a prefix, to count requests by lookups
    """
    hits = lookups = 0
    loads = []
    for name, spec in deployment.endpoint_specs.items():
        if spec.kind != 'engine':
            continue
        url = deployment.get_url(f'{name}-endpoint') + '/counts'
        async with deployment.http.get(url) as response:
            counts = await response.json()
        hits += counts['cache_hits']
        lookups += counts['cache_lookups']
        loads.append(counts['cache_lookups'] / blocks)
    return hits / lookups, max(loads) * len(loads) / sum(loads)


async def _sample_running_slots(deployment, trainers, duration_s):
    """Poll the slots in use by each trainer from the metrics of sidecars.

    :returns: list of ``(time, counts)``; time in seconds since the start,
        counts is a dict from trainer to slots over all engines
    """
    samples = []
    loop = asyncio.get_running_loop()
    started = loop.time()
    while loop.time() - started < duration_s:
        counts = dict.fromkeys(trainers, 0)
        for name, spec in deployment.endpoint_specs.items():
            if spec.kind != 'engine':
                continue
            url = deployment.get_url(f'{name}-http') + '/metrics'
            async with deployment.http.get(url) as response:
                text = await response.text()
            for trainer in trainers:
                pattern = rf'running{{[^}}]*share="{trainer}"}} (\S+)'
                for value in re.findall(pattern, text):
                    counts[trainer] += float(value)
        samples.append((loop.time() - started, counts))
        await asyncio.sleep(0.1)
    return samples


async def _submit_long_step(deployment, trainer, step):
    """Submit a step with enough samples to keep the trainer's share in use."""
    url = deployment.get_entry_urls()[0] + f'/v1/trainers/{trainer}'
    prompts = [f'{trainer} {step} {n} len=800' for n in range(40)]
    body = {
        'step': step,
        'prompts': prompts,
        'group_size': 8,
        'max_tokens': 800,
    }
    async with deployment.http.post(url + '/steps', json=body) as response:
        response.raise_for_status()
    pull = {'cursor': {'step': step, 'version': 0}, 'wait_s': 0.0}
    async with deployment.http.post(url + '/pull', json=pull) as response:
        response.raise_for_status()


async def run_fairness(seed):
    """Measure the shares of two trainers with weights 3:1.

    While one trainer is idle, the other one may use its slots.
    """
    trainers = ('heavy', 'light')
    intent = {
        'trainers': {
            'heavy': {'model': MODEL, 'weight': 3},
            'light': {'model': MODEL, 'weight': 1},
        }
    }
    async with build_temporary_deployment() as deployment:
        await deployment.apply_intent(intent)
        await _submit_long_step(deployment, 'light', f'step-{seed}')
        alone = await _sample_running_slots(deployment, trainers, 3.0)
        await _submit_long_step(deployment, 'heavy', f'step-{seed}')
        both = await _sample_running_slots(deployment, trainers, 6.0)
    slots = ENGINE_COUNT * (SLOTS_PER_ENDPOINT - 1)
    lent_share = max(counts['light'] for _, counts in alone) / slots
    reclaim_s = next(
        (
            at_s
            for at_s, counts in both
            if counts['heavy'] >= 0.9 * 0.75 * slots
        ),
        6.0,
    )
    steady = [counts for at_s, counts in both if at_s > 2.0]
    heavy = sum(counts['heavy'] for counts in steady)
    light = sum(counts['light'] for counts in steady)
    return [
        Figure('fairness_lent_share', lent_share, 0.9, True),
        Figure('fairness_taken_back_s', reclaim_s, 2.0),
        Figure(
            'fairness_off_three_to_one',
            abs(heavy / max(light, 1) / 3 - 1),
            0.1,
        ),
    ]
