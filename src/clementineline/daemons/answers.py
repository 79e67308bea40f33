"""HTTP responses for callers, trainers and operators."""

import functools
import math

import msgspec
from starlette import responses

from clementineline import errors
from clementineline.protocol import verdicts

__all__ = [
    'VERDICT_HEADER',
    'build_error',
    'build_json',
    'build_refusal',
    'handle_errors',
    'read_body',
]

VERDICT_HEADER = 'Clementineline-Verdict'
_TYPES_BY_STATUS = {
    400: 'invalid_request_error',
    404: 'not_found_error',
    409: 'conflict_error',
    413: 'invalid_request_error',
    422: 'invalid_request_error',
    503: 'overloaded_error',
}


def build_json(value, status=200, headers=None):
    """Build a JSON response from a struct or plain value."""
    return responses.Response(
        msgspec.json.encode(value),
        status,
        headers=headers,
        media_type='application/json',
    )


def build_error(status, message, code=None, headers=None):
    """Build an error response in the format of the OpenAI API.

    :param status: HTTP status code
    :param message: what was given and what was expected
    :param code: short name of the error, or None
    """
    error = {
        'message': message,
        'type': _TYPES_BY_STATUS.get(status, 'api_error'),
        'param': None,
        'code': code,
    }
    return build_json({'error': error}, status, headers)


@functools.singledispatch
def build_refusal(verdict):
    """Build the response for a verdict other than Answered."""
    raise TypeError(f'{type(verdict).__name__}: expected a refusal')


@build_refusal.register
def _build_not_run(verdict: verdicts.NotRun):
    headers = {
        VERDICT_HEADER: verdicts.name_verdict(verdict),
        'Retry-After': str(max(1, math.ceil(verdict.retry_after_s))),
    }
    return build_error(503, f'not run: {verdict.reason}', 'not_run', headers)


@build_refusal.register
def _build_may_have_run(verdict: verdicts.MayHaveRun):
    headers = {VERDICT_HEADER: verdicts.name_verdict(verdict)}
    return build_error(
        502, f'may have run: {verdict.reason}', 'may_have_run', headers
    )


async def read_body(request, limit):
    """Read a request's body.

    :param limit: maximum number of bytes
    :raises errors.RequestError: if the body is larger
    """
    body = bytearray()
    async for part in request.stream():
        body += part
        if len(body) > limit:
            raise errors.RequestError(
                413, f'body: got more than {limit} bytes, the most accepted'
            )
    return bytes(body)


def handle_errors(serve):
    """Decorate a route so that the package's exceptions become responses.

    :param serve: coroutine function of the route
    """

    @functools.wraps(serve)
    async def serve_safely(request):
        not_run = {VERDICT_HEADER: 'not-run'}
        try:
            return await serve(request)
        except errors.RequestError as error:
            return build_error(error.status, str(error), headers=not_run)
        except (errors.IntentError, errors.CursorError) as error:
            return build_error(400, str(error), headers=not_run)
        except errors.StalePlan as error:
            return build_error(409, str(error), 'stale_plan', not_run)
        except errors.UnknownPlan as error:
            return build_error(404, str(error), 'unknown_plan', not_run)
        except errors.PlanError as error:
            return build_error(409, str(error), 'plan_error', not_run)
        except errors.LostStep as error:
            return build_error(404, str(error), 'lost_step', not_run)
        except errors.NotReady as error:
            return build_refusal(verdicts.NotRun(str(error)))
        except errors.AmbiguousWrite as error:
            return build_refusal(verdicts.MayHaveRun(str(error)))
        except errors.PlatformError as error:
            return build_refusal(verdicts.NotRun(str(error)))

    return serve_safely
