"""Callers of an experiment, which send live generations and orders."""

import asyncio
import json
import time
import uuid

import aiohttp

from clementineline.standins import engine

__all__ = ['read_stream', 'send_generations', 'send_orders']

CALL_TIMEOUT_S = 30.0
ORDER_ATTEMPTS_MAX = 40
ORDER_RETRY_DELAY_S = 0.25


async def read_stream(response):
    """Read a streamed generation.

    :returns: ``(text, complete)``; ``complete`` is whether the final
        ``[DONE]`` event arrived
    """
    parts = []
    complete = False
    async for line in response.content:
        if not line.startswith(b'data: '):
            continue
        data = line[6:].strip()
        if data == b'[DONE]':
            complete = True
            continue
        event = json.loads(data)
        if 'error' in event:
            return ''.join(parts), False
        choice = event['choices'][0]
        delta = choice.get('delta')
        text = choice.get('text') if delta is None else delta.get('content')
        parts.append(text or '')
    return ''.join(parts), complete


async def _send_generation(http, url, recorder, model, number):
    prompt = f'live {model} {uuid.uuid4().hex} len={16 + number % 48}'
    body = {'model': model, 'prompt': prompt, 'stream': number % 2 == 0}
    started = time.monotonic()
    try:
        async with http.post(f'{url}/v1/completions', json=body) as response:
            request_id = response.headers.get('Clementineline-Request-Id')
            if response.status != 200:
                verdict = response.headers.get('Clementineline-Verdict')
                recorder.record_live_request(f'refused {verdict}')
                return
            if body['stream']:
                text, complete = await read_stream(response)
            else:
                fields = await response.json()
                text, complete = fields['choices'][0]['text'], True
    except (aiohttp.ClientError, OSError, TimeoutError):
        recorder.record_live_request('no answer')
        return
    duration = time.monotonic() - started
    if not complete:
        recorder.record_live_request('interrupted, said so')
        return
    recorder.check_response(
        request_id, text, engine.build_text(prompt, 16 + number % 48)
    )
    recorder.record_live_request('answered', duration)


async def send_generations(urls, recorder, model, interval_s, stopping):
    """Send live generations at a fixed rate until an event is set.

    :param urls: base URLs of entries, used in turn
    :param recorder: :class:`~checks.OutcomeRecorder` of the outcomes
    :param interval_s: time between two requests, in seconds
    :param stopping: :class:`asyncio.Event` that ends the load
    """
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    tasks = []
    async with aiohttp.ClientSession(timeout=timeout) as http:
        number = 0
        while not stopping.is_set():
            url = urls[number % len(urls)]
            tasks.append(
                asyncio.create_task(
                    _send_generation(http, url, recorder, model, number)
                )
            )
            number += 1
            await asyncio.sleep(interval_s)
        await asyncio.gather(*tasks)


async def _send_order(http, urls, recorder, service, number):
    """Send an order, and retry it with its idempotency key until answered.

    Every fifth order has no key and is sent only once.
    """
    key = uuid.uuid4().hex
    order = f'{service} order {key}'
    if number % 5 == 4:
        await _send_order_without_key(
            http, urls, recorder, service, order, number
        )
        return
    outcome = 'not run'
    for attempt in range(ORDER_ATTEMPTS_MAX):
        url = urls[(number + attempt) % len(urls)]
        try:
            async with http.post(
                f'{url}/services/{service}/orders',
                data=order,
                headers={'Idempotency-Key': key},
            ) as response:
                verdict = response.headers.get('Clementineline-Verdict')
                body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            verdict = 'no answer'
        if verdict == 'answered':
            outcome = verdict
            if json.loads(body)['body'] != order:
                recorder.record_violation(f'order {key}: got another answer')
            break
        recorder.record_order_retry(key, verdict)
        if verdict != 'not-run':
            outcome = 'unknown'
        await asyncio.sleep(ORDER_RETRY_DELAY_S)
    recorder.record_order(key, order, outcome)


async def _send_order_without_key(
    http, urls, recorder, service, order, number
):
    url = urls[number % len(urls)]
    outcome = 'unknown'
    try:
        async with http.post(
            f'{url}/services/{service}/orders', data=order
        ) as response:
            verdict = response.headers.get('Clementineline-Verdict')
            await response.read()
            if verdict == 'answered':
                outcome = 'answered'
            elif verdict == 'not-run':
                outcome = 'not run'
    except (aiohttp.ClientError, OSError, TimeoutError):
        pass
    recorder.record_order(order, order, outcome)


async def send_orders(urls, recorder, service, interval_s, stopping):
    """Send orders at a fixed rate until an event is set.

    :param urls: base URLs of entries; a retry goes to the next one
    :param recorder: :class:`~checks.OutcomeRecorder` of the outcomes
    :param interval_s: time between two orders, in seconds
    :param stopping: :class:`asyncio.Event` that ends the load
    """
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    tasks = []
    async with aiohttp.ClientSession(timeout=timeout) as http:
        number = 0
        while not stopping.is_set():
            tasks.append(
                asyncio.create_task(
                    _send_order(http, urls, recorder, service, number)
                )
            )
            number += 1
            await asyncio.sleep(interval_s)
        await asyncio.gather(*tasks)
