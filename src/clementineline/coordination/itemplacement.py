"""Placement of the items of a step by expected completion.

An engine runs as many items as it has slots, at a pace that hardly depends on
their number, and starts items only on free slots. A round therefore assigns
the waiting items, the longest first, each to the slot where it would complete
first: a free one, or one of a faster engine that is about to become free. An
item of the second kind waits. So long items get the fast engines, also those
that arrive while only slow ones are free, and short items the slow engines.

The engines are grouped by speed, so an item is compared with one slot of each
of a few groups. It is designed for a hundred items and some hundred engines a
round.
"""

import collections
import heapq
import itertools
import math

from clementineline.coordination import completion
from clementineline.coordination import costs
from clementineline.coordination import directory
from clementineline.coordination import placement

__all__ = ['ItemPlacer', 'build_placer']

# An item waits only if it would complete earlier by this share of its expected
# time on the engine that is free.
WAIT_GAIN_MIN = 0.15
# The wait of an item is limited, since its estimate and those of the items
# before it may be wrong: to this share of what the faster engine saves, and in
# total.
WAIT_SHARE = 0.5
WAIT_MAX_S = 3.0
# Busy slots are only looked at in services with fewer engines. With more, a
# slot of a fast engine is nearly always free.
ENGINES_MAX = 400
# Slots whose times differ by less are ties.
TIE_S = 0.05
# An engine whose pace has been slow for this long has no noisy neighbour.
LASTING_SLOWNESS_S = 1.0


class _Engines:
    """The engines of one speed.

    :ivar free: heap of ``(ready_s, other_zone, running, number, state)`` of
        each engine with a free slot
    :ivar busy: heap of ``(ready_s, number, state)`` of each busy slot
    :ivar states: the engines
    """

    __slots__ = ('busy', 'free', 'speed', 'states')

    def __init__(self, speed):
        self.busy = []
        self.free = []
        self.speed = speed
        self.states = set()


class ItemPlacer:
    """The engines that may start items in one round, and when.

    :param candidates: :class:`~directory.EndpointState` of the service
    :param model: the items' model, empty for none
    :param version_min: oldest version that may run the items
    :param now: loop time, in seconds
    :param limits: the :class:`~ratelimits.RateLimits`, or None if engines
        have no limits of requests a second
    :param view: the :class:`~completion.ServiceView` of the service
    :param learned: the :class:`~completion.CompletionModel`
    :param event_s: time for an event at normal speed, in seconds
    :param event_tokens: number of tokens in an event
    :ivar waits: whether the last item waits for a faster engine
    """

    __slots__ = (
        '_engines',
        '_event_s',
        '_event_tokens',
        '_free',
        '_holders',
        '_learned',
        '_limits',
        '_now',
        '_number',
        '_ready',
        '_running',
        '_view',
        'waits',
    )

    def __init__(
        self,
        candidates,
        model,
        version_min,
        now,
        limits,
        view,
        learned,
        event_s,
        event_tokens,
    ):
        self._event_s = event_s
        self._event_tokens = event_tokens
        self._learned = learned
        self._limits = limits
        self._now = now
        self._view = view
        self._number = itertools.count()
        # By id of the engine: number of running items, and the time until it
        # starts an item on a free slot, in seconds.
        self._running = {}
        self._ready = {}
        # Engines with items of a group, by name of the group.
        self._holders = collections.defaultdict(list)
        self._engines = {}
        # Number of free slots.
        self._free = 0
        self.waits = False
        usable = []
        for state in candidates:
            if now < state.backoff_until:
                continue
            if not placement.can_run(state, model, version_min):
                continue
            if limits is not None and not limits.may_start(state):
                continue
            usable.append(state)
            self._free += max(0, state.record.slots - len(state.item_runs))
        if not self._free:
            return
        for state in usable:
            self._add(state, len(usable) <= ENGINES_MAX)
        for engines in self._engines.values():
            heapq.heapify(engines.free)
            heapq.heapify(engines.busy)

    def _add(self, state, look_at_runs):
        speed = self._view.get_speed(state)
        slow_since = state.slow_since
        if (
            slow_since is not None
            and state.pace_s
            and self._now - slow_since > LASTING_SLOWNESS_S
        ):
            seen = completion.quantise_speed(self._event_s / state.pace_s)
            speed = min(speed, seen)
        slowness = completion.estimate_slowness(state, self._now)
        ready_s = completion.estimate_delay(math.inf, slowness)
        if state.queued and self._now - state.load_at < directory.LOAD_TTL_S:
            # Requests of other processes wait there as well.
            usual_s = self._convert(costs.DEFAULT_TOKENS) / speed
            ready_s += state.queued * usual_s / state.record.slots
        engines = self._engines.get(speed)
        if engines is None:
            engines = self._engines[speed] = _Engines(speed)
        engines.states.add(state)
        self._ready[state.id] = ready_s
        self._running[state.id] = len(state.item_runs)
        if len(state.item_runs) < state.record.slots:
            engines.free.append(self._build_entry(state))
        for run in state.item_runs:
            holders = self._holders[run.item.group]
            if state not in holders:
                holders.append(state)
            if look_at_runs:
                left_s = self._estimate_left(run, True) / speed
                entry = (ready_s + left_s, next(self._number), state)
                engines.busy.append(entry)

    def _build_entry(self, state):
        return (
            self._ready[state.id],
            state.record.zone != self._learned.zone,
            self._running[state.id],
            next(self._number),
            state,
        )

    def _convert(self, tokens):
        """Return the time for tokens at normal speed, in seconds."""
        return tokens * self._event_s / self._event_tokens

    def _estimate_left(self, run, has_prompt):
        """Return the time that a run needs at normal speed, in seconds."""
        estimate = self._learned.costs.estimate(
            run.kind,
            run.item.length_hint,
            0 if has_prompt else run.item.prompt_tokens,
        )
        done = len(run.texts) * self._event_tokens
        return self._convert(costs.remaining(estimate, done))

    def choose(self, run, excluded=(), fits=None):
        """Choose the engine that is expected to complete an item first.

        Items are given in the order of their start. An item for which None is
        returned while ``waits`` is true has its place on a slot that becomes
        free soon.

        :param run: the :class:`~itemruns.ItemRun`
        :param excluded: ids of engines that must not be chosen
        :param fits: function that returns whether an engine has enough memory
        :returns: a :class:`~completion.Choice`, or None if no engine may run
            the item now
        """
        self.waits = False
        if not self._free:
            return None
        work_s = self._estimate_left(run, False)
        found = self._find_free(work_s, excluded, fits)
        if found is None:
            return None
        done_s, engines, state = found
        if self._reserve_busy(run, work_s, found, excluded):
            self.waits = True
            return None
        holder = self._find_holder(run, engines, state, excluded, fits)
        if holder is not None:
            state = holder
            work_s = self._estimate_left(run, True)
            done_s = self._ready[state.id] + work_s / engines.speed
        self._take(run, engines, state, done_s)
        return completion.Choice(
            state,
            done_s,
            self._ready[state.id],
            engines.speed,
            work_s / self._convert(1.0),
        )

    def _find_free(self, work_s, excluded, fits):
        """Find the engine where an item would complete first if started now.

        :returns: ``(time until completion, engines, state)``, or None
        """

        def accepts(entry):
            state = entry[-1]
            if state.id in excluded or not self._is_valid(entry):
                return False
            return fits is None or fits(state)

        best = None
        for engines in self._engines.values():
            while engines.free and not self._is_valid(engines.free[0]):
                heapq.heappop(engines.free)
            entry = _find_first(engines.free, accepts)
            if entry is None:
                continue
            done_s = entry[0] + work_s / engines.speed
            if best is None or done_s < best[0]:
                best = (done_s, engines, entry[-1])
        return best

    def _is_valid(self, entry):
        """Return whether its engine got no item since, and may get one."""
        _, _, running, _, state = entry
        if running != self._running[state.id]:
            return False
        return self._limits is None or self._limits.may_start(state)

    def _reserve_busy(self, run, work_s, found, excluded):
        """Reserve a slot that becomes free soon, if the wait is worth it.

        :param found: the best engine with a free slot, from
            :meth:`_find_free`
        :returns: whether the item waits for the slot
        """
        free_done_s, free_engines, _ = found
        best = None
        for engines in self._engines.values():
            if engines.speed <= free_engines.speed:
                continue
            entry = _find_first(
                engines.busy, lambda entry: entry[-1].id not in excluded
            )
            if entry is None:
                continue
            done_s = entry[0] + work_s / engines.speed
            if best is None or done_s < best[0]:
                best = (done_s, engines, entry)
        if best is None:
            return False
        done_s, engines, entry = best
        if free_done_s - done_s < WAIT_GAIN_MIN * free_done_s:
            return False
        saved_s = work_s / free_engines.speed - work_s / engines.speed
        limit_s = min(WAIT_MAX_S, WAIT_SHARE * saved_s)
        waited_s = 0.0
        if run.waits_since is not None:
            waited_s = self._now - run.waits_since
        if waited_s + entry[0] > limit_s:
            return False
        engines.busy.remove(entry)
        engines.busy.append((done_s, next(self._number), entry[-1]))
        heapq.heapify(engines.busy)
        return True

    def _find_holder(self, run, engines, chosen, excluded, fits):
        """Find an engine as good as the chosen one that holds the prompt."""
        for state in self._holders.get(run.item.group, ()):
            if state is chosen:
                return state
        for state in self._holders.get(run.item.group, ()):
            if state.id in excluded or state not in engines.states:
                continue
            if self._running[state.id] >= state.record.slots:
                continue
            if self._ready[state.id] > self._ready[chosen.id] + TIE_S:
                continue
            if self._limits is not None and not self._limits.may_start(state):
                continue
            if fits is None or fits(state):
                return state
        return None

    def _take(self, run, engines, state, done_s):
        """Take a slot of an engine for an item."""
        self._free -= 1
        self._running[state.id] += 1
        if self._running[state.id] < state.record.slots:
            heapq.heappush(engines.free, self._build_entry(state))
        heapq.heappush(engines.busy, (done_s, next(self._number), state))
        holders = self._holders[run.item.group]
        if state not in holders:
            holders.append(state)
        if self._limits is not None:
            self._limits.reserve(state)


def build_placer(
    learned,
    candidates,
    model,
    version_min,
    now,
    limits,
    kind,
    get_service,
):
    """Build what chooses the engines of a submission's items in a round.

    :param learned: the :class:`~completion.CompletionModel`
    :param candidates: see :class:`ItemPlacer`, as the further parameters
    :param kind: names of the items' route and model
    :param get_service: function from an engine to its
        :class:`~routes.ServiceTarget`, or None
    :returns: an :class:`ItemPlacer` if placement by expected completion is in
        effect for the engines' service, otherwise a
        :class:`~placement.EngineShortlist`
    """
    view = None
    if candidates:
        view = learned.find_view(candidates[0].record.service, now)
    if view is None:
        return placement.EngineShortlist(
            candidates, model, version_min, now, limits
        )
    service = get_service(candidates[0])
    return ItemPlacer(
        candidates,
        model,
        version_min,
        now,
        limits,
        view,
        learned,
        learned.get_event_s(*kind),
        service.event_tokens if service else 1,
    )


def _find_first(heap, accepts):
    """Return the first entry of a heap that is accepted, or None."""
    passed = []
    found = None
    while heap:
        if accepts(heap[0]):
            found = heap[0]
            break
        passed.append(heapq.heappop(heap))
    for entry in passed:
        heapq.heappush(heap, entry)
    return found
