"""Moves of unfinished items from slow engines to faster ones.

All runs leave an engine that stays slow. The last items of a step also leave
an engine that is slow for a short time: a noisy neighbour slows each event by
a factor of 2.5 for about 600 ms, and the step ends only with its longest
item. The other engines are probed for their current slowness before such a
move, because earlier observations say little about it.
"""

import asyncio
import collections
import heapq
import math

from clementineline.coordination import memory
from clementineline.coordination import placement
from clementineline.coordination import probing

__all__ = [
    'StragglerMover',
    'choose_engines_to_probe',
    'choose_target',
    'estimate_remaining_events',
    'find_typical_pace',
    'is_overdue',
]

CHECK_INTERVAL_S = 0.02
# The paces of all engines change little in this time, and there may be
# thousands of engines.
PACES_INTERVAL_S = 0.1
# At the start of a step, engines prefill prompts and have no free slots, so
# younger items are not moved.
ITEM_AGE_MIN_S = 0.4
# Share of a step's items that count as its tail. Moving more items would only
# fill the engine to which they move.
TAIL_SHARE = 1 / 6
TAIL_ITEMS_MIN = 4
# An event is overdue after this multiple of the typical time for an event.
OVERDUE_FACTOR = 1.4
# Minimum ratio of the slowness of the current engine to that of the target.
# The target needs the time of one or two events for the prefill of the prompt
# and the text.
MOVE_FACTOR = 1.5
# Minimum time between two checks of the same item.
RECHECK_INTERVAL_S = 0.25
# An engine with a free slot and memory generates the first event within 0.1 s.
FIRST_EVENT_OVERDUE_S = 0.25
# Limit on the engines that are probed besides the current one, so that the
# number of probes does not grow with the fleet.
PROBED_OTHERS_MAX = 5
# Limit on the moves of one item off engines that stay slow.
MOVES_MAX = 3


def find_typical_pace(engines):
    """Return the lower median of the engines' paces in seconds, or None."""
    paces = sorted(state.pace_s for state in engines if state.pace_s)
    if not paces:
        return None
    return paces[(len(paces) - 1) // 2]


def estimate_remaining_events(run, event_tokens):
    """Estimate the number of events that an item still needs.

    The lengths of items that exceed their hint have a long-tailed
    distribution: the more events there are already, the more are to be
    expected.

    :param run: the :class:`~itemruns.ItemRun`
    :param event_tokens: tokens per event
    """
    received = len(run.texts)
    return max(run.item.length_hint / event_tokens - received, received / 2)


def is_overdue(run, typical_s, now):
    """Return whether an item's next event is late enough to consider a move.

    :param run: the :class:`~itemruns.ItemRun`
    :param typical_s: typical time for an event, in seconds
    :param now: loop time, in seconds
    """
    if (
        now - run.move_checked_at < RECHECK_INTERVAL_S
        or now - run.first_started_at < ITEM_AGE_MIN_S
    ):
        return False
    if run.last_event_at is None:
        return now - run.started_at > FIRST_EVENT_OVERDUE_S
    return now - run.last_event_at > OVERDUE_FACTOR * typical_s


def _can_accept(state, model, version_min, now):
    if now < state.backoff_until:
        return False
    if len(state.item_runs) >= state.record.slots:
        return False
    return placement.can_run(state, model, version_min)


def choose_engines_to_probe(current, candidates, model, version_min, now):
    """Choose the engines whose slowness is probed, the current one first.

    :param current: :class:`~directory.EndpointState` of the item's engine
    :param candidates: :class:`~directory.EndpointState` of the engines that
        may continue the item
    :returns: list of :class:`~directory.EndpointState`; only the current
        engine if no other can accept the item
    """
    others = []
    for state in candidates:
        if state is current:
            continue
        if _can_accept(state, model, version_min, now):
            others.append(state)
    others.sort(key=lambda state: (len(state.item_runs), state.id))
    return [current, *others[:PROBED_OTHERS_MAX]]


def choose_target(run, candidates, model, version_min, now, has_room):
    """Choose the engine on which an item continues, from recent load reports.

    The target has no queue and is faster by ``MOVE_FACTOR``. It only needs to
    be as fast as the current engine if that one has a queue and the run has no
    event yet.

    :param run: the :class:`~itemruns.ItemRun`
    :param candidates: :class:`~directory.EndpointState` of the other engines
        that were probed
    :param has_room: function from an engine and a run to whether the engine
        has enough memory for the run
    :returns: an :class:`~directory.EndpointState`, or None if the item stays
    """
    current = run.state
    if now - current.load_at > probing.LOAD_MAX_AGE_S:
        return None
    factor = MOVE_FACTOR
    if run.last_event_at is None and current.queued:
        factor = 1.0
    best = None
    best_score = None
    for state in candidates:
        if now - state.load_at > probing.LOAD_MAX_AGE_S:
            continue
        if state.queued or state.slowness * factor > current.slowness:
            continue
        if not _can_accept(state, model, version_min, now):
            continue
        score = (state.slowness, len(state.item_runs), state.id)
        if best is not None and score >= best_score:
            continue
        if has_room(state, run):
            best, best_score = state, score
    return best


class StragglerMover:
    """Moves unfinished items of open submissions off slow engines.

    :param directory: the :class:`~directory.Directory`
    :param prober: the :class:`~probing.LoadProber`
    :param list_open: function that returns the open submissions
    :param list_engines: function from a submission and a run to the engines
        that may continue the run
    :param get_service: function from an engine to its
        :class:`~routes.ServiceTarget`, or None
    :param log: logger
    """

    __slots__ = (
        '_directory',
        '_get_service',
        '_list_engines',
        '_list_open',
        '_log',
        '_prober',
        '_slow_checked_at',
        '_typical',
        '_typical_at',
    )

    def __init__(
        self, directory, prober, list_open, list_engines, get_service, log
    ):
        self._directory = directory
        self._get_service = get_service
        self._list_engines = list_engines
        self._list_open = list_open
        self._log = log
        self._prober = prober
        self._slow_checked_at = -PACES_INTERVAL_S
        # Typical pace by service, in seconds, and when it was computed.
        self._typical = {}
        self._typical_at = -PACES_INTERVAL_S

    async def run(self):
        """Move overdue items of a step's tail until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for open_submission, run in self._list_overdue():
                await self._check(open_submission, run)

    def _list_movable(self):
        """Return the running items of submissions without waiting items.

        :returns: list of ``(open submission, run)``
        """
        found = []
        for open_submission in self._list_open():
            if open_submission.ended or open_submission.waiting:
                continue
            for run in open_submission.runs.values():
                if run.task is not None and not run.moving:
                    found.append((open_submission, run))
        return found

    def _list_overdue(self):
        now = asyncio.get_running_loop().time()
        typical = self._find_typical_paces(now)
        tails = collections.defaultdict(list)
        for open_submission, run in self._list_movable():
            tails[open_submission].append(run)
        overdue = []
        for open_submission, runs in tails.items():
            for run in self._choose_tail(open_submission, runs):
                typical_s = typical.get(run.state.record.service)
                if typical_s and is_overdue(run, typical_s, now):
                    overdue.append((open_submission, run))
        return overdue

    def _find_typical_paces(self, now):
        if now - self._typical_at >= PACES_INTERVAL_S:
            self._typical_at = now
            self._typical = {}
            for service, engines in self._group_engines().items():
                self._typical[service] = find_typical_pace(engines)
        return self._typical

    def _choose_tail(self, open_submission, runs):
        """Return the runs with the most remaining events, in that order."""
        count = math.ceil(len(open_submission.submission.items) * TAIL_SHARE)
        service = self._get_service(runs[0].state)
        event_tokens = service.event_tokens if service else 1
        return heapq.nlargest(
            max(count, TAIL_ITEMS_MIN),
            runs,
            key=lambda run: estimate_remaining_events(run, event_tokens),
        )

    def _has_room(self, state, run):
        return memory.has_room(state, run, self._get_service(state))

    def _group_engines(self):
        services = collections.defaultdict(list)
        for state in self._directory.endpoints.values():
            services[state.record.service].append(state)
        return services

    async def _check(self, open_submission, run):
        """Probe other engines for an overdue run; move it if one is faster."""
        submission = open_submission.submission
        current = run.state
        if current is None or run.moving:
            return
        loop = asyncio.get_running_loop()
        run.move_checked_at = loop.time()
        engines = self._list_engines(submission, run)
        wanted = (submission.model, submission.version_min)
        probed = choose_engines_to_probe(
            current, engines, *wanted, loop.time()
        )
        if len(probed) < 2:
            return
        await self._prober.probe(probed)
        if run.state is not current or run.moving or open_submission.ended:
            return
        target = choose_target(
            run, probed[1:], *wanted, loop.time(), self._has_room
        )
        if target is None:
            return
        self._move(run, target, 'slow at this moment')

    def _move(self, run, target, reason):
        self._log.info(
            'straggler moved',
            request=run.item.id,
            endpoint=run.state.id,
            target=target.id if target else None,
            slowness=run.state.slowness,
            target_slowness=target.slowness if target else None,
            pace_ms=round((run.state.pace_s or 0) * 1000),
            events=len(run.texts),
            reason=reason,
        )
        if target is not None:
            # Reserve the slot now, so that no other run that moves is given
            # the same one.
            target.item_runs.add(run)
        run.target = target
        run.moving = True
        run.task.cancel()

    def move_off_slow_engines(self):
        """Move runs off engines that have been slow for some time."""
        now = asyncio.get_running_loop().time()
        if now - self._slow_checked_at < PACES_INTERVAL_S:
            return
        self._slow_checked_at = now
        for engines in self._group_engines().values():
            placement.update_slow_since(engines, now)
        for open_submission, run in self._list_movable():
            submission = open_submission.submission
            if run.moves >= MOVES_MAX:
                continue
            if now - run.started_at < placement.SLOW_DURATION_MIN_S:
                continue
            if not placement.has_faster_engine(
                run.state,
                self._list_engines(submission, run),
                submission.model,
                submission.version_min,
                now,
            ):
                continue
            run.moves += 1
            run.avoid.add(run.state.id)
            self._move(run, None, 'slow for a while')
