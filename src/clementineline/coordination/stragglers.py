"""Moving unfinished items off engines that are slow.

An engine that stays slow loses all its runs to a faster one. The last items
of a step also leave an engine that is slow for a moment: a neighbour's burst
lasts some 600 ms and makes each event take 2.5 times as long, and a step
waits for its longest item alone. How fast the other engines are at that
moment is asked of them, since what was seen earlier says little about it.
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
    'choose_probed',
    'choose_target',
    'estimate_left',
    'find_typical_pace',
    'is_overdue',
]

CHECK_S = 0.02
# Before it, prompts are read and no engine has a free slot for a move.
TAIL_AGE_S = 0.4
# Items of a step that may be its last; moving the others with them would only
# fill the engine that they go to.
TAIL_SHARE = 1 / 6
TAIL_MIN = 4
# An event is overdue at this multiple of the time that events usually take.
OVERDUE_FACTOR = 1.4
# How much slower the engine must say it is than the one that goes on: the
# prompt and the text are read anew there in the time of one or two events.
MOVE_FACTOR = 1.5
MOVE_PAUSE_S = 0.25
# An engine with a free slot and memory makes the first event within 0.1 s.
HEAD_OVERDUE_S = 0.25
# Beside the engine itself, so that probes do not grow with the fleet.
PROBED_MAX = 5
# How often an item leaves engines that stay slow.
MOVES_MAX = 3


def find_typical_pace(engines):
    """Return the lower median of the engines' paces, in seconds, or None."""
    paces = sorted(state.pace_s for state in engines if state.pace_s)
    if not paces:
        return None
    return paces[(len(paces) - 1) // 2]


def estimate_left(run, event_tokens):
    """Estimate how many events an item still makes.

    One that outgrew its hint has a long tail: the more it has made, the more
    is to be expected.
    """
    made = len(run.texts)
    return max(run.item.length_hint / event_tokens - made, made / 2)


def is_overdue(run, typical_s, now):
    """Whether an item's next event is late enough to ask why.

    :param run: the :class:`~itemruns.ItemRun`
    :param typical_s: time that an event usually takes, in seconds
    :param now: loop time, in seconds
    """
    if (
        now - run.move_checked_at < MOVE_PAUSE_S
        or now - run.first_started_at < TAIL_AGE_S
    ):
        return False
    if run.last_event_at is None:
        return now - run.started_at > HEAD_OVERDUE_S
    return now - run.last_event_at > OVERDUE_FACTOR * typical_s


def _may_take(state, model, version_min, now):
    if now < state.penalty_until:
        return False
    if len(state.item_runs) >= state.record.slots:
        return False
    return placement.can_run(state, model, version_min)


def choose_probed(current, candidates, model, version_min, now):
    """Choose the engines to ask how slow they are, the current one first.

    :returns: list of :class:`~directory.EndpointState`; the current engine
        alone if no other may take the item
    """
    others = []
    for state in candidates:
        if state is current:
            continue
        if _may_take(state, model, version_min, now):
            others.append(state)
    others.sort(key=lambda state: (len(state.item_runs), state.id))
    return [current, *others[:PROBED_MAX]]


def choose_target(run, candidates, model, version_min, now, has_room):
    """Choose the engine on which an item goes on, from fresh answers.

    An item whose run has not begun since its engine lets requests wait goes
    to any engine that does not.

    :param run: the :class:`~itemruns.ItemRun`
    :param candidates: engines that were asked
    :param has_room: function from an engine and a run to whether its memory
        takes it
    :returns: an :class:`~directory.EndpointState`, or None to stay
    """
    current = run.state
    if now - current.load_at > probing.LOAD_FRESH_S:
        return None
    factor = MOVE_FACTOR
    if run.last_event_at is None and current.queued:
        factor = 1.0
    best = None
    best_score = None
    for state in candidates:
        if now - state.load_at > probing.LOAD_FRESH_S:
            continue
        if state.queued or state.slowness * factor > current.slowness:
            continue
        if not _may_take(state, model, version_min, now):
            continue
        score = (state.slowness, len(state.item_runs), state.id)
        if best is not None and score >= best_score:
            continue
        if has_room(state, run):
            best, best_score = state, score
    return best


class StragglerMover:
    """Watches the unfinished items of open submissions.

    :param directory: the :class:`~directory.Directory`
    :param prober: the :class:`~probing.LoadProber`
    :param list_open: function that returns the open submissions
    :param list_engines: function from a submission and a run to the engines
        that may go on with it
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

    async def run(self):
        """Move the last items off engines that turn slow, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            for entry, run in self._list_overdue():
                await self._check(entry, run)

    def _list_settled(self):
        """Return ``(open submission, run)`` where nothing waits any more."""
        found = []
        for entry in self._list_open():
            if entry.ended or entry.waiting:
                continue
            for run in entry.runs.values():
                if run.task is not None and not run.moving:
                    found.append((entry, run))
        return found

    def _list_overdue(self):
        now = asyncio.get_running_loop().time()
        typical = {}
        for service, engines in self._group_engines().items():
            typical[service] = find_typical_pace(engines)
        tails = collections.defaultdict(list)
        for entry, run in self._list_settled():
            tails[entry].append(run)
        overdue = []
        for entry, runs in tails.items():
            for run in self._choose_tail(entry, runs):
                typical_s = typical.get(run.state.record.service)
                if typical_s and is_overdue(run, typical_s, now):
                    overdue.append((entry, run))
        return overdue

    def _choose_tail(self, entry, runs):
        """Return the runs that the step may wait for, the longest first."""
        count = math.ceil(len(entry.submission.items) * TAIL_SHARE)
        service = self._get_service(runs[0].state)
        event_tokens = service.event_tokens if service else 1
        return heapq.nlargest(
            max(count, TAIL_MIN),
            runs,
            key=lambda run: estimate_left(run, event_tokens),
        )

    def _has_room(self, state, run):
        return memory.has_room(state, run, self._get_service(state))

    def _group_engines(self):
        services = collections.defaultdict(list)
        for state in self._directory.endpoints.values():
            services[state.record.service].append(state)
        return services

    async def _check(self, entry, run):
        submission = entry.submission
        current = run.state
        if current is None or run.moving:
            return
        loop = asyncio.get_running_loop()
        run.move_checked_at = loop.time()
        engines = self._list_engines(submission, run)
        wanted = (submission.model, submission.version_min)
        probed = choose_probed(current, engines, *wanted, loop.time())
        if len(probed) < 2:
            return
        await self._prober.probe(probed)
        if run.state is not current or run.moving or entry.ended:
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
            # Taken at once, so that others that move do not count on it.
            target.item_runs.add(run)
        run.target = target
        run.moving = True
        run.task.cancel()

    def leave_slow_engines(self):
        """Move runs off engines that have been slow for a while."""
        now = asyncio.get_running_loop().time()
        for engines in self._group_engines().values():
            placement.note_slow_engines(engines, now)
        for entry, run in self._list_settled():
            submission = entry.submission
            if run.moves >= MOVES_MAX:
                continue
            if now - run.started_at < placement.SLOW_PATIENCE_S:
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
