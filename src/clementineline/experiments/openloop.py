"""Open-loop load: requests are sent on schedule, regardless of responses."""

import asyncio
import dataclasses
import json
import random
import time

import aiohttp
from hdrh import histogram

from clementineline.experiments import load

__all__ = ['Outcomes', 'Request', 'build_arrivals', 'send_open_loop']

LATENCY_MIN_US = 1
LATENCY_MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 3
REQUEST_TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One scheduled request to a model or service.

    :param at_s: time after the start at which the request is sent, in
        seconds
    :param prompt: prompt of a generation, or '' for a call to a service
    :param model: model of a generation, or service of a call
    :param kind: name of the :class:`Outcomes` that count the request
    :param headers: HTTP headers as ``(name, value)`` pairs
    """

    at_s: float
    prompt: str
    model: str
    kind: str
    headers: tuple = ()


class Outcomes:
    """Latencies and counts of outcomes of one kind of request."""

    def __init__(self):
        self._latencies = histogram.HdrHistogram(
            LATENCY_MIN_US, LATENCY_MAX_US, SIGNIFICANT_DIGITS
        )
        self._refusals = histogram.HdrHistogram(
            LATENCY_MIN_US, LATENCY_MAX_US, SIGNIFICANT_DIGITS
        )
        self.sent = 0
        self.answered = 0
        self.refused = 0
        self.refused_with_retry_after = 0
        self.failed = 0
        self.answered_at = []

    def record_response(self, latency_s, at_s):
        """Count a complete response.

        :param latency_s: time from request to response, in seconds
        :param at_s: time of the response after the start, in seconds
        """
        self.answered += 1
        self.answered_at.append((at_s, latency_s))
        self._latencies.record_value(max(1, int(latency_s * 1e6)))

    def record_refusal(self, latency_s, retry_after):
        """Count a refusal with the verdict ``not-run``.

        :param latency_s: time from request to refusal, in seconds
        :param retry_after: whether it had a ``Retry-After`` header
        """
        self.refused += 1
        self.refused_with_retry_after += bool(retry_after)
        self._refusals.record_value(max(1, int(latency_s * 1e6)))

    def get_percentile_s(self, percentile):
        """Return a percentile of the latencies, in seconds."""
        return self._latencies.get_value_at_percentile(percentile) / 1e6

    def get_refusal_percentile_s(self, percentile):
        """Return a percentile of the latencies of refusals, in seconds."""
        return self._refusals.get_value_at_percentile(percentile) / 1e6


def build_arrivals(seed, rate, duration_s, start_s=0.0):
    """Return Poisson arrival times.

    :param rate: mean number of requests per second
    :param duration_s: length of the period with arrivals, in seconds
    :param start_s: start of that period, in seconds
    :returns: sorted list of times in seconds
    """
    rng = random.Random(seed)
    times = []
    now = start_s
    while True:
        now += rng.expovariate(rate)
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
        outcomes.record_refusal(now - sent_at, verdict.endswith('retry'))
    else:
        outcomes.failed += 1


async def _send_generation(http, url, request):
    body = {'model': request.model, 'prompt': request.prompt, 'stream': True}
    async with http.post(
        f'{url}/v1/completions', json=body, headers=dict(request.headers)
    ) as response:
        if response.status != 200:
            return _read_refusal(response)
        _, complete = await load.read_stream(response)
        return 'answered' if complete else 'interrupted'


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
    """Send requests at their times and wait for all responses.

    :param urls: base URLs of entries, used in turn
    :param requests: list of :class:`Request`
    :returns: dict from kind to :class:`Outcomes`
    """
    outcomes_by_kind = {}
    tasks = []
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
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
            outcomes = outcomes_by_kind.setdefault(request.kind, Outcomes())
            url = urls[number % len(urls)]
            tasks.append(
                asyncio.create_task(
                    _send(http, url, request, outcomes, started)
                )
            )
        await asyncio.gather(*tasks)
    return outcomes_by_kind


def format_json(value):
    """Return a value as indented JSON."""
    return json.dumps(value, indent=1, sort_keys=True)
