"""The owner of open submissions, which runs items and records results.

Its state can be rebuilt from the ledger. Two owners at the same time waste
work but do no harm, since only the ledger assigns positions to results.
"""

import asyncio
import functools
import time
import zlib

from clementineline.coordination import authorization
from clementineline.coordination import carryover
from clementineline.coordination import endpointchoice
from clementineline.coordination import fairorder
from clementineline.coordination import itemplacement
from clementineline.coordination import itemruns
from clementineline.coordination import ledger
from clementineline.coordination import memory
from clementineline.coordination import opensubmissions
from clementineline.coordination import placement
from clementineline.coordination import probing
from clementineline.coordination import recording
from clementineline.coordination import stragglers
from clementineline import errors
from clementineline.state import submissions

__all__ = ['SubmissionOwner']

SCHEDULING_INTERVAL_S = 0.1
LOAD_RETRY_DELAY_S = 0.2
ROUTES_RETRY_DELAY_S = 0.2
REFUSED_RETRY_DELAY_S = 0.05
BROKEN_RETRY_DELAY_S = 0.05
# A gateway may read a chunk from the ledger before its create is acknowledged
# to the owner. A result that was read once must be readable from the owner a
# second later, so reads consult the ledger while a create has been
# unconfirmed for longer than this.
UNCONFIRMED_READ_DELAY_S = 0.3
# Limit on the engines that are probed for a new submission, so that the
# probes do not grow with the fleet.
PROBED_ENGINES_MAX = 12


class SubmissionOwner:
    """Runs all open submissions while this process leads.

    :param submission_ledger: the :class:`~ledger.Ledger`
    :param directory: the :class:`~directory.Directory`
    :param pool: the :class:`~connections.ConnectionPool`
    :param dialect: the platform's dialect
    :param get_routes: function that returns the route table in force
    :param may_lead: function that returns whether the lease is held
    :param log: logger
    :param retain_s: age at which a submission is removed, in seconds
    :param cache: the :class:`~texts.TextCache`
    :param replicator: the :class:`~texts.TextReplicator`
    :param scorer: the :class:`~scoring.RewardScorer`
    :param limits: the :class:`~ratelimits.RateLimits`
    :param learned: the :class:`~completion.CompletionModel`
    :param list_assigned: function from a service and a model to the engines
        assigned to the model, or None if all engines of the service are used
    :ivar open_submissions: dict from submission id to its
        :class:`~opensubmissions.OpenSubmission`; ended ones stay until they
        are removed from the ledger
    :ivar fair_order: the :class:`~fairorder.FairOrder` of the submissions
    :ivar synced: whether the ledger's submissions were listed in full
    :ivar on_submission: called with each submission that is started
    :ivar on_run_end: called with the end of each run, one of
        :class:`~itemruns.RunEnd`, and its duration in seconds
    :ivar on_outdated_routes: called while a submission waits for a newer
        route table than the one in force
    """

    __slots__ = (
        '_cache',
        '_dialect',
        '_directory',
        '_get_routes',
        '_learned',
        '_ledger',
        '_limits',
        '_list_assigned',
        '_log',
        '_may_lead',
        '_pool',
        '_prober',
        '_replicator',
        '_scorer',
        '_stopped',
        '_tasks',
        '_wakeup',
        'fair_order',
        'on_outdated_routes',
        'on_run_end',
        'on_submission',
        'open_submissions',
        'retain_s',
        'stragglers',
        'synced',
        'writer',
    )

    def __init__(
        self,
        submission_ledger,
        directory,
        pool,
        dialect,
        get_routes,
        may_lead,
        log,
        retain_s,
        cache,
        replicator,
        scorer,
        limits,
        learned,
        list_assigned,
    ):
        self._learned = learned
        self._ledger = submission_ledger
        self._directory = directory
        self._pool = pool
        self._dialect = dialect
        self._get_routes = get_routes
        self._may_lead = may_lead
        self._log = log
        self._cache = cache
        self._replicator = replicator
        self._scorer = scorer
        self._limits = limits
        self._list_assigned = list_assigned
        self.on_submission = lambda submission: None
        self.on_run_end = lambda end, took_s: None
        self.on_outdated_routes = lambda: None
        self.writer = recording.ResultWriter(submission_ledger, may_lead, log)
        self._prober = probing.LoadProber(pool, dialect, get_routes, log)
        self.stragglers = stragglers.StragglerMover(
            directory,
            self._prober,
            lambda: list(self.open_submissions.values()),
            self._list_engines_for_run,
            self._get_service,
            log,
        )
        self.fair_order = fairorder.FairOrder(
            get_routes,
            lambda submission: self._list_engines(submission, ''),
            log,
        )
        self._stopped = False
        self._tasks = set()
        self._wakeup = asyncio.Event()
        self.open_submissions = {}
        self.synced = False
        self.retain_s = retain_s

    # Following the ledger.

    def apply(self, objects, removed, whole):
        """Apply a full list or changes of the ledger's submissions.

        :param objects: :class:`~objects.PlatformObject` of each submission
            that is listed or has changed
        :param removed: names of the removed objects
        :param whole: whether this is the full list
        """
        for found in objects:
            decoded = ledger.decode_submission_object(found)
            if decoded is None:
                self._log.error('submission not decoded', name=found.name)
                continue
            submission = decoded.submission
            entry = self.open_submissions.get(submission.id)
            if entry is None:
                entry = opensubmissions.OpenSubmission(
                    decoded, inherited=not self.synced
                )
                self.open_submissions[submission.id] = entry
                if not decoded.ended:
                    self._spawn(self._start_submission(entry))
            elif decoded.ended and not entry.ended:
                self._end_submission(entry)
        for name in removed:
            self.open_submissions.pop(name, None)
        if whole:
            self.synced = True

    def handle_recorded_end(self, submission_id):
        """End a submission before the watch reports its recorded end."""
        entry = self.open_submissions.get(submission_id)
        if entry is not None and not entry.ended:
            self._end_submission(entry)

    def wake(self):
        """Reschedule now: engines, routes or waiting items have changed."""
        self._wakeup.set()

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_done)
        return task

    def _handle_task_done(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error('owner task failed', exc_info=task.exception())

    async def load(self, entry):
        """Read a submission's items and results, unless they were read."""
        async with entry.loading:
            while not entry.loaded:
                entry.submission = await self._ledger.complete(entry.record)
                chunks = await self._ledger.read_chunks(entry.submission.id)
                for number, chunk in enumerate(chunks):
                    entry.add_chunk(number, chunk)
                if entry.inherited and not entry.complete:
                    # The owner before may have sent a create that the store
                    # carries out later.
                    entry.note_create(entry.chunk_count)
                entry.loaded = True

    async def _start_submission(self, entry):
        """Load a submission and queue its unfinished items."""
        age_s = time.time() - entry.submission.accepted_at
        while not entry.loaded:
            # Loading needs no lease check: a new submission has no other
            # owner, and the store rejects the create of an existing chunk.
            try:
                await self.load(entry)
            except errors.PlatformError as error:
                self._log.info('results not read', e=str(error))
                await asyncio.sleep(LOAD_RETRY_DELAY_S)
        await self._wait_for_routes(entry)
        if entry.ended:
            return
        submission = entry.submission
        self.on_submission(submission)
        if entry.inherited and not entry.complete:
            await self._replicator.gather([submission.id], self._cache)
        await self._prober.probe(
            self._list_engines(submission, '')[:PROBED_ENGINES_MAX]
        )
        if entry.ended:
            return
        for item in submission.items:
            if item.id in entry.positions:
                continue
            run = itemruns.ItemRun(
                item,
                organisation=submission.organisation,
                kind=(submission.route, submission.model),
            )
            carryover.restore_text(
                self._cache,
                submission,
                run,
                self._is_single_version(submission),
            )
            entry.runs[item.id] = run
            if run.whole:
                self._complete(entry, run)
            else:
                entry.waiting.append(run)
        carried = {
            run.item.group for run in entry.runs.values() if run.carried
        }
        for run in entry.runs.values():
            run.carried = run.item.group in carried
        entry.waiting = placement.sort_waiting_runs(entry.waiting)
        entry.writer = self._spawn(self.writer.run(entry))
        self._log.info(
            'submission opened',
            submission=submission.id,
            step=submission.step,
            model=submission.model,
            version_min=submission.version_min,
            items=len(submission.items),
            listed=len(entry.results),
            reused=len(entry.finished),
            carried=len(carried),
            age_s=round(age_s, 2),
        )
        self.wake()

    def _get_current_routes(self, submission):
        """Return the route table that applies to a submission.

        The gateway that accepted the submission may know a newer table than
        this process. An older one may lack the route, or hold other limits
        and targets of it.

        :returns: the :class:`~routes.RouteTable`; None if the one in force is
            older than the submission
        """
        table = self._get_routes()
        if table is None or table.version < submission.routes_version:
            return None
        return table

    def _find_route(self, submission):
        """Return a submission's route, None if it is unknown or removed."""
        table = self._get_current_routes(submission)
        return table.find(submission.route) if table else None

    async def _wait_for_routes(self, entry):
        """Wait for the route table under which a submission was accepted."""
        submission = entry.submission
        if self._get_current_routes(submission) is not None:
            return
        self._log.info(
            'submission waits for its route table',
            submission=submission.id,
            version=submission.routes_version,
        )
        while not entry.ended:
            self.on_outdated_routes()
            await asyncio.sleep(ROUTES_RETRY_DELAY_S)
            if self._get_current_routes(submission) is not None:
                return

    def _is_single_version(self, submission):
        route = self._find_route(submission)
        return route is not None and route.single_version

    def requires_single_version(self, model):
        """Return whether one version must generate each result of a model.

        This is so while a submission to a single-version route is open.
        """
        for entry in self.open_submissions.values():
            if entry.ended or entry.submission.model != model:
                continue
            if self._is_single_version(entry.submission):
                return True
        return False

    def measure_demand(self, model):
        """Return the :class:`~placement.ModelDemand` of a model."""
        demand = placement.ModelDemand()
        for entry in self.open_submissions.values():
            submission = entry.submission
            if entry.ended or submission.model != model:
                continue
            if submission.version_min > demand.newest_version_min:
                demand.newest_version_min = submission.version_min
            if not entry.waiting and entry.loaded:
                continue
            demand.waiting += len(entry.waiting) or 1
            needed = max(demand.version_min, submission.version_min)
            demand.version_min = needed
        return demand

    def _end_submission(self, entry):
        entry.ended = True
        for run in entry.runs.values():
            run.cancel()
        carryover.keep_texts(self._cache, entry)
        entry.waiting.clear()
        if entry.writer is not None:
            entry.writer.cancel()
            entry.writer = None
        self._settle(entry)
        self._log.info(
            'submission ended',
            submission=entry.submission.id,
            step=entry.submission.step,
            listed=len(entry.results),
            unfinished=len(entry.runs),
        )
        self.wake()

    def _settle(self, entry):
        """Settle the creates whose outcome an ended submission left open.

        The writer does so for one that is not ended.
        """
        if not entry.ended or entry.uncertain_chunk is None:
            return
        if entry.writer is None or entry.writer.done():
            entry.writer = self._spawn(self.writer.settle(entry))

    def keep_texts(self):
        """Cache the texts of the incomplete groups of open submissions."""
        for entry in self.open_submissions.values():
            if not entry.ended:
                carryover.keep_texts(self._cache, entry)

    def list_runs(self):
        """Return ``(submission id, run)`` for each unfinished item."""
        found = []
        for entry in self.open_submissions.values():
            if not entry.ended:
                for run in entry.runs.values():
                    found.append((entry.submission.id, run))
        return found

    # Running items.

    async def run(self):
        """Start waiting items on engines with free slots until cancelled."""
        while True:
            self._wakeup.clear()
            # Items are started even while the lease cannot be renewed: they
            # may run more than once, and only the ledger assigns positions.
            if self._may_lead():
                self._expire_submissions()
            self.stragglers.move_off_slow_engines()
            self._start_waiting()
            try:
                async with asyncio.timeout(SCHEDULING_INTERVAL_S):
                    await self._wakeup.wait()
            except TimeoutError:
                continue

    def _list_engines(self, submission, item_id):
        """Return the usable engines of the service chosen for an item.

        A route may split items between services; the item's id decides.
        """
        route = self._find_route(submission)
        if route is None:
            return []
        draw = zlib.crc32(item_id.encode()) / 2**32
        service = endpointchoice.choose_service(route.targets, draw)
        assigned = self._list_assigned(service, submission.model)
        if assigned is not None:
            return assigned
        return self._directory.list_usable(service)

    def _list_engines_for_run(self, submission, run):
        """Return the engines that may start or resume a run.

        On a single-version route, a run that has events can only be resumed
        by engines that hold the version which generated them.
        """
        engines = self._list_engines(submission, run.item.id)
        if not run.versions or not self._is_single_version(submission):
            return engines
        return placement.filter_by_version(
            engines, submission.model, run.versions[-1]
        )

    def _start_waiting(self):
        now = asyncio.get_running_loop().time()
        for turn in self.fair_order.list(
            self.open_submissions.values(), now, time.time()
        ):
            self._start_items(turn.entry, now, turn)

    def _start_items(self, entry, now, turn=None):
        submission = entry.submission
        still_waiting = []
        # By the identity of the list of engines, which is kept as well so that
        # no other list gets the same one.
        shortlists = {}
        for run in entry.waiting:
            allowed = turn is None or turn.allows(run)
            if now < run.not_before or not allowed:
                still_waiting.append(run)
                continue
            state = self._choose_engine(submission, run, now, shortlists)
            if state is None:
                still_waiting.append(run)
                continue
            self._start_run(entry, run, state, now, turn)
        entry.waiting = still_waiting

    def _start_run(self, entry, run, state, now, turn=None):
        self.fair_order.note_start(entry, run, turn)
        run.state = state
        run.started_at = now
        run.waits_since = None
        if not run.first_started_at:
            run.first_started_at = now
        state.item_runs.add(run)
        run.task = self._spawn(self._run_item(entry, run, state))
        run.task.add_done_callback(
            functools.partial(self._release_unstarted_run, entry, run, state)
        )

    def _release_unstarted_run(self, entry, run, state, task):
        # A task that is cancelled before it first runs never reaches the
        # cleanup in _run_item.
        if run.task is task:
            self.fair_order.note_end(entry, run, 0)
            state.item_runs.discard(run)
            run.task = None
            run.state = None

    def _resume_run(self, entry, run):
        """Resume a run that was cancelled to move it to another engine."""
        run.moving = False
        target, run.target = run.target, None
        if target is not None:
            target.item_runs.discard(run)
        if self._stopped or entry.ended or run.item.id not in entry.runs:
            return
        run.placed_by = None
        if target is None or target.limit is not None:
            entry.waiting.append(run)
            self.wake()
            return
        now = asyncio.get_running_loop().time()
        self._start_run(entry, run, target, now)

    def _has_memory(self, state, run):
        return memory.has_room(state, run, self._get_service(state))

    def _get_service(self, state):
        table = self._get_routes()
        return table.services.get(state.record.service) if table else None

    def _choose_engine(self, submission, run, now, shortlists):
        engines = self._list_engines_for_run(submission, run)
        if not engines and run.texts:
            # No engine still holds the version that generated the text.
            run.forget_text()
            engines = self._list_engines(submission, run.item.id)
        criteria = (
            submission.model,
            submission.version_min,
            now,
            self._limits,
        )

        def fits(state):
            return self._has_memory(state, run)

        def build():
            return itemplacement.build_placer(
                self._learned,
                engines,
                *criteria,
                (submission.route, submission.model),
                self._get_service,
            )

        if run.versions and self._is_single_version(submission):
            # Engines that hold one version, for this run alone.
            placer = build()
        else:
            _, placer = shortlists.get(id(engines), (None, None))
            if placer is None:
                placer = build()
                shortlists[id(engines)] = (engines, placer)
        if isinstance(placer, itemplacement.ItemPlacer):
            return self._place(placer, run, fits, now)
        run.placed_by = None
        state = placer.choose(run.avoid, fits)
        if state is None and run.avoid:
            run.avoid = set()
        return state

    def _place(self, placer, run, fits, now):
        """Choose an engine by expected completion; None to wait."""
        run.placed_by = placer.choose(run, run.avoid, fits)
        if run.placed_by is not None:
            return run.placed_by.state
        if placer.waits:
            if run.waits_since is None:
                run.waits_since = now
                self._learned.held += 1
        elif run.avoid:
            run.avoid = set()
        return None

    async def _run_item(self, entry, run, state):
        submission = entry.submission
        loop = asyncio.get_running_loop()
        started = loop.time()
        resumed_after = len(run.texts)
        placed_by = run.placed_by
        end, reason = itemruns.RunEnd.BROKEN, 'cancelled'
        try:
            end, reason = await itemruns.run_item(
                submission,
                run,
                state,
                self._pool,
                self._dialect,
                authorization.choose_organisation(
                    submission, self._get_routes()
                ),
                self._learned,
            )
        finally:
            state.item_runs.discard(run)
            run.task = None
            run.state = None
            events = len(run.texts) - resumed_after
            self.fair_order.note_end(entry, run, events)
            self.on_run_end(end, loop.time() - started)
            self._log.info(
                'item run',
                request=run.item.id,
                submission=submission.id,
                step=submission.step,
                endpoint=state.id,
                resumed_after=resumed_after,
                events=len(run.texts),
                versions=run.versions,
                pace_ms=round((state.pace_s or 0) * 1000),
                took_ms=round((loop.time() - started) * 1000),
                end=end,
                reason=reason,
                **(placed_by.list_fields() if placed_by else {}),
            )
            if run.moving:
                self._resume_run(entry, run)
        if entry.ended or run.item.id not in entry.runs:
            return
        self._handle_run_end(entry, run, state, end, loop.time())
        self.wake()

    def _handle_run_end(self, entry, run, state, end, now):
        """Add the result, abandon the item or queue it for another run."""
        run_ends = itemruns.RunEnd
        if end is run_ends.COMPLETED:
            state.record_success()
            if (
                self._is_single_version(entry.submission)
                and len(run.versions) > 1
            ):
                run.forget_text()
                entry.waiting.insert(0, run)
                return
            self._learn(entry.submission, run, state)
            self._complete(entry, run)
            return
        if end is run_ends.IMPOSSIBLE:
            self._abandon(entry, run, 'rejected as impossible by the engine')
            return
        if end is run_ends.FAILED:
            run.failures += 1
            route = self._find_route(entry.submission)
            if route is not None and run.failures >= route.attempts_max:
                self._abandon(entry, run, 'every attempt failed')
                return
            run.avoid.add(state.id)
        elif end is run_ends.NOT_RUN:
            run.not_before = now + REFUSED_RETRY_DELAY_S
            run.avoid.add(state.id)
        elif end is run_ends.LIMITED:
            run.not_before = now + REFUSED_RETRY_DELAY_S
        elif end in (run_ends.UNREACHED, run_ends.BROKEN):
            state.record_failure(now)
            run.not_before = now + BROKEN_RETRY_DELAY_S
        entry.waiting.insert(0, run)

    def _learn(self, submission, run, state):
        """Learn the length of a complete item."""
        service = self._get_service(state)
        event_tokens = service.event_tokens if service else 1
        if run.first_event_s is not None:
            self._learned.learn_prefill(
                state,
                submission.route,
                submission.model,
                run.item.prompt_tokens,
                run.first_event_s,
                event_tokens,
            )
        self._learned.learn_item(
            state.record.service,
            submission.route,
            submission.model,
            run.item.length_hint,
            len(run.texts) * event_tokens,
        )

    def _complete(self, entry, run):
        """Add the result of a whole text, after its reward call if any."""
        if run.item.reward_call is None:
            self._add_result(entry, run.build_result())
            return
        run.scoring_task = self._spawn(self._score(entry, run))

    async def _score(self, entry, run):
        try:
            score = await self._scorer.score(entry.submission, run.item)
        except errors.NoScore as error:
            run.scoring_task = None
            self._abandon(entry, run, str(error))
            return
        run.scoring_task = None
        self._add_result(entry, run.build_result(score))

    def _add_result(self, entry, result):
        first = not entry.finished
        entry.finished[result.item_id] = result
        entry.runs.pop(result.item_id, None)
        if first or recording.is_urgent(entry):
            entry.append_due.set()

    def _abandon(self, entry, run, reason):
        self._log.warning(
            'item abandoned',
            request=run.item.id,
            submission=entry.submission.id,
            reason=reason,
        )
        run.cancel()
        if run in entry.waiting:
            entry.waiting.remove(run)
        self._add_result(
            entry,
            submissions.Result(run.item.id, submissions.ABANDONED),
        )

    def _expire_submissions(self):
        now = time.time()
        for entry in list(self.open_submissions.values()):
            age_s = now - entry.submission.accepted_at
            if age_s > self.retain_s:
                self._spawn(self._remove_submission(entry))
                continue
            if entry.ended or not entry.runs:
                continue
            table = self._get_current_routes(entry.submission)
            if table is None:
                continue
            route = table.find(entry.submission.route)
            if route is None:
                reason = 'its route was removed'
            elif route.queue_s and age_s > route.queue_s:
                reason = f'not completed within {route.queue_s} s'
            else:
                continue
            for run in list(entry.runs.values()):
                self._abandon(entry, run, reason)

    async def _remove_submission(self, entry):
        submission_id = entry.submission.id
        self.open_submissions.pop(submission_id, None)
        if entry.writer is not None:
            entry.writer.cancel()
        try:
            await self.load(entry)
            await self._ledger.remove(
                submission_id,
                entry.chunk_count,
                entry.record.part_count,
                entry.submission.organisation,
            )
        except errors.PlatformError as error:
            self._log.info('submission not removed', e=str(error))
            self.open_submissions[submission_id] = entry
            return
        self._log.info('submission removed', submission=submission_id)

    # Reading results and bodies.

    async def read(self, submission_id, after, wait_s):
        """Read results from a position on.

        :param after: position of the first result to return
        :param wait_s: how long to wait for that result, in seconds
        :returns: a :class:`~submissions.ResultPage`; None if the submission
            is unknown
        :raises errors.PlatformError: if the ledger cannot be read
        """
        entry = self.open_submissions.get(submission_id)
        if entry is None:
            return None
        if not entry.loaded:
            await self.load(entry)
        self._settle(entry)
        if after >= len(entry.results) and entry.unconfirmed_since is not None:
            await self._catch_up(entry)
        if after >= len(entry.results) and not entry.complete:
            if wait_s > 0 and not entry.ended:
                try:
                    async with asyncio.timeout(wait_s):
                        await entry.changed.wait()
                except TimeoutError:
                    pass
        return opensubmissions.build_page(
            entry.submission, entry.results, after
        )

    async def _catch_up(self, entry):
        """Add chunks that readers of the ledger may already have seen.

        :raises errors.PlatformError: if the ledger cannot be read
        """
        age_s = asyncio.get_running_loop().time() - entry.unconfirmed_since
        if age_s < UNCONFIRMED_READ_DELAY_S:
            return
        chunks = await self._ledger.read_chunks(entry.submission.id)
        for number, chunk in enumerate(chunks):
            entry.add_chunk(number, chunk)
        self._log.info(
            'ledger read again',
            submission=entry.submission.id,
            unsure_s=round(age_s, 2),
            listed=len(entry.results),
        )

    async def read_body(self, submission_id, item_id):
        """Return the body of an item that has no recorded result yet.

        :returns: ``(known, body)``: whether the submission is known, and the
            body or None
        """
        entry = self.open_submissions.get(submission_id)
        if entry is None:
            return False, None
        if not entry.loaded:
            await self.load(entry)
        return True, opensubmissions.find_body(
            entry.submission, entry.positions, item_id
        )

    async def stop(self):
        """Cache the texts of incomplete groups, then cancel all tasks."""
        self._stopped = True
        self.keep_texts()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
