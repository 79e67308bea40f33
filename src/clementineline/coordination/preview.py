"""Where a request or item would go now, without sending it.

The decision is made by the code that places requests. Nothing is reserved, and
no permit of an endpoint with a limit is asked for or used.
"""

from clementineline.coordination import authorization
from clementineline.coordination import endpointchoice
from clementineline.coordination import itemplacement
from clementineline.coordination import itemruns
from clementineline.coordination import responses
from clementineline.state import dialect
from clementineline.state import questions
from clementineline.state import submissions

__all__ = ['preview_request']

CURRENT = authorization.Standing(True)


class _UnusedPermits:
    """Permits that are there already; none is asked for or used."""

    def may_start(self, state):
        return state.limit is None or bool(state.limit.unused)

    def reserve(self, state):
        """Reserve nothing."""


def preview_request(
    question,
    table,
    learned,
    list_engines,
    zone,
    now,
    standing=CURRENT,
    has_idle=None,
):
    """Return where a request would go now, and why.

    :param question: the :class:`~questions.PreviewRequest`
    :param table: the :class:`~routes.RouteTable` in force, or None
    :param learned: the :class:`~completion.CompletionModel`
    :param list_engines: function from a service and a model, empty for a call,
        to the endpoints that may get the request
    :param zone: availability zone of this process
    :param now: loop time, in seconds
    :param standing: the :class:`~authorization.Standing` of the table
    :param has_idle: see :func:`~endpointchoice.choose_endpoint`
    :returns: a :class:`~questions.PreviewAnswer` with a choice for each
        service of the route, of which requests choose one by weight
    """
    if table is None:
        return _refuse(
            '', authorization.UNAVAILABLE, 'no route table is known'
        )
    facts = dialect.CallFacts(
        '', question.host, question.path, None, key=question.key
    )
    access = authorization.judge_call(table, facts, standing)
    if access.status:
        # A gateway reads the table once more before a final refusal.
        return _refuse('', access.status, access.reason, access.retry_after_s)
    route = access.route
    choices = []
    for target in route.targets:
        service = table.services.get(target.service)
        candidates = list_engines(target.service, question.model)
        if route.batch:
            state, choice, waits = _place_item(
                question, route, service, candidates, learned, now
            )
        else:
            state, choice = endpointchoice.place_call(
                learned,
                target.service,
                route.name,
                candidates,
                [],
                zone,
                now,
                has_idle=has_idle,
            )
            waits = False
        choices.append(
            questions.PreviewChoice(
                service=target.service,
                weight=target.weight,
                endpoint='' if state is None else state.id,
                decided_by='expected completion'
                if choice or waits
                else 'load',
                waits=waits,
                fields=choice.list_fields() if choice else {},
                candidates=_describe(candidates, learned, target, now),
            )
        )
    if not any(choice.candidates for choice in choices):
        return _refuse(
            route.name,
            authorization.UNAVAILABLE,
            'no endpoint is known',
            responses.RETRY_AFTER_S,
        )
    return questions.PreviewAnswer(
        route.name, '', choices, organisation=access.organisation
    )


def _refuse(route, status, reason, retry_after_s=authorization.RETRY_AFTER_S):
    if status != authorization.UNAVAILABLE:
        retry_after_s = 0.0
    return questions.PreviewAnswer(route, reason, [], status, retry_after_s)


def _place_item(question, route, service, candidates, learned, now):
    """Place an item that does not exist.

    :returns: ``(state, choice, waits)``
    """
    run = itemruns.ItemRun(
        submissions.Item(
            '', question.path, (), b'', 0, '',
            question.length_hint, question.prompt_tokens,
        ),
        kind=(route.name, question.model),
    )  # fmt: skip
    placer = itemplacement.build_placer(
        learned,
        candidates,
        question.model,
        question.version_min,
        now,
        _UnusedPermits(),
        run.kind,
        lambda state: service,
    )
    if isinstance(placer, itemplacement.ItemPlacer):
        choice = placer.choose(run)
        return choice and choice.state, choice, placer.waits
    return placer.choose(), None, False


def _describe(candidates, learned, target, now):
    view = learned.find_view(target.service, now)
    described = []
    for state in candidates:
        described.append(
            questions.PreviewCandidate(
                endpoint=state.id,
                load=round(state.estimate_load(now), 2),
                items=len(state.item_runs),
                slots=state.record.slots,
                slowness=state.slowness,
                speed=round(view.get_speed(state), 2) if view else 1.0,
                in_backoff=now < state.backoff_until,
                limited=state.limit is not None,
            )
        )
    return described
