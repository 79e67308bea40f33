"""The scenarios of the benchmark, each measured beside its baselines.

Each scenario is a coroutine function of a seed; it starts fleets of real
processes and returns :class:`Figure` objects with the stated bounds.
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
    'start_fleet',
]

MODEL = 'kiln-lm'
SERVICE = 'order-desk'
ZONES = ('walvis-a', 'swakop-b', 'langstrand-c')
ENGINES = 6
DESKS = 3
SLOTS = 8
STEP_S = 0.02
TOKENS_PER_STEP = 8
ENGINE_OPTIONS = (
    '--step-s',
    str(STEP_S),
    '--tokens-per-step',
    str(TOKENS_PER_STEP),
)
TOKENS_PER_S = TOKENS_PER_STEP / STEP_S
_PLAIN = {
    'late_binding': False,
    'predict_length': False,
    'detect_slow': False,
    'prefix_affinity': False,
    'hedge': False,
    'preempt': False,
    'resume_stragglers': False,
}
BASELINES = {
    'round_robin': dict(_PLAIN, balancing='round_robin'),
    'least_outstanding': dict(_PLAIN, balancing='least_outstanding'),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure.

    :param name: name with its unit
    :param value: what was measured
    :param bound: the stated bound, or None for a figure without one
    :param least: whether the bound is the least that is allowed
    """

    name: str
    value: float
    bound: float | None = None
    least: bool = False

    @property
    def holds(self):
        """Whether the figure keeps its bound."""
        if self.bound is None:
            return True
        if self.least:
            return self.value >= self.bound
        return self.value <= self.bound


def build_endpoints(plain, engine_options=(), desk_options=(), reserve=1):
    """Return the endpoints of the smokehouse.

    :param plain: whether requests queue at the endpoints, as they do
        without late binding
    :param reserve: slots of an engine for live work only
    """
    endpoint_specs = []
    waiting_room = 10_000 if plain else 0
    for number in range(ENGINES):
        endpoint_specs.append(
            deployments.EndpointSpec(
                f'kiln-{number + 1}',
                'engine',
                MODEL,
                ZONES[number % len(ZONES)],
                (*ENGINE_OPTIONS, *engine_options),
                SLOTS,
                0 if plain else reserve,
                waiting_room,
            )
        )
    for number in range(DESKS):
        endpoint_specs.append(
            deployments.EndpointSpec(
                f'desk-{number + 1}',
                'service',
                SERVICE,
                ZONES[number],
                tuple(desk_options),
                SLOTS,
                0,
                waiting_room,
            )
        )
    return endpoint_specs


class Fleet:
    """A started deployment that removes its folder at the end."""

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


def start_fleet(policy=None, entries=2, **options):
    """Return a context manager that runs a fleet.

    :param policy: settings of the policy; None for the defaults
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix='clementineline-bench-'))
    plain = bool(policy) and not policy.get('late_binding', True)
    deployment = deployments.Deployment(
        folder,
        build_endpoints(plain, **options),
        entries,
        {'policy': policy or {}},
    )
    return Fleet(deployment, folder)


def build_generations(seed, kind, rate, duration_s, tokens, **options):
    """Return open-loop generations of a fixed length."""
    draw = random.Random(f'{seed}/{kind}')
    requests = []
    for at_s in openloop.build_arrivals(
        f'{seed}/{kind}', rate, duration_s, options.get('start_s', 0.0)
    ):
        prompt = f'{kind} {draw.getrandbits(48):012x} len={tokens}'
        requests.append(
            openloop.Request(
                at_s, prompt, MODEL, kind, options.get('headers', ())
            )
        )
    return requests


async def run_head_of_line(seed):
    """Measure short generations among drafts of 10 s and trainer batches.

    The trainer's samples fill all slots before the drafts come.
    """
    trainer = {'trainers': {'batch': {'model': MODEL}}}
    short = int(0.02 * TOKENS_PER_S)
    draft = int(10 * TOKENS_PER_S)
    found = {}
    variants = {'idle': None, 'ours': None, **BASELINES}
    for name, policy in variants.items():
        requests = build_generations(seed, 'short', 20, 14, short)
        if name != 'idle':
            requests = build_generations(
                seed, 'short', 20, 12, short, start_s=4.0
            )
            requests += build_generations(
                seed, 'draft', 8, 4, draft, start_s=1.0
            )
        async with start_fleet(policy) as deployment:
            if name != 'idle':
                await deployment.put_in_force(trainer)
                await _submit_long_step(deployment, 'batch', f'step-{seed}')
            outcomes = await openloop.send_open_loop(
                deployment.get_entry_urls(), requests
            )
        found[name] = outcomes['short'].get_percentile_s(99)
    return [
        Figure('head_of_line_idle_p99_s', found['idle']),
        Figure('head_of_line_p99_s', found['ours']),
        Figure('head_of_line_round_robin_p99_s', found['round_robin']),
        Figure(
            'head_of_line_least_outstanding_p99_s',
            found['least_outstanding'],
        ),
        Figure('head_of_line_to_idle', found['ours'] / found['idle'], 1.5),
        Figure(
            'head_of_line_to_round_robin',
            found['ours'] / found['round_robin'],
            0.2,
        ),
    ]


async def _slow_at_random(deployment, seed, duration_s):
    """Slow one engine after another ten times, 5 s each."""
    draw = random.Random(f'{seed}/slow')
    ended = asyncio.get_running_loop().time() + duration_s
    while True:
        await asyncio.sleep(draw.uniform(0.5, 2.0))
        name = f'kiln-{draw.randint(1, ENGINES)}-endpoint'
        await deployment.set_faults(name, slow=10.0, load_lag_s=5.0)
        await asyncio.sleep(5.0)
        await deployment.set_faults(name, slow=1.0)
        if asyncio.get_running_loop().time() > ended:
            return


async def run_slowed(seed):
    """Measure the tail while one engine of six is slowed ten times."""
    tokens = int(0.4 * TOKENS_PER_S)
    duration_s = 18.0
    variants = {
        'even': (None, False),
        'ours': (None, True),
        'round_robin': (BASELINES['round_robin'], True),
        'least_outstanding': (BASELINES['least_outstanding'], True),
    }
    found = {}
    for name, (policy, slowed) in variants.items():
        requests = build_generations(seed, 'live', 25, duration_s, tokens)
        async with start_fleet(policy) as deployment:
            slowing = None
            if slowed:
                slowing = asyncio.create_task(
                    _slow_at_random(deployment, seed, duration_s - 5.0)
                )
            outcomes = await openloop.send_open_loop(
                deployment.get_entry_urls(), requests
            )
            if slowing is not None:
                await slowing
        found[name] = outcomes['live'].get_percentile_s(99)
    return [
        Figure('slowed_even_p99_s', found['even']),
        Figure('slowed_p99_s', found['ours']),
        Figure('slowed_round_robin_p99_s', found['round_robin']),
        Figure('slowed_least_outstanding_p99_s', found['least_outstanding']),
        Figure('slowed_to_even', found['ours'] / found['even'], 1.3),
    ]


async def _measure_capacity(deployment, tokens, duration_s=4.0):
    """Return the generations a second that the engines can end.

    Each slot of each engine is kept busy directly, without the system.
    """
    loop = asyncio.get_running_loop()
    ends = []
    started = loop.time()

    async def keep_busy(url, number):
        while loop.time() - started < duration_s:
            body = {
                'prompt': f'capacity {number} {len(ends)} len={tokens}',
                'model': MODEL,
            }
            async with deployment.http.post(
                url + '/v1/completions', json=body
            ) as response:
                await response.read()
            ends.append(loop.time())

    tasks = []
    for name, plan in deployment.endpoint_specs.items():
        if plan.kind != 'engine':
            continue
        url = deployment.get_url(f'{name}-endpoint')
        for number in range(plan.slots):
            tasks.append(keep_busy(url, number))
    await asyncio.gather(*tasks)
    # The first second fills the batches.
    inside = [at for at in ends if 1.0 <= at - started < duration_s]
    return len(inside) / (duration_s - 1.0)


async def run_overload(seed):
    """Measure goodput, tail and refusals at twice the capacity."""
    tokens = int(0.2 * TOKENS_PER_S)
    overload_s, after_s = 15.0, 8.0
    async with start_fleet() as deployment:
        capacity = await _measure_capacity(deployment, tokens)
        even = build_generations(seed, 'even', 0.4 * capacity, 6, tokens)
        urls = deployment.get_entry_urls()
        calm = await openloop.send_open_loop(urls, even)
        requests = build_generations(
            seed, 'over', 2 * capacity, overload_s, tokens
        )
        requests += build_generations(
            seed, 'after', 0.4 * capacity, after_s, tokens, start_s=overload_s
        )
        outcomes = await openloop.send_open_loop(urls, requests)
    over, after = outcomes['over'], outcomes['after']
    # The first and last second fill and empty the slots.
    inside = [
        at_s for at_s, _ in over.answered_at if 1.0 <= at_s < overload_s - 1
    ]
    goodput = len(inside) / (overload_s - 2.0)
    calm_p99 = calm['even'].get_percentile_s(99)
    late = [
        at_s - overload_s
        for at_s, latency_s in after.answered_at
        if latency_s > 2 * calm_p99
    ]
    return [
        Figure('overload_capacity_per_s', capacity),
        Figure('overload_goodput_share', goodput / capacity, 0.95, True),
        Figure('overload_calm_p99_s', calm_p99),
        Figure(
            'overload_p99_to_calm', over.get_percentile_s(99) / calm_p99, 2.0
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
        Figure('overload_recovery_s', max(late, default=0.0), 5.0),
    ]


async def read_counter(deployment, name):
    """Return the sum of a metric over all entries."""
    total = 0.0
    for url in deployment.get_entry_urls():
        async with deployment.http.get(url + '/metrics') as response:
            text = await response.text()
        pattern = rf'^clementineline_{name}{{[^}}]*}} (\S+)'
        for value in re.findall(pattern, text, re.MULTILINE):
            total += float(value)
    return total


async def run_retries(seed):
    """Measure attempts while one endpoint fails half of its calls."""
    async with start_fleet() as deployment:
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
    """Measure hits while conversations share prompts beyond one cache."""
    draw = random.Random(f'{seed}/prefix')
    # 60 conversations of 16 blocks: 960 blocks, and 6 caches of 192.
    beginnings = [f'{number:03d} ' * 256 for number in range(60)]
    arrivals = openloop.build_arrivals(seed, 60, 15.0)
    requests = []
    for at_s in arrivals:
        beginning = draw.choice(beginnings)
        prompt = f'{beginning}{draw.getrandbits(48):012x} len=24'
        requests.append(openloop.Request(at_s, prompt, MODEL, 'turn'))
    blocks = len(beginnings[0]) // 64
    perfect = 1 - len(beginnings) / len(requests)
    found = {}
    for name, policy in {'ours': None, **BASELINES}.items():
        async with start_fleet(
            policy, engine_options=('--cache-blocks', '192')
        ) as deployment:
            await openloop.send_open_loop(
                deployment.get_entry_urls(), requests
            )
            found[name] = await _read_cache(deployment, blocks)
    hits, busiest = found['ours']
    return [
        Figure('prefix_hit_rate', hits),
        Figure('prefix_perfect_hit_rate', perfect),
        Figure('prefix_to_perfect', hits / perfect, 0.9, True),
        Figure('prefix_busiest_to_mean', busiest, 1.25),
        Figure('prefix_round_robin_hit_rate', found['round_robin'][0]),
        Figure(
            'prefix_least_outstanding_hit_rate',
            found['least_outstanding'][0],
        ),
    ]


async def _read_cache(deployment, blocks):
    """Return the hit rate and the busiest engine's load over the mean."""
    hits = lookups = 0
    loads = []
    for name, plan in deployment.endpoint_specs.items():
        if plan.kind != 'engine':
            continue
        url = deployment.get_url(f'{name}-endpoint') + '/counts'
        async with deployment.http.get(url) as response:
            counts = await response.json()
        hits += counts['cache_hits']
        lookups += counts['cache_lookups']
        loads.append(counts['cache_lookups'] / blocks)
    return hits / lookups, max(loads) * len(loads) / sum(loads)


async def _sample_shares(deployment, trainers, duration_s):
    """Return slots of each trainer over time, as all sidecars report."""
    found = []
    loop = asyncio.get_running_loop()
    started = loop.time()
    while loop.time() - started < duration_s:
        counts = dict.fromkeys(trainers, 0)
        for name, plan in deployment.endpoint_specs.items():
            if plan.kind != 'engine':
                continue
            url = deployment.get_url(f'{name}-http') + '/metrics'
            async with deployment.http.get(url) as response:
                text = await response.text()
            for trainer in trainers:
                pattern = rf'running{{[^}}]*share="{trainer}"}} (\S+)'
                for value in re.findall(pattern, text):
                    counts[trainer] += float(value)
        found.append((loop.time() - started, counts))
        await asyncio.sleep(0.1)
    return found


async def _submit_long_step(deployment, trainer, step):
    """Submit a step that keeps its trainer's share busy."""
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
    """Measure shares of 3:1, lent while one trainer is idle."""
    trainers = ('heavy', 'light')
    intent = {
        'trainers': {
            'heavy': {'model': MODEL, 'weight': 3},
            'light': {'model': MODEL, 'weight': 1},
        }
    }
    async with start_fleet() as deployment:
        await deployment.put_in_force(intent)
        await _submit_long_step(deployment, 'light', f'step-{seed}')
        alone = await _sample_shares(deployment, trainers, 3.0)
        await _submit_long_step(deployment, 'heavy', f'step-{seed}')
        both = await _sample_shares(deployment, trainers, 6.0)
    slots = ENGINES * (SLOTS - 1)
    lent = max(counts['light'] for _, counts in alone) / slots
    back = next(
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
        Figure('fairness_lent_share', lent, 0.9, True),
        Figure('fairness_taken_back_s', back, 2.0),
        Figure(
            'fairness_off_three_to_one',
            abs(heavy / max(light, 1) / 3 - 1),
            0.1,
        ),
    ]
