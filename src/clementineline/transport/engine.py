"""Client of a model engine's HTTP API.

Generations use the engine's OpenAI-compatible streams; weights versions are
read, staged and activated under ``/v1/weights``.
"""

import asyncio
import dataclasses
import json

import aiohttp

from clementineline import errors
from clementineline.transport import statuses

__all__ = ['EngineChunk', 'EngineClient', 'EngineError', 'EngineWeights']

CONTROL_TIMEOUT_S = 2.0
STAGE_TIMEOUT_S = 30.0
READ_BUFFER_BYTES = 1024 * 1024


class EngineError(errors.ClementinelineError):
    """An engine failed or refused a call.

    :param sent: whether the engine may have run the call
    """

    def __init__(self, message, sent):
        super().__init__(message)
        self.sent = sent


@dataclasses.dataclass(frozen=True, slots=True)
class EngineChunk:
    """A piece of a generation, as the engine streams it.

    :param text: generated text
    :param tokens: number of tokens in the text
    :param version: weights version that generated the text, or None if the
        engine does not report one
    :param finish_reason: why the generation ended; '' if it continues
    """

    text: str
    tokens: int
    version: int | None
    finish_reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineWeights:
    """Weights versions that an engine reports.

    :param active: version that the engine generates with
    :param staged: version that is ready to be activated; -1 for none
    """

    active: int
    staged: int


def _decode_event(data):
    """Decode one server-sent event of an engine."""
    try:
        event = json.loads(data)
        choice = event['choices'][0]
        delta = choice.get('delta')
        text = choice.get('text') if delta is None else delta.get('content')
        return EngineChunk(
            text or '',
            int(event.get('tokens', 1 if text else 0)),
            event.get('weights_version'),
            choice.get('finish_reason') or '',
        )
    except (ValueError, LookupError, TypeError, AttributeError) as error:
        raise EngineError(f'malformed event: {error!r}', True) from error


class EngineClient:
    """Client of one engine.

    :param url: root of the engine's HTTP API
    :param http: an :class:`aiohttp.ClientSession`
    """

    __slots__ = ('_http', '_url')

    def __init__(self, url, http):
        self._url = url.rstrip('/')
        self._http = http

    async def generate(self, request_id, path, body, resume_text, priority):
        """Run a generation.

        :param request_id: id of the request, by which it can be cancelled
        :param path: ``completions`` or ``chat/completions``
        :param body: the caller's JSON body, in bytes
        :param resume_text: text that an earlier attempt generated; the engine
            continues it
        :param priority: requests of higher priority run first
        :returns: async iterator of :class:`EngineChunk`; the last one has a
            finish reason
        :raises EngineError: if the engine fails or refuses
        """
        fields = json.loads(body)
        fields['stream'] = True
        fields['request_id'] = request_id
        fields['priority'] = priority
        if resume_text:
            fields['resume_text'] = resume_text
        try:
            async with self._http.post(
                f'{self._url}/v1/{path}',
                json=fields,
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=2.0),
                read_bufsize=READ_BUFFER_BYTES,
            ) as response:
                if response.status != 200:
                    text = await response.text()
                    raise EngineError(
                        f'status {response.status}: {text[:200]}',
                        not statuses.is_refusal(response.status),
                    )
                async for chunk in self._read_stream(response):
                    yield chunk
        except aiohttp.ClientConnectorError as error:
            raise EngineError(repr(error), False) from error
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            raise EngineError(repr(error), True) from error

    async def _read_stream(self, response):
        async for line in response.content:
            if not line.startswith(b'data: '):
                continue
            data = line[6:].strip()
            if data == b'[DONE]':
                return
            yield _decode_event(data)
        raise EngineError('the stream ended before its end mark', True)

    async def read_weights(self):
        """Return the engine's :class:`EngineWeights`.

        :raises EngineError: if the engine fails or does not respond
        """
        fields = await self._control('GET', '/v1/weights')
        return EngineWeights(fields['active'], fields['staged'])

    async def order_weights(self, action, model, version, fence):
        """Order the engine to stage or activate weights.

        :param action: ``stage`` or ``activate``
        :param model: the model's name
        :param version: weights version
        :param fence: fencing token of the leader that sends the order
        :raises EngineError: if the engine refuses or fails
        """
        timeout_s = CONTROL_TIMEOUT_S
        if action == 'stage':
            timeout_s = STAGE_TIMEOUT_S
        fields = {'model': model, 'version': version, 'fence': fence}
        await self._control('POST', f'/v1/weights/{action}', fields, timeout_s)

    async def cancel(self, request_id):
        """Ask the engine to stop a generation."""
        await self._control('POST', '/v1/cancel', {'request_id': request_id})

    async def _control(
        self, method, path, fields=None, timeout_s=CONTROL_TIMEOUT_S
    ):
        try:
            async with self._http.request(
                method,
                self._url + path,
                json=fields,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                body = await response.json()
                if response.status != 200:
                    raise EngineError(
                        f'{path}: status {response.status}: {body}', True
                    )
                return body
        except (
            aiohttp.ClientError,
            OSError,
            ValueError,
            asyncio.TimeoutError,
        ) as error:
            raise EngineError(f'{path}: {error!r}', True) from error
