"""Open-loop load: requests leave on time, however late answers are."""

import asyncio
import dataclasses
import json
import random
import time

import aiohttp
from hdrh import histogram

from clementineline.experiments import load

__all__ = ['Outcomes', 'Request', 'build_arrivals', 'send_open_loop']

LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 3
TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of an open loop.

    :param at_s: when it leaves after the start, in seconds
    :param prompt: prompt of a generation, or '' for a call
    :param model: model of a generation, or service of a call
    :param kind: name under which its outcome is counted
    :param headers: HTTP headers
    """

    at_s: float
    prompt: str
    model: str
    kind: str
    headers: tuple = ()


class Outcomes:
    """Latencies and refusals of one kind of request."""

    def __init__(self):
        self._latencies = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self._refusals = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self.sent = 0
        self.answered = 0
        self.refused = 0
        self.refused_with_retry_after = 0
        self.failed = 0
        self.answered_at = []

    def record_response(self, latency_s, at_s):
        """Count an answer."""
        self.answered += 1
        self.answered_at.append((at_s, latency_s))
        self._latencies.record_value(max(1, int(latency_s * 1e6)))

    def note_refusal(self, latency_s, retry_after):
        """Count a refusal as not run."""
        self.refused += 1
        self.refused_with_retry_after += bool(retry_after)
        self._refusals.record_value(max(1, int(latency_s * 1e6)))

    def get_percentile_s(self, percentile):
        """Return a percentile of the latencies, in seconds."""
        return self._latencies.get_value_at_percentile(percentile) / 1e6

    def get_refusal_percentile_s(self, percentile):
        """Return a percentile of the refusals' latencies, in seconds."""
        return self._refusals.get_value_at_percentile(percentile) / 1e6


def build_arrivals(seed, rate, duration_s, start_s=0.0):
    """Return Poisson arrival times.

    :param rate: mean requests a second
    :returns: list of times in seconds
    """
    draw = random.Random(seed)
    times = []
    now = start_s
    while True:
        now += draw.expovariate(rate)
        if now >= start_s + duration_s:
            return times
        times.append(now)


async def _send(http, url, request, outcomes, started):
    outcomes.sent += 1
    sent_at = time.monotonic()
    try:
        if request.prompt:
            verdict = await _send_generation(http, url, request)
        else:
            verdict = await _send_call(http, url, request)
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
        outcomes.failed += 1
        return
    now = time.monotonic()
    if verdict == 'answered':
        outcomes.record_response(now - sent_at, now - started)
    elif verdict.startswith('not-run'):
        outcomes.note_refusal(now - sent_at, verdict.endswith('retry'))
    else:
        outcomes.failed += 1


async def _send_generation(http, url, request):
    body = {'model': request.model, 'prompt': request.prompt, 'stream': True}
    async with http.post(
        f'{url}/v1/completions', json=body, headers=dict(request.headers)
    ) as response:
        if response.status != 200:
            return _read_refusal(response)
        _, ended = await load.read_stream(response)
        return 'answered' if ended else 'interrupted'


async def _send_call(http, url, request):
    async with http.get(
        f'{url}/services/{request.model}/price', headers=dict(request.headers)
    ) as response:
        await response.read()
        if response.headers.get('Clementineline-Verdict') == 'answered':
            return 'answered' if response.status < 500 else 'failed'
        return _read_refusal(response)


def _read_refusal(response):
    verdict = response.headers.get('Clementineline-Verdict', 'none')
    if 'Retry-After' in response.headers:
        return f'{verdict} retry'
    return verdict


async def send_open_loop(urls, requests):
    """Send requests at their times and wait for all answers.

    :param urls: HTTP roots of entries, used in turn
    :param requests: list of :class:`Request`
    :returns: dict from kind to :class:`Outcomes`
    """
    found = {}
    tasks = []
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        timeout=timeout, connector=connector
    ) as http:
        started = time.monotonic()
        for number, request in enumerate(
            sorted(requests, key=lambda item: item.at_s)
        ):
            delay_s = started + request.at_s - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            outcomes = found.setdefault(request.kind, Outcomes())
            url = urls[number % len(urls)]
            tasks.append(
                asyncio.create_task(
                    _send(http, url, request, outcomes, started)
                )
            )
        await asyncio.gather(*tasks)
    return found


def format_json(value):
    """Return a value as indented JSON."""
    return json.dumps(value, indent=1, sort_keys=True)
