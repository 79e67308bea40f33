"""Choice of the service and the endpoint of a live call or stream.

The functions do no I/O. They are designed for calls that take tens of
milliseconds, at a few endpoints in several availability zones of which some
are slow for a moment or for good.
"""

import random

from clementineline.coordination import ratelimits

__all__ = ['choose_endpoint', 'choose_service', 'place_call']

# Load added to endpoints in other availability zones, as a share of their
# slots, so that endpoints in the own zone are preferred.
OTHER_ZONE_LOAD_PENALTY = 0.02
# Load added to an endpoint with a limit, as a share of its slots: others get
# the requests until all their slots are in use.
LIMIT_LOAD_PENALTY = 1.0


def choose_service(targets, draw):
    """Choose a service of a route at random, in proportion to the weights.

    :param targets: the route's targets
    :param draw: random number from 0 to 1
    :returns: name of the service
    """
    total = sum(target.weight for target in targets)
    remaining = draw * total
    for target in targets:
        remaining -= target.weight
        if remaining < 0:
            return target.service
    return targets[-1].service


def choose_endpoint(
    candidates, tried, zone, now, unlimited=False, has_idle=None
):
    """Choose the endpoint with the lowest estimated load.

    Endpoints that are in backoff after a failure come last. An endpoint that
    names a limit comes after those that have free slots, unless its limit may
    have ended.

    :param candidates: :class:`~directory.EndpointState` of the service
    :param tried: ids of endpoints that this call was already sent to
    :param zone: availability zone of this process
    :param now: loop time, in seconds
    :param unlimited: whether only an endpoint without a limit is chosen
    :param has_idle: function from an endpoint to whether there is an idle
        connection to it, which decides among those of equal load; or None
    :returns: an :class:`~directory.EndpointState`, or None
    """
    best = None
    best_score = None
    for state in candidates:
        if state.id in tried:
            continue
        load = state.estimate_load(now)
        if state.record.zone != zone:
            load += OTHER_ZONE_LOAD_PENALTY
        load *= max(state.slowness, 1.0)
        limit = state.limit
        if limit is not None:
            if unlimited:
                continue
            if now - limit.known.named_at < ratelimits.RECHECK_S:
                load += LIMIT_LOAD_PENALTY
        in_backoff = now < state.backoff_until
        score = (
            in_backoff,
            load + 0.3 * (state.slowness - 1.0),
            has_idle is not None and not has_idle(state),
            random.random(),
        )
        if best is None or score < best_score:
            best, best_score = state, score
    return best


def place_call(
    learned,
    service,
    route,
    candidates,
    tried,
    zone,
    now,
    unlimited=False,
    has_idle=None,
):
    """Choose an endpoint by expected completion or by load.

    :param learned: the :class:`~completion.CompletionModel`, or None
    :param service: name of the service
    :param route: name of the call's route
    :param candidates: see :func:`choose_endpoint`, as the further parameters
    :returns: ``(state, choice)`` with the :class:`~directory.EndpointState`,
        or None, and the :class:`~completion.Choice`, None if the endpoint was
        chosen by load
    """
    if learned is not None:
        choice = learned.choose_for_call(
            service, route, candidates, tried, now, unlimited
        )
        if choice is not None:
            return choice.state, choice
    state = choose_endpoint(
        candidates,
        tried,
        zone,
        now,
        unlimited=unlimited,
        has_idle=has_idle,
    )
    return state, None
