"""What a complete response proves of the request that it answers.

All readers of responses to forwarded requests decide here: calls, their hedges
and repetitions, streams, reward calls and items.
"""

from clementineline.protocol import verdicts

__all__ = ['RETRY_AFTER_S', 'judge_response', 'shows_survival']

# Delay after which callers may retry: about the duration of one call.
RETRY_AFTER_S = 0.1
# Statuses that tell a caller that its request has not run and never will.
PROMISING_STATUSES = frozenset((408, 421, 429, 503))
MISDIRECTED = 421


def judge_response(status, headers, body, facts, request_id, repeatable):
    """Return the verdict of a complete response.

    Only what an endpoint states of this request, by its id, says that the
    request did not run. The status alone does not: an endpoint may fail a
    request with 503 after it has run. A caller takes such a status for a
    promise, so it is handed on only where the request may be repeated.

    :param status: HTTP status
    :param headers: response headers, as name-value pairs
    :param body: response body
    :param facts: the :class:`~dialect.ReplyFacts` of the headers
    :param request_id: id of the request
    :param repeatable: whether the request may run more than once
    :returns: a verdict
    """
    if facts.request_id != request_id:
        if facts.not_run and facts.is_about(request_id):
            return verdicts.NotRun('refused without an id', RETRY_AFTER_S)
        return verdicts.MayHaveRun(
            f'response to another request {facts.request_id!r}'
        )
    if facts.not_run or status == MISDIRECTED:
        return verdicts.NotRun(
            f'endpoint refused with {status}',
            RETRY_AFTER_S,
            status != MISDIRECTED and not facts.leaving,
        )
    if status in PROMISING_STATUSES and not repeatable:
        return verdicts.MayHaveRun(
            f'endpoint answered {status} and did not state that the request '
            'has not run'
        )
    if status < 300 and not facts.signed:
        return verdicts.MayHaveRun('response without a signature')
    return verdicts.Answered(status, headers, body)


def shows_survival(verdict, facts, request_id):
    """Return whether the endpoint outlived the request.

    It has if the complete response is to this request and does not state that
    the request did not run, whatever the caller is told.

    :param verdict: what :func:`judge_response` returned
    :param facts: the :class:`~dialect.ReplyFacts` of the headers
    :param request_id: id of the request
    """
    if facts.request_id != request_id:
        return False
    return not isinstance(verdict, verdicts.NotRun)
