"""HTTP routes of trainers: steps, pulls and weight announcements."""

import aiohttp
import msgspec
from starlette import responses
from starlette import routing

from clementineline.coordination import rendezvous
from clementineline.coordination import samples
from clementineline.coordination import steps
from clementineline.daemons import answers
from clementineline import errors

__all__ = ['build_routes']

FORWARDED_HEADER = 'Clementineline-Forwarded'
# Added to the wait of a forwarded request for the transfer between entries.
FORWARD_GRACE_S = 5.0
BODY_MAX_BYTES = 32 * 1024 * 1024


class _Weights(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A trainer's announcement of new weights."""

    version: int


def _decode(body, kind):
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise errors.RequestError(400, f'body: {error}') from None


def _find_owner(entry, trainer, step):
    """Return the entry that owns a step, or None to serve it here.

    Entries that leave and entries without a session to this one own no steps.
    """
    names = []
    for member in entry.members.find('entry'):
        if member.leaving:
            continue
        is_own = member.name == entry.settings.name
        if is_own or member.name in entry.fleet.peers:
            names.append(member.name)
    if not names:
        return None
    owner = rendezvous.rank(f'{trainer}/{step}', names)[0]
    if owner == entry.settings.name:
        return None
    return entry.members.get(owner)


async def _forward(entry, request, owner, body, wait_s):
    """Forward a trainer's request to the owner of the step.

    :param owner: the :class:`messages.Member` of the owner
    :param body: body of the request
    :param wait_s: longest time that the owner may wait, in seconds
    :returns: the owner's response, or None if the owner did not respond
    """
    url = f'http://{owner.http_address}{request.url.path}'
    timeout = aiohttp.ClientTimeout(total=wait_s + FORWARD_GRACE_S)
    try:
        async with entry.http.post(
            url, data=body, headers={FORWARDED_HEADER: '1'}, timeout=timeout
        ) as response:
            answer = await response.read()
            return responses.Response(
                answer, response.status, media_type='application/json'
            )
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        entry.decisions.record(
            'forward',
            request.path_params['trainer'],
            owner=owner.name,
            reason=repr(error),
        )
        return None


def build_routes(entry):
    """Build the trainers' routes of an :class:`~entry.Entry`."""

    @answers.handle_errors
    async def submit_step(request):
        trainer = request.path_params['trainer']
        body = await answers.read_body(request, BODY_MAX_BYTES)
        step = _decode(body, steps.StepRequest)
        owner = None
        if FORWARDED_HEADER not in request.headers:
            owner = _find_owner(entry, trainer, step.step)
        if owner is not None:
            answer = await _forward(entry, request, owner, body, 0.0)
            if answer is not None:
                return answer
        entry.samples.submit(trainer, step)
        return answers.build_json(
            {'step': step.step, 'samples': step.samples}, 202
        )

    @answers.handle_errors
    async def pull_groups(request):
        trainer = request.path_params['trainer']
        body = await answers.read_body(request, BODY_MAX_BYTES)
        pull = _decode(body, samples.PullRequest)
        owner = None
        if FORWARDED_HEADER not in request.headers:
            owner = _find_owner(entry, trainer, pull.cursor.step)
        if owner is not None:
            answer = await _forward(entry, request, owner, body, pull.wait_s)
            if answer is not None:
                return answer
        if entry.draining:
            raise errors.LostStep('this entry stops; submit the step again')
        answer = await entry.samples.pull(trainer, pull)
        return answers.build_json(answer)

    @answers.handle_errors
    async def announce_weights(request):
        trainer = request.path_params['trainer']
        body = await answers.read_body(request, BODY_MAX_BYTES)
        weights = _decode(body, _Weights)
        if weights.version < 0:
            raise errors.RequestError(
                400,
                f'body: $.version: got {weights.version}, expected 0 or more',
            )
        in_force = await entry.announce_weights(trainer, weights.version)
        return answers.build_json({'configuration': in_force})

    prefix = '/v1/trainers/{trainer}'
    return [
        routing.Route(f'{prefix}/steps', submit_step, methods=['POST']),
        routing.Route(f'{prefix}/pull', pull_groups, methods=['POST']),
        routing.Route(f'{prefix}/weights', announce_weights, methods=['POST']),
    ]
