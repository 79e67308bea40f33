"""Callers of an experiment: live generations and orders."""

import asyncio
import json
import time
import uuid

import aiohttp

from clementineline.standins import engine

__all__ = ['read_stream', 'send_generations', 'send_orders']

CALL_TIMEOUT_S = 30.0
REPEATS_MAX = 40
REPEAT_WAIT_S = 0.25


async def read_stream(response):
    """Read a streamed generation.

    :returns: ``(text, ended)``; ended is whether the end mark arrived
    """
    parts = []
    ended = False
    async for line in response.content:
        if not line.startswith(b'data: '):
            continue
        data = line[6:].strip()
        if data == b'[DONE]':
            ended = True
            continue
        event = json.loads(data)
        if 'error' in event:
            return ''.join(parts), False
        choice = event['choices'][0]
        delta = choice.get('delta')
        text = choice.get('text') if delta is None else delta.get('content')
        parts.append(text or '')
    return ''.join(parts), ended


async def _send_generation(http, url, ledger, model, number):
    prompt = f'live {model} {uuid.uuid4().hex} len={16 + number % 48}'
    body = {'model': model, 'prompt': prompt, 'stream': number % 2 == 0}
    started = time.monotonic()
    try:
        async with http.post(f'{url}/v1/completions', json=body) as response:
            request_id = response.headers.get('Clementineline-Request-Id')
            if response.status != 200:
                verdict = response.headers.get('Clementineline-Verdict')
                ledger.note_live(f'refused {verdict}')
                return
            if body['stream']:
                text, ended = await read_stream(response)
            else:
                answer = await response.json()
                text, ended = answer['choices'][0]['text'], True
    except (aiohttp.ClientError, OSError, TimeoutError):
        ledger.note_live('no answer')
        return
    duration = time.monotonic() - started
    if not ended:
        ledger.note_live('interrupted, said so')
        return
    ledger.note_answer(
        request_id, text, engine.build_text(prompt, 16 + number % 48)
    )
    ledger.note_live('answered', duration)


async def send_generations(urls, ledger, model, interval_s, stopping):
    """Send live generations at a fixed rate until told to stop.

    :param urls: HTTP roots of entries, used in turn
    :param ledger: :class:`~checks.Ledger` that gets the outcomes
    """
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    tasks = []
    async with aiohttp.ClientSession(timeout=timeout) as http:
        number = 0
        while not stopping.is_set():
            url = urls[number % len(urls)]
            tasks.append(
                asyncio.create_task(
                    _send_generation(http, url, ledger, model, number)
                )
            )
            number += 1
            await asyncio.sleep(interval_s)
        await asyncio.gather(*tasks)


async def _send_order(http, urls, ledger, service, number):
    """Place one order, and repeat it with its key until it is settled.

    Each fifth order has no key and is placed only once.
    """
    key = uuid.uuid4().hex
    order = f'{service} order {key}'
    if number % 5 == 4:
        await _send_order_once(http, urls, ledger, service, order, number)
        return
    outcome = 'not run'
    for repeat in range(REPEATS_MAX):
        url = urls[(number + repeat) % len(urls)]
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
                ledger.break_promise(f'order {key}: got another answer')
            break
        ledger.note_order_attempt(key, verdict)
        if verdict != 'not-run':
            outcome = 'unknown'
        await asyncio.sleep(REPEAT_WAIT_S)
    ledger.note_order(key, order, outcome)


async def _send_order_once(http, urls, ledger, service, order, number):
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
    ledger.note_order(order, order, outcome)


async def send_orders(urls, ledger, service, interval_s, stopping):
    """Place orders at a fixed rate until told to stop.

    :param urls: HTTP roots of entries; a repeat goes to another one
    """
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    tasks = []
    async with aiohttp.ClientSession(timeout=timeout) as http:
        number = 0
        while not stopping.is_set():
            tasks.append(
                asyncio.create_task(
                    _send_order(http, urls, ledger, service, number)
                )
            )
            number += 1
            await asyncio.sleep(interval_s)
        await asyncio.gather(*tasks)
