"""What an entry costs: memory, added latency, relayed requests and tokens.

``python benchmarks/entry.py`` starts real processes on loopback and ends with
one line for each figure: ``name value bound ok|short``.
"""

import asyncio
import pathlib
import shutil
import tempfile
import time

from clementineline.experiments import bench
from clementineline.experiments import deployments
from clementineline.experiments import openloop
from clementineline.experiments import processes
from clementineline.experiments import scenarios
from clementineline.experiments import slopes
from clementineline.protocol import links
from clementineline.transport import frames

__all__ = ['main']

CALL_S = 0.010
CALLS_PER_S = 200
DURATION_S = 10.0
SESSIONS = 40
RELAY_REQUESTS_PER_S = 170
RELAY_TOKENS_PER_S = 42_000
RELAY_TOKENS = RELAY_TOKENS_PER_S // RELAY_REQUESTS_PER_S
STREAM_S = 1.0


def build_deployment(folder, engines):
    """Return one entry with plain services and engines."""
    endpoint_specs = []
    for number in range(2):
        endpoint_specs.append(
            deployments.EndpointSpec(
                f'desk-{number + 1}',
                'service',
                'desk',
                'walvis-a',
                ('--work-s', str(CALL_S)),
                slots=64,
            )
        )
    step_s = 0.05
    per_step = max(1, round(RELAY_TOKENS * step_s / STREAM_S))
    for number in range(engines):
        endpoint_specs.append(
            deployments.EndpointSpec(
                f'kiln-{number + 1}',
                'engine',
                'kiln-lm',
                'walvis-a',
                (
                    '--step-s',
                    str(step_s),
                    '--tokens-per-step',
                    str(per_step),
                ),
                slots=64,
            )
        )
    return deployments.Deployment(folder, endpoint_specs, entries=1)


def build_calls(seed):
    """Return the calls of one measurement."""
    arrivals = openloop.build_arrivals(seed, CALLS_PER_S, DURATION_S)
    return [openloop.Request(at_s, '', 'desk', 'call') for at_s in arrivals]


async def send_direct(deployment, seed):
    """Send the same calls straight to the stand-ins."""
    outcomes = openloop.Outcomes()
    started = time.monotonic()

    async def send(number, request):
        url = deployment.get_url(f'desk-{number % 2 + 1}-endpoint')
        sent_at = time.monotonic()
        async with deployment.http.get(f'{url}/price') as response:
            await response.read()
        outcomes.record_response(time.monotonic() - sent_at, 0.0)

    tasks = []
    for number, request in enumerate(build_calls(seed)):
        delay_s = started + request.at_s - time.monotonic()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        tasks.append(asyncio.create_task(send(number, request)))
    await asyncio.gather(*tasks)
    return outcomes


async def measure_calls(deployment):
    """Measure what an entry adds to a call."""
    direct = await send_direct(deployment, 1)
    through = await openloop.send_open_loop(
        deployment.get_entry_urls(), build_calls(1)
    )
    call = through['call']
    added = call.get_percentile_s(50) - direct.get_percentile_s(50)
    return [
        scenarios.Figure(
            'call_direct_p50_ms', direct.get_percentile_s(50) * 1e3
        ),
        scenarios.Figure(
            'call_through_p50_ms', call.get_percentile_s(50) * 1e3
        ),
        scenarios.Figure('call_added_p50_ms', added * 1e3, 3.0),
        scenarios.Figure(
            'call_through_p99_ms', call.get_percentile_s(99) * 1e3
        ),
        scenarios.Figure('call_failed', call.failed + call.refused, 0),
    ]


async def measure_relay(deployment):
    """Measure a full entry: requests, tokens and its processor time."""
    pid = deployment.group.get_pid('entry-1')
    requests = []
    for number, at_s in enumerate(
        openloop.build_arrivals(2, RELAY_REQUESTS_PER_S, DURATION_S)
    ):
        requests.append(
            openloop.Request(
                at_s,
                f'relay {number} len={RELAY_TOKENS}',
                'kiln-lm',
                'stream',
            )
        )
    before = processes.read_cpu_s(pid)
    started = time.monotonic()
    outcomes = await openloop.send_open_loop(
        deployment.get_entry_urls(), requests
    )
    took = time.monotonic() - started
    used = processes.read_cpu_s(pid) - before
    stream = outcomes['stream']
    rate = stream.answered / took
    share = 100 * used / took
    return [
        scenarios.Figure('relay_requests_per_s', rate),
        scenarios.Figure('relay_tokens_per_s', rate * RELAY_TOKENS),
        scenarios.Figure('relay_entry_core_percent', share, 100.0),
        scenarios.Figure(
            'relay_tokens_per_s_at_a_full_core',
            rate * RELAY_TOKENS * 100 / share,
            RELAY_TOKENS_PER_S,
            True,
        ),
        scenarios.Figure(
            'relay_added_p99_ms',
            (stream.get_percentile_s(99) - STREAM_S) * 1e3,
        ),
        scenarios.Figure('relay_failed', stream.failed + stream.refused, 0),
    ]


async def measure_memory(deployment):
    """Measure resident memory of an idle sidecar and entry."""
    sidecar = processes.read_rss_mb(deployment.group.get_pid('desk-1'))
    log = slopes.build_null_logger()
    fakes = await slopes.start_sidecars(
        SESSIONS - len(deployment.endpoint_specs), log, links.LinkTiming()
    )
    entry = frames.Address('127.0.0.1', deployment.ports['entry-1'])
    for fake in fakes:
        await links.greet_once(entry, fake.member)

    def is_connected(status):
        states = [item['state'] for item in status['endpoints']]
        return states.count('ready') == SESSIONS

    await deployment.wait_for_status(is_connected)
    rss = processes.read_rss_mb(deployment.group.get_pid('entry-1'))
    for fake in fakes:
        await fake.listener.stop()
    return [
        scenarios.Figure('sidecar_idle_rss_mb', sidecar, 64.0),
        scenarios.Figure(f'entry_rss_{SESSIONS}_sessions_mb', rss, 96.0),
    ]


async def run():
    """Run all measurements; return their figures."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix='clementineline-entry-'))
    deployment = build_deployment(folder, engines=4)
    try:
        await deployment.start()
        await deployment.wait_until_ready()
        figures = await measure_memory(deployment)
        figures += await measure_calls(deployment)
        figures += await measure_relay(deployment)
    finally:
        await deployment.stop()
        shutil.rmtree(folder)
    return figures


def main():
    """Measure and print."""
    for figure in asyncio.run(run()):
        print(bench.format_figure(figure))


if __name__ == '__main__':
    main()
