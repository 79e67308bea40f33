"""Which engine runs an item, and which engines hold which model's versions.

Pure decisions. They answer the load of several trainers on shared engines:
steps of some hundred items arrive at once, a few items are several times as
long as the rest, and one engine in five may be several times slower.
"""

import math

__all__ = [
    'ModelDemand',
    'assign_models',
    'can_run',
    'choose_engine',
    'choose_loads',
    'count_loads_at_once',
    'has_faster_engine',
    'filter_by_version',
    'note_slow_engines',
    'sort_waiting_runs',
    'share_engines',
]

# An engine this much slower than the best free one loses its runs to it: the
# prompt is read anew within a few steps of the engine.
SLOW_FACTOR = 1.8
SLOW_PATIENCE_S = 0.5
# Bursts of neighbours last some 600 ms.
SLOWNESS_TTL_S = 0.3
# Loads take longer while more engines than this load at once: 2 of 6 on the
# small sites' sheets, 8 of 19 and 10 of 25 on the grown ones'.
LOADS_SHARE = 0.4
LOADS_MIN = 2
# Trainers submit a step within a second of naming its version, as a rule.
LOAD_PATIENCE_S = 1.5
# Work as it is seen varies from step to step by a third or so.
SHARE_HYSTERESIS = 0.8
# Until a trainer's submissions have shown what it accepts.
DEFAULT_VERSIONS_BEHIND = 1


def choose_engine(candidates, model, version_min, now, excluded=(), fits=None):
    """Choose the engine on which an item ends soonest.

    :param candidates: :class:`~directory.EndpointState` of the service
    :param model: the item's model, empty for none
    :param version_min: oldest version that may run it
    :param excluded: ids that should not get it
    :param fits: function that returns whether an engine has the memory
    :returns: an :class:`~directory.EndpointState`, or None
    """
    best = None
    best_score = None
    paces = [state.pace_s for state in candidates if state.pace_s]
    usual_s = min(paces, default=None)
    for state in candidates:
        if state.id in excluded or now < state.backoff_until:
            continue
        if not can_run(state, model, version_min):
            continue
        running = len(state.item_runs)
        if running >= state.record.slots:
            continue
        slowness = _estimate_slowness(state, usual_s, now)
        score = (round(math.log(slowness, 1.5)), running, state.id)
        if best is not None and score >= best_score:
            continue
        if fits is None or fits(state):
            best, best_score = state, score
    return best


def filter_by_version(engines, model, version):
    """Return the engines that have a version of a model, and keep it."""
    kept = []
    for state in engines:
        if (
            model in state.loading_models
            or state.versions.get(model) != version
        ):
            continue
        kept.append(state)
    return kept


def _estimate_slowness(state, usual_s, now):
    """Return how many times as long as usual an event takes.

    What the engine says counts while it is fresh, then what was seen there.
    """
    if now - state.load_at < SLOWNESS_TTL_S:
        return max(state.slowness, 1.0)
    if not state.pace_s:
        return 1.0
    return state.pace_s / usual_s


def can_run(state, model, version_min):
    """Return whether an engine may run items of a model's version."""
    if not model:
        return True
    if model in state.loading_models:
        return False
    return state.versions.get(model, 0) >= version_min


def has_faster_engine(state, candidates, model, version_min, now):
    """Return whether a run on an engine would go on faster elsewhere.

    Only an engine that has been slow for a while loses its runs: reading
    several prompts at once, and busy neighbours, pass.
    """
    if state.slow_since is None or now - state.slow_since < SLOW_PATIENCE_S:
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


def note_slow_engines(engines, now):
    """Note since when each engine has been slower than the typical one."""
    paces = sorted(state.pace_s for state in engines if state.pace_s)
    if not paces:
        return
    typical = paces[(len(paces) - 1) // 2]
    for state in engines:
        slow = (
            bool(state.item_runs)
            and state.pace_s is not None
            and state.pace_s > typical * SLOW_FACTOR
        )
        if not slow:
            state.slow_since = None
        elif state.slow_since is None:
            state.slow_since = now


def sort_waiting_runs(runs):
    """Order the waiting items of a submission.

    Items of groups that were begun in an earlier submission come first, since
    the trainer waits for them whatever else is whole; then the longest.

    :param runs: runs with ``carried`` and ``item.length_hint``
    """
    return sorted(
        runs, key=lambda run: (not run.carried, -run.item.length_hint)
    )


def share_engines(count, work, previous):
    """Return how many engines each model should get.

    Each model gets one at least, the rest goes by work. Shares change only
    when one is off by more than rounding explains: each change costs loads.

    :param count: number of engines
    :param work: dict from model to its work, in any one unit
    :param previous: the last shares, dict from model to engines
    :returns: dict from model to engines
    """
    models = sorted(work)
    if not models:
        return {}
    total = sum(work.values())
    ideal = {}
    for model in models:
        part = work[model] / total if total else 1 / len(models)
        ideal[model] = max(min(1.0, count / len(models)), count * part)
    if set(previous) == set(models) and sum(previous.values()) == count:
        off = max(abs(previous[name] - ideal[name]) for name in models)
        if off <= SHARE_HYSTERESIS:
            return previous
    shares = {model: int(ideal[model]) for model in models}
    # More models than engines, or a minimum that others have to give for.
    while sum(shares.values()) > count:
        most = max(models, key=lambda name: (shares[name], name))
        shares[most] -= 1
    while sum(shares.values()) < count:
        short = max(
            models, key=lambda name: (ideal[name] - shares[name], name)
        )
        shares[short] += 1
    return shares


def assign_models(shares, engines, previous):
    """Assign engines to models by share, and move as few as possible.

    :param shares: dict from model to its number of engines
    :param engines: dict from engine id to its versions by model
    :param previous: the last assignment, dict from engine id to model
    :returns: dict from engine id to model
    """
    left = dict(shares)
    assignment = {}
    for engine in sorted(engines):
        model = previous.get(engine)
        if left.get(model, 0) > 0:
            assignment[engine] = model
            left[model] -= 1
    for engine in sorted(engines):
        if engine in assignment:
            continue
        wanting = [model for model in sorted(left) if left[model] > 0]
        if not wanting:
            break
        versions = engines[engine]
        # The one that lacks most, then the newest version already there.
        model = max(
            wanting, key=lambda name: (left[name], versions.get(name, 0))
        )
        assignment[engine] = model
        left[model] -= 1
    return assignment


def count_loads_at_once(engine_count):
    """Return how many of a service's engines may load together."""
    return max(LOADS_MIN, int(engine_count * LOADS_SHARE))


def choose_loads(engines, named, demand, named_age_s, loads_free):
    """Choose the engines that load a model's named version now.

    A load stops new starts on its engine for about a second. So an engine
    that may still run what is open, and the step that comes next, loads only
    once all of it has started; one that is too old for either loads at once.

    :param engines: :class:`~directory.EndpointState` assigned to the model,
        without those that load already
    :param named: the newest version, with its model
    :param demand: the :class:`ModelDemand` of the model
    :param named_age_s: how long ago the version was named
    :param loads_free: how many more engines may begin to load without making
        each load longer
    :returns: list of engines
    """
    model, version = named
    next_min = version - demand.versions_behind
    chosen = []
    later = []
    for state in engines:
        held = state.versions.get(model, 0)
        if held >= version:
            continue
        needed = held < demand.version_min
        if needed or (held < next_min and not demand.waiting):
            chosen.append(state)
        elif _is_lull(demand, next_min, named_age_s):
            later.append(state)
    later.sort(key=lambda state: (len(state.item_runs), state.id))
    free = max(0, loads_free - len(chosen))
    return chosen + later[:free]


def _is_lull(demand, next_min, named_age_s):
    if demand.waiting:
        return False
    # The step that is submitted for this version has started.
    if demand.newest_version_min >= next_min:
        return True
    return named_age_s > LOAD_PATIENCE_S


class ModelDemand:
    """What open submissions ask of a model.

    :param waiting: items that wait for an engine
    :param version_min: oldest version that all unfinished items accept
    :param newest_version_min: largest ``version_min`` of an open submission
    :param versions_behind: how far below the named version the trainer's
        submissions still accept
    """

    __slots__ = (
        'version_min',
        'newest_version_min',
        'versions_behind',
        'waiting',
    )

    def __init__(
        self,
        waiting=0,
        version_min=0,
        newest_version_min=0,
        versions_behind=DEFAULT_VERSIONS_BEHIND,
    ):
        self.versions_behind = versions_behind
        self.waiting = waiting
        self.version_min = version_min
        self.newest_version_min = newest_version_min
