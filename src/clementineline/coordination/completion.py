"""Expected completion of requests: what is learned, and when it is used.

A process learns the costs of the requests that it sends and the lasting speeds
of the endpoints that it sends them to. Placement uses them for a service only
while its endpoints or the work of its kinds differ enough; otherwise requests
are placed by load. Everything here is kept by one process, starts empty and
may be lost at any time.

The rule is evaluated once a second for each service in use. A choice for a
live call looks at each endpoint of the service once, as placement by load
does.
"""

import collections
import math
import random

from clementineline.coordination import costs
from clementineline.coordination import directory
from clementineline.coordination import ratelimits
from clementineline.coordination import speeds

__all__ = [
    'AUTO',
    'Choice',
    'CompletionModel',
    'PaceObserver',
    'ServiceView',
    'choose_endpoint',
    'estimate_call',
    'estimate_delay',
    'estimate_slowness',
    'is_worthwhile',
    'may_have_waited',
    'quantise_speed',
]

# Value of the settings key ``placement`` that allows expected completion.
AUTO = 'auto'
# Lasting speeds that differ by this factor make the choice matter.
SPEED_RATIO_MIN = 1.3
VIEW_INTERVAL_S = 1.0
# More are only known after many manifests; all are computed anew then.
SERVICES_MAX = 64
# An older report says little about a disturbance of 600 ms.
SLOWNESS_TTL_S = 0.3
# Part of a noisy neighbour's 600 ms that is left on average.
NOISE_LEFT_S = 0.3
# Speeds within a factor of 1.15 are ties.
SPEED_STEP = math.log(1.15)
# As in endpointchoice.py, in relation to the duration of a call.
OTHER_ZONE_PENALTY = 0.02
# Width of the transition from no wait to a wait for a slot, in requests. The
# number of requests that others have at an endpoint is not known exactly.
OWN_SPREAD = 1.0
OTHERS_SPREAD = 1.0
# A run's pace is measured over this time, so that learning costs little.
PACE_SPAN_S = 0.5
# Time for an event until it was measured, in seconds.
DEFAULT_EVENT_S = 0.04
# A cancelled call shows that its endpoint is slow only if it took longer than
# this multiple of the median.
CANCELLED_FACTOR = 2.0


def is_worthwhile(known_speeds):
    """Return whether placement by expected completion pays for a service.

    Differences between the costs of its requests are not enough: among
    endpoints of one speed, nothing was gained by them.

    :param known_speeds: learned lasting speeds of its endpoints
    """
    if not known_speeds:
        return False
    return max(known_speeds) >= SPEED_RATIO_MIN * min(known_speeds)


def quantise_speed(speed):
    """Return a speed rounded to steps within which speeds are equal."""
    return math.exp(round(math.log(speed) / SPEED_STEP) * SPEED_STEP)


def estimate_slowness(state, now):
    """Estimate the momentary slowness of an endpoint.

    A slowness that the endpoint always reports is part of its lasting speed.
    The pace of its items does not count: it shows a disturbance when most of
    it is over.

    :param state: the :class:`~directory.EndpointState`
    """
    if now - state.load_at > SLOWNESS_TTL_S:
        return 1.0
    return max(state.slowness / state.speed.typical_slowness, 1.0)


def estimate_delay(duration_s, slowness):
    """Estimate by how much a momentary slowness prolongs some work.

    :param duration_s: duration of the work without it, in seconds
    """
    if slowness <= 1.0:
        return 0.0
    return min(
        duration_s * (slowness - 1.0), NOISE_LEFT_S * (1.0 - 1.0 / slowness)
    )


def may_have_waited(facts, slots):
    """Return whether a call may have waited for a slot at its endpoint.

    The duration of such a call says nothing of the endpoint's speed.

    :param facts: the :class:`~dialect.ReplyFacts` of its response
    """
    if facts.running is None:
        return False
    return facts.running + facts.waiting >= slots - 1


class ServiceView:
    """What is learned of a service, as one decision uses it.

    :ivar speeds: dict from the id of an endpoint to its lasting speed
    :ivar in_effect: whether placement by expected completion is in effect
    """

    __slots__ = ('computed_at', 'in_effect', 'speeds')

    def __init__(self, known_speeds, in_effect, now):
        self.speeds = known_speeds
        self.in_effect = in_effect
        self.computed_at = now

    def get_speed(self, state):
        """Return the lasting speed of an endpoint, rounded to steps."""
        return quantise_speed(self.speeds.get(state.id, 1.0))


class CompletionModel:
    """Learns costs and speeds, and tells for which services they are used.

    :param list_usable: function from a service to its usable endpoints
    :param zone: availability zone of this process
    :param log: logger
    :ivar costs: the :class:`~costs.CostModel`
    :ivar enabled: whether the settings allow placement by expected completion
    :ivar held: number of items that waited for a faster engine
    """

    __slots__ = (
        '_kinds',
        '_list_usable',
        '_log',
        '_views',
        'costs',
        'enabled',
        'held',
        'zone',
    )

    def __init__(self, list_usable, zone, log, enabled=True):
        self._list_usable = list_usable
        self._log = log
        self.costs = costs.CostModel()
        self.enabled = enabled
        self.held = 0
        self.zone = zone
        # Kinds of requests by service, bounded as the costs are.
        self._kinds = collections.defaultdict(set)
        self._views = {}

    # Decisions.

    def get_view(self, service, now):
        """Return the :class:`ServiceView` of a service."""
        view = self._views.get(service)
        if view is not None and now - view.computed_at < VIEW_INTERVAL_S:
            return view
        before = view is not None and view.in_effect
        rated = speeds.rate_endpoints(self._list_usable(service), now)
        worthwhile = is_worthwhile(list(rated.values()))
        view = ServiceView(rated, worthwhile, now)
        if len(self._views) >= SERVICES_MAX:
            self._views.clear()
        self._views[service] = view
        if worthwhile != before:
            spreads = []
            for kind in self._kinds.get(service, ()):
                spreads.append(self.costs.find_predictable_spread(kind))
            self._log.info(
                'placement changed',
                service=service,
                by='expected completion' if worthwhile else 'load',
                enabled=self.enabled,
                slowest=round(min(rated.values(), default=1.0), 2),
                fastest=round(max(rated.values(), default=1.0), 2),
                spread=round(max(spreads, default=1.0), 2),
            )
        return view

    def find_view(self, service, now):
        """Return the view of a service; None if it is placed by load."""
        if not self.enabled:
            return None
        view = self.get_view(service, now)
        return view if view.in_effect else None

    def choose_for_call(
        self, service, route, candidates, tried, now, unlimited
    ):
        """Choose the endpoint that is expected to complete a call first.

        :param tried: ids of endpoints that must not be chosen
        :param unlimited: whether only an endpoint without a limit is chosen
        :returns: a :class:`Choice`; None if the service is placed by load, or
            has no endpoint that may be chosen
        """
        view = self.find_view(service, now)
        if view is None:
            return None
        estimate = self.costs.estimate(('call', route))
        if not estimate.learned:
            return None
        return choose_endpoint(
            candidates, tried, view, estimate, self.zone, now, unlimited
        )

    def list_views(self):
        """Return ``(service, view)`` of each service in use."""
        return list(self._views.items())

    def get_event_s(self, route, model):
        """Return the time for an event at normal speed, in seconds."""
        median = self.costs.find_median(('event', route, model))
        return median or DEFAULT_EVENT_S

    # Learning.

    def observe_pace(self, state, route, model, event_s, now):
        """Learn from events of a run over a span of time.

        :param event_s: mean time for an event, in seconds
        """
        self._observe(state, ('event', route, model), event_s, now)

    def observe_call(self, state, route, took_s, now, cancelled=False):
        """Learn from a call to a plain endpoint that did not queue it.

        :param took_s: time from the request to the response, in seconds
        :param cancelled: whether the call was cancelled after this time
        """
        kind = ('call', route)
        if cancelled:
            median = self.costs.find_median(kind)
            if median is not None and took_s > CANCELLED_FACTOR * median:
                state.speed.add(math.log(took_s / median), now)
            return
        self._observe(state, kind, took_s, now)

    def _observe(self, state, kind, took_s, now):
        if took_s <= 0:
            return
        median = self.costs.find_median(kind)
        if median is not None:
            state.speed.add(math.log(took_s / median), now)
        self.costs.learn(kind, 0.0, took_s * self._get_speed(state))

    def learn_prefill(
        self, state, route, model, prompt_tokens, first_s, event_tokens
    ):
        """Learn what the prompt of a run costs, from its first event.

        :param first_s: time from the request to the first event, in seconds
        :param event_tokens: number of tokens in an event
        """
        median_s = self.costs.find_median(('event', route, model))
        if median_s is None:
            return
        event_s = median_s / self._get_speed(state)
        prefill_s = max(0.0, first_s - event_s)
        self.costs.learn_prefill(
            (route, model), prompt_tokens, prefill_s / event_s * event_tokens
        )

    def _get_speed(self, state):
        view = self._views.get(state.record.service)
        return 1.0 if view is None else view.speeds.get(state.id, 1.0)

    def learn_stream(self, state, route, took_s):
        """Learn the duration of a complete stream.

        The speed of its endpoint is learned from the events.
        """
        self.costs.learn(('call', route), 0.0, took_s * self._get_speed(state))

    def learn_item(self, service, route, model, hint, tokens):
        """Learn the length of a completed item.

        :param hint: the number of tokens that the trainer expected
        """
        kind = (route, model)
        if len(self._kinds) > SERVICES_MAX:
            self._kinds.clear()
        known = self._kinds[service]
        if len(known) > costs.KINDS_MAX:
            known.clear()
        known.add(kind)
        self.costs.learn(kind, hint, tokens)


def estimate_call(state, view, estimate, zone, now):
    """Estimate when an endpoint would complete a call sent to it now.

    The wait is that for the requests beyond the endpoint's slots. It rises
    smoothly, since the requests of other processes are known only as of the
    last report.

    :param state: the :class:`~directory.EndpointState`
    :param estimate: the call's :class:`~costs.Estimate`, in seconds
    :param zone: availability zone of this process
    :returns: ``(expected, ahead)``: the time until the completion and the work
        ahead of the call, both in seconds
    """
    speed = view.get_speed(state)
    slowness = estimate_slowness(state, now)
    others = 0
    if now - state.load_at < directory.LOAD_TTL_S:
        others = state.other_requests
    ahead = others * estimate.tokens
    for started in state.open_calls.values():
        ahead += costs.remaining(estimate, (now - started) * speed)
    # Streams and the like have no entry in the open calls.
    unknown = max(0, state.in_flight - len(state.open_calls))
    ahead += unknown * estimate.tokens
    requests = others + state.in_flight
    slots = state.record.slots
    spread = OWN_SPREAD + OTHERS_SPREAD * math.sqrt(others)
    excess = (requests + 1 - slots) / spread
    waiting = spread * (
        excess if excess > 30 else math.log1p(math.exp(excess))
    )
    mean = ahead / requests if requests else estimate.tokens
    duration_s = estimate.tokens / speed
    wait_s = waiting * mean / (slots * speed)
    expected = duration_s + wait_s + estimate_delay(duration_s, slowness)
    if wait_s > 0:
        expected += estimate_delay(wait_s, slowness)
    if state.record.zone != zone:
        expected += OTHER_ZONE_PENALTY * estimate.tokens
    return expected, ahead / speed


class PaceObserver:
    """Measures the pace of the events of a run, over spans of time.

    :param learned: the :class:`CompletionModel`, or None to measure nothing
    :param state: :class:`~directory.EndpointState` of the endpoint
    :param route: name of the run's route
    :param model: model that generates the events, empty if unknown
    """

    __slots__ = ('_events', '_learned', '_model', '_route', '_since', '_state')

    def __init__(self, learned, state, route, model):
        self._events = 0
        self._learned = learned
        self._model = model
        self._route = route
        self._since = None
        self._state = state

    def add(self, events, now):
        """Add events that arrived together.

        The first ones only begin the measurement, since they include the
        prefill of the prompt.
        """
        if self._learned is None or not events:
            return
        if self._since is None:
            self._since = now
            return
        self._events += events
        took_s = now - self._since
        if took_s < PACE_SPAN_S:
            return
        self._learned.observe_pace(
            self._state, self._route, self._model, took_s / self._events, now
        )
        self._events = 0
        self._since = now


class Choice:
    """An endpoint that was chosen, and why.

    :ivar expected_s: expected time until the completion, in seconds
    :ivar ahead_s: work ahead of the request, in seconds at the endpoint's
        lasting speed
    :ivar speed: lasting speed of the endpoint
    :ivar estimate: expected cost of the request
    """

    __slots__ = ('ahead_s', 'estimate', 'expected_s', 'speed', 'state')

    def __init__(self, state, expected_s, ahead_s, speed, estimate):
        self.state = state
        self.expected_s = expected_s
        self.ahead_s = ahead_s
        self.speed = speed
        self.estimate = estimate

    def list_fields(self):
        """Return the fields of log lines, as a dict."""
        return {
            'expected_ms': round(self.expected_s * 1000),
            'work_left_ms': round(self.ahead_s * 1000),
            'speed': round(self.speed, 2),
            'estimate': round(self.estimate, 3),
        }


def choose_endpoint(
    candidates, tried, view, estimate, zone, now, unlimited=False
):
    """Choose the endpoint that is expected to complete a call first.

    As in placement by load, endpoints in backoff come last, and an endpoint
    that names a limit comes after those that have free slots.

    :param candidates: :class:`~directory.EndpointState` of the service
    :param tried: ids of endpoints that must not be chosen
    :param view: the :class:`ServiceView` of the service
    :param estimate: the call's :class:`~costs.Estimate`, in seconds
    :param unlimited: whether only an endpoint without a limit is chosen
    :returns: a :class:`Choice`, or None
    """
    # The best endpoint without and with a limit, and whether one without a
    # limit has a free slot.
    best = best_limited = None
    free = False
    for state in candidates:
        if state.id in tried:
            continue
        limit = state.limit
        if limit is not None and unlimited:
            continue
        expected, ahead = estimate_call(state, view, estimate, zone, now)
        in_backoff = now < state.backoff_until
        found = (in_backoff, expected, random.random(), ahead, state)
        if limit and now - limit.known.named_at < ratelimits.RECHECK_S:
            if best_limited is None or found < best_limited:
                best_limited = found
            continue
        free = free or (not in_backoff and state.estimate_load(now) < 1.0)
        if best is None or found < best:
            best = found
    if best_limited is not None and not free:
        if best is None or best_limited < best:
            best = best_limited
    if best is None:
        return None
    _, expected, _, ahead, state = best
    speed = view.get_speed(state)
    return Choice(state, expected, ahead, speed, estimate.tokens)
