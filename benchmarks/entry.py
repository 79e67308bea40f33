"""Benchmark of an entry: memory, added latency and relay throughput.

``python benchmarks/entry.py`` starts the processes on loopback, measures them
and prints one line for each figure: ``name value bound ok|short``, where
``short`` marks a figure that misses its bound.
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

SERVICE_TIME_S = 0.010
CALLS_PER_S = 200
DURATION_S = 10.0
SESSION_COUNT = 40
RELAY_REQUESTS_PER_S = 170
# Load of the relay benchmark; also the lower bound of its throughput at a full
# core.
RELAY_TOKENS_PER_S = 42_000
TOKENS_PER_REQUEST = RELAY_TOKENS_PER_S // RELAY_REQUESTS_PER_S
STREAM_DURATION_S = 1.0


def build_deployment(folder, engines):
    """Return a deployment of one entry, plain services and engines.

    :param folder: folder for the files of the processes
    :param engines: number of engines
    """
    endpoint_specs = []
    for number in range(2):
        endpoint_specs.append(
            deployments.EndpointSpec(
                f'desk-{number + 1}',
                'service',
                'desk',
                'walvis-a',
                ('--work-s', str(SERVICE_TIME_S)),
                slots=64,
            )
        )
    step_s = 0.05
    tokens_per_step = max(
        1, round(TOKENS_PER_REQUEST * step_s / STREAM_DURATION_S)
    )
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
                    str(tokens_per_step),
                ),
                slots=64,
            )
        )
    return deployments.Deployment(folder, endpoint_specs, entries=1)


def build_calls(seed):
    """Return calls at random times, at ``CALLS_PER_S`` on average."""
    arrivals = openloop.build_arrivals(seed, CALLS_PER_S, DURATION_S)
    return [openloop.Request(at_s, '', 'desk', 'call') for at_s in arrivals]


async def send_direct(deployment, seed):
    """Send the calls of a seed to the stand-ins, without the entry."""
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
    """Measure the latency that an entry adds to a call."""
    direct = await send_direct(deployment, 1)
    via_entry = await openloop.send_open_loop(
        deployment.get_entry_urls(), build_calls(1)
    )
    call = via_entry['call']
    added_s = call.get_percentile_s(50) - direct.get_percentile_s(50)
    return [
        scenarios.Figure(
            'call_direct_p50_ms', direct.get_percentile_s(50) * 1e3
        ),
        scenarios.Figure(
            'call_through_p50_ms', call.get_percentile_s(50) * 1e3
        ),
        scenarios.Figure('call_added_p50_ms', added_s * 1e3, 3.0),
        scenarios.Figure(
            'call_through_p99_ms', call.get_percentile_s(99) * 1e3
        ),
        scenarios.Figure('call_failed', call.failed + call.refused, 0),
    ]


async def measure_relay(deployment):
    """Measure the relay throughput of an entry and its CPU time."""
    pid = deployment.group.get_pid('entry-1')
    requests = []
    for number, at_s in enumerate(
        openloop.build_arrivals(2, RELAY_REQUESTS_PER_S, DURATION_S)
    ):
        requests.append(
            openloop.Request(
                at_s,
                f'relay {number} len={TOKENS_PER_REQUEST}',
                'kiln-lm',
                'stream',
            )
        )
    cpu_before_s = processes.read_cpu_s(pid)
    started = time.monotonic()
    outcomes = await openloop.send_open_loop(
        deployment.get_entry_urls(), requests
    )
    elapsed_s = time.monotonic() - started
    cpu_s = processes.read_cpu_s(pid) - cpu_before_s
    stream = outcomes['stream']
    requests_per_s = stream.answered / elapsed_s
    cpu_percent = 100 * cpu_s / elapsed_s
    return [
        scenarios.Figure('relay_requests_per_s', requests_per_s),
        scenarios.Figure(
            'relay_tokens_per_s', requests_per_s * TOKENS_PER_REQUEST
        ),
        scenarios.Figure('relay_entry_core_percent', cpu_percent, 100.0),
        scenarios.Figure(
            'relay_tokens_per_s_at_a_full_core',
            requests_per_s * TOKENS_PER_REQUEST * 100 / cpu_percent,
            RELAY_TOKENS_PER_S,
            True,
        ),
        scenarios.Figure(
            'relay_added_p99_ms',
            (stream.get_percentile_s(99) - STREAM_DURATION_S) * 1e3,
        ),
        scenarios.Figure('relay_failed', stream.failed + stream.refused, 0),
    ]


async def measure_memory(deployment):
    """Measure the resident memory of an idle sidecar and an idle entry.

    The entry has ``SESSION_COUNT`` sessions, most of them to sidecars that
    run in this process.
    """
    sidecar_rss_mb = processes.read_rss_mb(deployment.group.get_pid('desk-1'))
    log = slopes.build_null_logger()
    sidecars = await slopes.start_sidecars(
        SESSION_COUNT - len(deployment.endpoint_specs), log, links.LinkTiming()
    )
    address = frames.Address('127.0.0.1', deployment.ports['entry-1'])
    for sidecar in sidecars:
        await links.greet_once(address, sidecar.member)

    def are_all_ready(status):
        states = [item['state'] for item in status['endpoints']]
        return states.count('ready') == SESSION_COUNT

    await deployment.wait_for_status(are_all_ready)
    entry_rss_mb = processes.read_rss_mb(deployment.group.get_pid('entry-1'))
    for sidecar in sidecars:
        await sidecar.listener.stop()
    return [
        scenarios.Figure('sidecar_idle_rss_mb', sidecar_rss_mb, 64.0),
        scenarios.Figure(
            f'entry_rss_{SESSION_COUNT}_sessions_mb', entry_rss_mb, 96.0
        ),
    ]


async def run():
    """Run all measurements and return their figures."""
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
    """Run the benchmark and print its figures."""
    for figure in asyncio.run(run()):
        print(bench.format_figure(figure))


if __name__ == '__main__':
    main()
