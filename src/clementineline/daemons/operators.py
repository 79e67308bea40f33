"""HTTP routes of operators: intents, plans, status and explanations."""

import json
import uuid

import aiohttp
from starlette import routing

from clementineline.daemons import answers
from clementineline import errors
from clementineline.protocol import messages

__all__ = ['build_routes']

INTENT_MAX_BYTES = 1024 * 1024
ASK_TIMEOUT_S = 2.0
# Decisions that the status lists as repairs.
REPAIR_DECISIONS = (
    'repair',
    'lose',
    'remove',
    'order failed',
    'move',
    'discard',
)
REPAIRS_MAX = 20


def build_routes(entry):
    """Build the operators' routes of an :class:`~entry.Entry`."""
    planner = entry.planner

    @answers.handle_errors
    async def submit_intent(request):
        body = await answers.read_body(request, INTENT_MAX_BYTES)
        operator = request.headers.get('Clementineline-Operator', 'unknown')
        plan = await planner.submit(body, operator)
        return answers.build_json(plan, 201)

    @answers.handle_errors
    async def list_plans(request):
        return answers.build_json({'plans': await planner.list()})

    @answers.handle_errors
    async def show_plan(request):
        plan = await planner.show(request.path_params['plan'])
        return answers.build_json(plan)

    @answers.handle_errors
    async def confirm_plan(request):
        plan = await planner.confirm(request.path_params['plan'])
        return answers.build_json(plan)

    @answers.handle_errors
    async def withdraw_plan(request):
        plan = await planner.withdraw(request.path_params['plan'])
        return answers.build_json(plan)

    async def show_status(request):
        return answers.build_json(build_status(entry))

    @answers.handle_errors
    async def explain(request):
        lines = await _collect_explanations(entry, request)
        if not lines:
            raise errors.RequestError(
                404,
                f'{request.path_params["id"]!r}: no decision about it is '
                'kept; the logs may still have it',
            )
        return answers.build_json({'decisions': lines})

    prefix = '/v1/operator'
    return [
        routing.Route(f'{prefix}/intents', submit_intent, methods=['POST']),
        routing.Route(f'{prefix}/plans', list_plans),
        routing.Route(f'{prefix}/plans/{{plan}}', show_plan),
        routing.Route(
            f'{prefix}/plans/{{plan}}/confirm', confirm_plan, methods=['POST']
        ),
        routing.Route(
            f'{prefix}/plans/{{plan}}/withdraw',
            withdraw_plan,
            methods=['POST'],
        ),
        routing.Route(f'{prefix}/status', show_status),
        routing.Route(f'{prefix}/explain/{{id:path}}', explain),
    ]


def build_status(entry):
    """Return the status of the fleet from an entry's point of view."""
    endpoints = []
    lowest = entry.configuration.version
    lagging = []
    for endpoint in entry.fleet.endpoints.values():
        described = _describe_endpoint(endpoint)
        endpoints.append(described)
        if described['configuration'] < entry.configuration.version:
            lagging.append(endpoint.name)
            lowest = min(lowest, described['configuration'])
    for name, session in entry.fleet.peers.items():
        if session.peer_configuration < entry.configuration.version:
            lagging.append(name)
            lowest = min(lowest, session.peer_configuration)
    return {
        'entry': entry.settings.name,
        'leader': entry.lease.known_holder.partition('#')[0],
        'fence': entry.lease.known_fence,
        'platform_available': entry.platform.available,
        'configuration': {
            'version': entry.configuration.version,
            'lowest_in_force': lowest,
            'lagging': sorted(lagging),
        },
        'weights': entry.get_weight_targets(),
        'entries': sorted(
            [member.name for member in entry.members.find('entry')]
        ),
        'endpoints': sorted(endpoints, key=lambda item: item['name']),
        'waiting': entry.router.count_waiting(),
        'steps': entry.samples.count_complete_groups(),
        'repairs': entry.decisions.get_recent(REPAIR_DECISIONS, REPAIRS_MAX),
    }


def _describe_endpoint(endpoint):
    report = endpoint.report
    session = endpoint.session
    state = 'unreachable'
    if report is not None and session is not None and session.connected:
        state = 'leaving' if report.leaving else report.state
    return {
        'name': endpoint.name,
        'availability_zone': endpoint.member.availability_zone,
        'serves': endpoint.member.serves,
        'state': state,
        'slots': report.capacity if report else 0,
        'used': endpoint.count_used() if report else 0,
        'active_version': report.active_version if report else -1,
        'configuration': session.peer_configuration if session else 0,
        'resumptions': session.resumptions if session else 0,
    }


async def _collect_explanations(entry, request):
    """Collect the decisions about a subject, as dicts.

    They come from this entry and its connected sidecars and, unless the
    request is ``local``, from the other entries.
    """
    subject = request.path_params['id']
    lines = []
    for line in entry.decisions.explain(subject):
        lines.append(_add_process(line, entry.settings.name))
    for endpoint in entry.fleet.endpoints.values():
        session = endpoint.session
        if session is None or not session.connected:
            continue
        try:
            answer = await entry.pending_answers.ask(
                session,
                messages.Explain(uuid.uuid4().hex, subject),
                ASK_TIMEOUT_S,
            )
        except errors.ConnectionLost:
            continue
        for line in answer.lines:
            lines.append(_add_process(line, endpoint.name))
    if 'local' not in request.query_params:
        lines += await _collect_from_entries(entry, subject)
    return lines


def _add_process(line, process):
    """Decode a decision and add the name of its process."""
    fields = json.loads(line)
    fields['process'] = process
    return fields


async def _collect_from_entries(entry, subject):
    lines = []
    timeout = aiohttp.ClientTimeout(total=2 * ASK_TIMEOUT_S)
    for member in entry.members.find('entry'):
        if member.name == entry.settings.name:
            continue
        url = (
            f'http://{member.http_address}/v1/operator/explain/{subject}'
            '?local=1'
        )
        try:
            async with entry.http.get(url, timeout=timeout) as response:
                if response.status == 200:
                    body = await response.json()
                    lines += body['decisions']
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            continue
    return lines
