"""Placement of items on engines and of model versions on engines.

The functions do no I/O. They are designed for several trainers that share
engines: the items of a step, about a hundred, arrive at once, a few of them
are several times as long as the rest, and one engine in five may be several
times slower than the others.
"""

import heapq
import math

__all__ = [
    'EngineShortlist',
    'ModelDemand',
    'assign_models',
    'can_run',
    'choose_engine',
    'choose_loads',
    'count_concurrent_loads',
    'count_engines_needed',
    'filter_by_version',
    'has_faster_engine',
    'share_engines',
    'sort_waiting_runs',
    'update_slow_since',
]

# Runs leave an engine whose pace is this many times that of a free engine. The
# move pays off because the prefill of the prompt on the new engine takes only
# a few decoding steps.
SLOW_FACTOR = 1.8
SLOW_DURATION_MIN_S = 0.5
# Noisy neighbours slow an engine for about 600 ms at a time, so an older
# report of its slowness is outdated.
SLOWNESS_TTL_S = 0.3
# A load takes longer while more than this share of the engines load at the
# same time: 2 of 6 engines on the small sites, 8 of 19 and 10 of 25 on the
# enlarged ones.
CONCURRENT_LOADS_SHARE = 0.4
CONCURRENT_LOADS_MIN = 2
# Trainers usually submit a step within a second of naming the version for it.
NEXT_STEP_TIMEOUT_S = 1.5
# A share may be off by this many engines before the shares change, because the
# observed work of a model varies by about a third from step to step.
SHARE_HYSTERESIS_ENGINES = 0.8
# Steps of a trainer that run at the same time.
CONCURRENT_STEPS = 2
# Spare engines of a model, for those that are slow, loading or lost.
ENGINES_MARGIN = 1.5
# Used until a trainer's submissions have shown which versions it accepts.
DEFAULT_STALENESS_BOUND = 1


class EngineShortlist:
    """The engines that may start items of a submission in one round.

    A round starts all items that find a free slot. The engines are filtered
    and ordered once for it, by slowness in steps of a factor of 1.5, then by
    the number of items that they run. A hundred waiting items and hundreds of
    engines would otherwise cost a comparison of each with each.

    :param candidates: :class:`~directory.EndpointState` of the service
    :param model: the items' model, empty for none
    :param version_min: oldest version that may run the items
    :param now: loop time, in seconds
    :param limits: the :class:`~ratelimits.RateLimits`, or None if engines
        have no limits of requests a second
    """

    __slots__ = ('_heap', '_limits')

    def __init__(self, candidates, model, version_min, now, limits=None):
        self._limits = limits
        paces = [state.pace_s for state in candidates if state.pace_s]
        fastest_s = min(paces, default=None)
        self._heap = []
        for state in candidates:
            if now < state.backoff_until:
                continue
            if len(state.item_runs) >= state.record.slots:
                continue
            if not can_run(state, model, version_min):
                continue
            if limits is not None and not limits.may_start(state):
                continue
            slowness = _estimate_slowness(state, fastest_s, now)
            rank = round(math.log(slowness, 1.5))
            entry = (rank, len(state.item_runs), state.id, state)
            self._heap.append(entry)
        heapq.heapify(self._heap)

    def choose(self, excluded=(), fits=None):
        """Choose the engine that is expected to complete an item first.

        The engine stays on the list if it has a slot left for another item.

        :param excluded: ids of engines that must not be chosen
        :param fits: function that returns whether an engine has enough memory
        :returns: an :class:`~directory.EndpointState`, or None if no engine
            may run the item now
        """
        passed = []
        chosen = None
        while self._heap:
            entry = heapq.heappop(self._heap)
            rank, running, name, state = entry
            limits = self._limits
            if limits is not None and not limits.may_start(state):
                continue
            if name in excluded or (fits is not None and not fits(state)):
                passed.append(entry)
                continue
            chosen = state
            if limits is not None:
                limits.reserve(state)
            if running + 1 < state.record.slots:
                passed.append((rank, running + 1, name, state))
            break
        for entry in passed:
            heapq.heappush(self._heap, entry)
        return chosen


def choose_engine(candidates, model, version_min, now, excluded=(), fits=None):
    """Choose an engine for a single item; see :class:`EngineShortlist`."""
    shortlist = EngineShortlist(candidates, model, version_min, now)
    return shortlist.choose(excluded, fits)


def count_engines_needed(items, slots):
    """Return how many engines a model needs for its steps to run at once.

    Steps of a trainer overlap by one, so two of them may run. Engines beyond
    that would only cost loads: with 3,000 engines and three trainers, each
    version was loaded on 1,000 engines for 160 items.

    :param items: number of items of the largest recent step
    :param slots: number of items that an engine runs concurrently
    """
    overlapping = CONCURRENT_STEPS * items
    return math.ceil(ENGINES_MARGIN * overlapping / max(1, slots))


def filter_by_version(engines, model, version):
    """Return the engines that hold a version and are not loading another."""
    matching = []
    for state in engines:
        if (
            model in state.loading_models
            or state.versions.get(model) != version
        ):
            continue
        matching.append(state)
    return matching


def _estimate_slowness(state, fastest_s, now):
    """Estimate how many times slower than normal an engine is.

    A slowness that the engine reported recently takes precedence over the
    pace that this process observed.

    :param fastest_s: pace of the fastest candidate, in seconds per event
    """
    if now - state.load_at < SLOWNESS_TTL_S:
        return max(state.slowness, 1.0)
    if not state.pace_s:
        return 1.0
    return state.pace_s / fastest_s


def can_run(state, model, version_min):
    """Return whether an engine may run items of a model now.

    :param version_min: oldest version that may run the items
    """
    if state.leaving:
        return False
    if not model:
        return True
    if model in state.loading_models:
        return False
    return state.versions.get(model, 0) >= version_min


def has_faster_engine(state, candidates, model, version_min, now):
    """Return whether a run would continue faster on another engine.

    The current engine must have been slow for some time, because the slowdowns
    from the prefill of several prompts at once and from busy neighbours are
    short.

    :param state: the current engine of the run
    """
    if (
        state.slow_since is None
        or now - state.slow_since < SLOW_DURATION_MIN_S
    ):
        return False
    for other in candidates:
        if other is state or not other.pace_s:
            continue
        if other.pace_s * SLOW_FACTOR > state.pace_s:
            continue
        if now < other.backoff_until:
            continue
        if len(other.item_runs) >= other.record.slots:
            continue
        if can_run(other, model, version_min):
            return True
    return False


def update_slow_since(engines, now):
    """Update the time since which each engine has been slow.

    An engine that runs items is slow if its time for an event is more than
    ``SLOW_FACTOR`` times the lower median of all engines.
    """
    paces = sorted(state.pace_s for state in engines if state.pace_s)
    if not paces:
        return
    typical_s = paces[(len(paces) - 1) // 2]
    for state in engines:
        slow = (
            bool(state.item_runs)
            and state.pace_s is not None
            and state.pace_s > typical_s * SLOW_FACTOR
        )
        if not slow:
            state.slow_since = None
        elif state.slow_since is None:
            state.slow_since = now


def sort_waiting_runs(runs):
    """Sort the waiting items of a submission in the order of their start.

    Items of groups that began in an earlier submission come first, because
    the trainer waits for them regardless of which other groups are complete.
    The other items follow, the longest first.

    :param runs: runs with ``carried`` and ``item.length_hint``
    """
    return sorted(
        runs, key=lambda run: (not run.carried, -run.item.length_hint)
    )


def share_engines(count, work, previous):
    """Return how many engines each model should get.

    Each model gets at least one engine; the others are distributed in
    proportion to the work. Every change of the shares costs loads, so they
    change only if a share is off by more than rounding explains.

    :param count: number of engines
    :param work: dict from model to its work, in any common unit
    :param previous: the last shares, dict from model to number of engines
    :returns: dict from model to number of engines
    """
    models = sorted(work)
    if not models:
        return {}
    total = sum(work.values())
    ideal = {}
    for model in models:
        fraction = work[model] / total if total else 1 / len(models)
        ideal[model] = max(min(1.0, count / len(models)), count * fraction)
    if set(previous) == set(models) and sum(previous.values()) == count:
        deviation = max(abs(previous[name] - ideal[name]) for name in models)
        if deviation <= SHARE_HYSTERESIS_ENGINES:
            return previous
    shares = {model: int(ideal[model]) for model in models}
    # The sum exceeds the count if there are more models than engines, or if
    # the minimum of one engine raised the share of a model with little work.
    while sum(shares.values()) > count:
        largest = max(models, key=lambda name: (shares[name], name))
        shares[largest] -= 1
    while sum(shares.values()) < count:
        neediest = max(
            models, key=lambda name: (ideal[name] - shares[name], name)
        )
        shares[neediest] += 1
    return shares


def assign_models(shares, engines, previous):
    """Assign engines to models, and reassign as few as possible.

    :param shares: dict from model to its number of engines
    :param engines: dict from engine id to the engine's versions by model
    :param previous: the last assignment, dict from engine id to model
    :returns: dict from engine id to model
    """
    missing = dict(shares)
    assignment = {}
    for engine in sorted(engines):
        model = previous.get(engine)
        if missing.get(model, 0) > 0:
            assignment[engine] = model
            missing[model] -= 1
    for engine in sorted(engines):
        if engine in assignment:
            continue
        short = [model for model in sorted(missing) if missing[model] > 0]
        if not short:
            break
        versions = engines[engine]
        # Prefer the model that lacks the most engines, then the model of
        # which this engine holds the newest version.
        model = max(
            short, key=lambda name: (missing[name], versions.get(name, 0))
        )
        assignment[engine] = model
        missing[model] -= 1
    return assignment


def count_concurrent_loads(engine_count):
    """Return how many of a service's engines may load at the same time."""
    return max(
        CONCURRENT_LOADS_MIN, int(engine_count * CONCURRENT_LOADS_SHARE)
    )


def choose_loads(engines, target, demand, target_age_s, loads_free):
    """Choose the engines that load a model's target version now.

    An engine starts no items for about a second while it loads. An engine
    whose version is recent enough for the open steps and for the next step
    therefore loads only after all their items have started. An engine whose
    version is too old for waiting items loads immediately, and so does an
    engine whose version is too old for the next step if no item waits.

    :param engines: :class:`~directory.EndpointState` of the engines that are
        assigned to the model and are not loading
    :param target: the model and its target version
    :param demand: the :class:`ModelDemand` of the model
    :param target_age_s: time since the trainer named the version, in seconds
    :param loads_free: how many more engines may load without making each load
        longer
    :returns: list of engines
    """
    model, version = target
    next_min = version - demand.staleness_bound
    chosen = []
    deferrable = []
    for state in engines:
        held = state.versions.get(model, 0)
        if held >= version:
            continue
        needed = held < demand.version_min
        if needed or (held < next_min and not demand.waiting):
            chosen.append(state)
        elif _is_between_steps(demand, next_min, target_age_s):
            deferrable.append(state)
    deferrable.sort(key=lambda state: (len(state.item_runs), state.id))
    free = max(0, loads_free - len(chosen))
    return chosen + deferrable[:free]


def _is_between_steps(demand, next_min, target_age_s):
    """Return whether no item waits and no step is expected soon."""
    if demand.waiting:
        return False
    # The step for the target version was submitted, and its items started.
    if demand.newest_version_min >= next_min:
        return True
    return target_age_s > NEXT_STEP_TIMEOUT_S


class ModelDemand:
    """Demand of the open submissions for a model.

    :param waiting: number of items that wait for an engine
    :param version_min: oldest version that all waiting items accept
    :param newest_version_min: largest ``version_min`` of an open submission
    :param staleness_bound: how many versions below the target version the
        trainer's submissions accept
    """

    __slots__ = (
        'newest_version_min',
        'staleness_bound',
        'version_min',
        'waiting',
    )

    def __init__(
        self,
        waiting=0,
        version_min=0,
        newest_version_min=0,
        staleness_bound=DEFAULT_STALENESS_BOUND,
    ):
        self.staleness_bound = staleness_bound
        self.waiting = waiting
        self.version_min = version_min
        self.newest_version_min = newest_version_min
