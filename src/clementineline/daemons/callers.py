"""HTTP routes of callers: OpenAI-compatible generation and services."""

import contextlib
import hashlib
import time
import uuid

import msgspec
from starlette import responses
from starlette import routing

from clementineline.coordination import requests
from clementineline.daemons import answers
from clementineline import errors
from clementineline.protocol import messages
from clementineline.protocol import verdicts
from clementineline.state import configuration

__all__ = ['build_routes']

DEADLINE_HEADER = 'Clementineline-Deadline-S'
REQUEST_ID_HEADER = 'Clementineline-Request-Id'
# Headers of a service's response that are not copied: the HTTP server sets its
# own.
UNCOPIED_HEADERS = ('content-length', 'transfer-encoding', 'date', 'server')
SERVICE_METHODS = [
    'GET',
    'HEAD',
    'POST',
    'PUT',
    'PATCH',
    'DELETE',
    'OPTIONS',
]


class _GenerationFields(msgspec.Struct):
    """The fields of a generation request that the entry reads."""

    model: str
    prompt: str | list | None = None
    messages: list | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False


def build_routes(entry):
    """Build the callers' routes of an :class:`~entry.Entry`."""

    @answers.handle_errors
    async def serve_completions(request):
        return await _serve_generation(entry, request, 'completions')

    @answers.handle_errors
    async def serve_chat(request):
        return await _serve_generation(entry, request, 'chat/completions')

    @answers.handle_errors
    async def serve_service(request):
        return await _serve_service(entry, request)

    async def serve_models(request):
        models = []
        for pool in entry.router.get_pools():
            kind, name = pool.key
            if kind == 'engine' and pool.endpoints:
                models.append(
                    {
                        'id': name,
                        'object': 'model',
                        'created': 0,
                        'owned_by': 'clementineline',
                    }
                )
        return answers.build_json({'object': 'list', 'data': models})

    return [
        routing.Route('/v1/completions', serve_completions, methods=['POST']),
        routing.Route('/v1/chat/completions', serve_chat, methods=['POST']),
        routing.Route('/v1/models', serve_models),
        routing.Route(
            '/services/{service}/{path:path}',
            serve_service,
            methods=SERVICE_METHODS,
        ),
    ]


def _read_deadline(entry, request):
    """Return the monotonic time of the caller's deadline, or None."""
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds < 86400:
        raise errors.RequestError(
            400,
            f'{DEADLINE_HEADER}: got {text!r}, expected seconds above 0',
        )
    return entry.clock.now() + seconds


def _parse_generation(body):
    """Decode the body of a generation request."""
    try:
        fields = msgspec.json.decode(body, type=_GenerationFields)
    except msgspec.DecodeError as error:
        raise errors.RequestError(400, f'body: {error}') from None
    return fields


def _get_model_pool(entry, model):
    """Return the model's pool; raise if the model is unknown."""
    pool = entry.router.get_pool('engine', model)
    known = pool.endpoints or entry.configuration.get(f'model/{model}')
    if not known:
        entry.configuration.check_ready()
        raise errors.RequestError(
            404, f'model {model!r}: unknown; see GET /v1/models'
        )
    return pool


def _build_prompt(fields, path):
    """Return the prompt as one text.

    The keys for prefix affinity and length prediction are built from it.
    """
    if path == 'completions':
        if not isinstance(fields.prompt, str):
            raise errors.RequestError(400, 'body: $.prompt: expected a string')
        return fields.prompt
    if not fields.messages:
        raise errors.RequestError(
            400, 'body: $.messages: expected a list of messages'
        )
    return msgspec.json.encode(fields.messages).decode()


async def _serve_generation(entry, request, path):
    body = await answers.read_body(request, entry.settings.body_max_bytes)
    fields = _parse_generation(body)
    prompt = _build_prompt(fields, path)
    pool = _get_model_pool(entry, fields.model)
    deadline = _read_deadline(entry, request)
    request_id = f'g-{uuid.uuid4().hex[:16]}'
    refusal = _refuse_early(entry, pool, deadline, request_id)
    if refusal is not None:
        return answers.build_refusal(refusal)
    model = entry.configuration.get(f'model/{fields.model}')
    generation = requests.GenerateRequest(
        request_id,
        messages.Generate(fields.model, path, body),
        prompt_key=requests.build_prefix_key(prompt[-256:]),
        prefix_key=requests.build_prefix_key(prompt),
        limit=fields.max_completion_tokens or fields.max_tokens or 0,
        deadline=deadline,
        idempotent=model.idempotent if model else True,
    )
    answer_format = _AnswerFormat(request_id, fields.model, path)
    stream = entry.runner.generate(generation)
    if fields.stream:
        return await _serve_stream(stream, answer_format)
    return await _serve_complete(stream, answer_format)


def _refuse_early(entry, pool, deadline, request_id):
    """Refuse a request that cannot be served in time.

    :returns: a :class:`verdicts.NotRun`, or None if the request is admitted
    """
    if entry.router.count_waiting() >= entry.settings.waiting_max:
        refusal = verdicts.NotRun('too many requests wait')
    else:
        refusal = entry.runner.refuse_early(pool, deadline)
    if refusal is not None:
        entry.decisions.record('shed', request_id, reason=refusal.reason)
    return refusal


class _AnswerFormat:
    """Builds the events or the response of a request to the OpenAI API.

    :param request_id: id of the request
    :param model: name of the model
    :param path: ``completions`` or ``chat/completions``
    """

    __slots__ = ('chat', 'created', 'id', 'model')

    def __init__(self, request_id, model, path):
        self.id = request_id
        self.model = model
        self.chat = path == 'chat/completions'
        self.created = int(time.time())

    def build_event(self, text, finish_reason):
        """Return a server-sent event."""
        choice = {'index': 0, 'finish_reason': finish_reason}
        if self.chat:
            choice['delta'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
            choice['logprobs'] = None
        event = self._build_object(choice, '.chunk' if self.chat else '')
        return b'data: ' + msgspec.json.encode(event) + b'\n\n'

    def build_answer(self, text, tokens, finish_reason):
        """Return the response to a request that does not stream."""
        choice = {'index': 0, 'finish_reason': finish_reason}
        if self.chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
            choice['logprobs'] = None
        answer = self._build_object(choice, '')
        answer['usage'] = {
            'prompt_tokens': 0,
            'completion_tokens': tokens,
            'total_tokens': tokens,
        }
        return answer

    def _build_object(self, choice, suffix):
        kind = 'chat.completion' if self.chat else 'text_completion'
        return {
            'id': self.id,
            'object': kind + suffix,
            'created': self.created,
            'model': self.model,
            'choices': [choice],
        }


async def _serve_complete(stream, answer_format):
    """Respond once the generation is complete."""
    parts = []
    tokens = 0
    verdict = verdicts.NotRun('no attempt was possible')
    async with contextlib.aclosing(stream):
        async for event in stream:
            if isinstance(event, messages.Chunk):
                parts.append(event.text)
                tokens += event.tokens
                continue
            verdict = event
    if not isinstance(verdict, verdicts.Answered):
        return answers.build_refusal(verdict)
    headers = {
        answers.VERDICT_HEADER: verdicts.name_verdict(verdict),
        REQUEST_ID_HEADER: answer_format.id,
    }
    return answers.build_json(
        answer_format.build_answer(
            ''.join(parts), tokens, verdict.finish_reason
        ),
        headers=headers,
    )


async def _serve_stream(stream, answer_format):
    """Stream a generation as server-sent events.

    Waits for the first event, so that a refusal gets its HTTP status.
    """
    first = await anext(stream)
    if isinstance(first, verdicts.NotRun | verdicts.MayHaveRun):
        await stream.aclose()
        return answers.build_refusal(first)
    return responses.StreamingResponse(
        _stream_events(first, stream, answer_format),
        headers={
            REQUEST_ID_HEADER: answer_format.id,
            'Cache-Control': 'no-cache',
        },
        media_type='text/event-stream',
    )


async def _stream_events(first, stream, answer_format):
    async with contextlib.aclosing(stream):
        event = first
        while isinstance(event, messages.Chunk):
            yield answer_format.build_event(event.text, None)
            event = await anext(stream)
    if isinstance(event, verdicts.Answered):
        yield answer_format.build_event('', event.finish_reason or 'stop')
        yield b'data: [DONE]\n\n'
        return
    error = {
        'error': {
            'message': f'interrupted: {event.reason}',
            'type': 'api_error',
            'param': None,
            'code': verdicts.name_verdict(event).replace('-', '_'),
        }
    }
    yield b'data: ' + msgspec.json.encode(error) + b'\n\n'


async def _serve_service(entry, request):
    service = request.path_params['service']
    pool = entry.router.get_pool('service', service)
    config = entry.configuration.get(f'service/{service}')
    if not pool.endpoints and config is None:
        entry.configuration.check_ready()
        raise errors.RequestError(404, f'service {service!r}: unknown')
    config = config or configuration.ServiceConfig()
    deadline = _read_deadline(entry, request)
    body = await answers.read_body(request, entry.settings.body_max_bytes)
    path = _read_service_path(request, service)
    key = request.headers.get('Idempotency-Key')
    idempotent = request.method in config.idempotent_methods
    request_id = f's-{uuid.uuid4().hex[:16]}'
    refusal = _refuse_early(entry, pool, deadline, request_id)
    if refusal is not None:
        return answers.build_refusal(refusal)
    message = messages.Call(
        service,
        request.method,
        path,
        _read_headers(request),
        body,
        idempotent,
    )
    call = requests.CallRequest(request_id, message, deadline, config.hedge)
    if key is not None and not idempotent:
        digest = hashlib.sha256(
            f'{request.method} {path}\n'.encode() + body
        ).hexdigest()
        verdict = await entry.keyed_calls.call(
            f'{service}/{key}', digest, call
        )
    else:
        verdict = await entry.runner.call(call)
    return _build_service_answer(verdict, request_id)


def _read_service_path(request, service):
    """Return the path below the service and the query, still encoded."""
    raw = request.scope.get('raw_path', b'').decode('latin-1')
    prefix = f'/services/{service}/'
    path = request.path_params['path']
    if raw.startswith(prefix):
        path = raw[len(prefix) :]
    query = request.scope['query_string'].decode('latin-1')
    return f'{path}?{query}' if query else path


def _read_headers(request):
    headers = []
    for name, value in request.scope['headers']:
        headers.append((name.decode('latin-1'), value.decode('latin-1')))
    return headers


def _build_service_answer(verdict, request_id):
    if not isinstance(verdict, verdicts.Answered):
        return answers.build_refusal(verdict)
    response = responses.Response(verdict.body, verdict.status)
    for name, value in verdict.headers:
        if name.lower() not in UNCOPIED_HEADERS:
            response.headers.append(name, value)
    response.headers[answers.VERDICT_HEADER] = verdicts.name_verdict(verdict)
    response.headers[REQUEST_ID_HEADER] = request_id
    return response
