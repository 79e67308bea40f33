"""The keeper, which runs submissions and updates engines while it leads.

All keepers contend for the lease. Its holder owns all submissions and sends
load orders to engines. The other keepers hold copies of the texts of
unfinished items, so that one of them can take over.
"""

import asyncio
import math
import random

from clementineline.coordination import authorization
from clementineline.coordination import departures
from clementineline.coordination import dutyleader
from clementineline.coordination import forwarding
from clementineline.coordination import lease
from clementineline.coordination import ledger
from clementineline.coordination import scoring
from clementineline.coordination import submissionowner
from clementineline.coordination import texts
from clementineline.coordination import versions
from clementineline.daemons import base
from clementineline.daemons import metrics
from clementineline import errors
from clementineline.state import questions
from clementineline.state import textlog
from clementineline.transport import frames

__all__ = ['Keeper']

LEADERSHIP_CHECK_INTERVAL_S = 0.05
SUBMISSIONS_WATCH_WAIT_S = 1.5
RETIREMENT_CHECK_INTERVAL_S = 0.5
# Processes answer a connection attempt within a few milliseconds, a busy one
# within some tens.
HOLDER_CONNECT_TIMEOUT_S = 0.25
# A keeper that cannot read who the other processes are leads after this time.
MEMBERS_TIMEOUT_S = 2.0
# Longer than for other kinds: a VM has seconds to retire, and holds no state
# that must be moved.
RETIREMENTS_WATCH_WAIT_S = 8.0


async def _is_reachable(address):
    return await frames.accepts_connections(address, HOLDER_CONNECT_TIMEOUT_S)


class Keeper(base.BaseProcess):
    """Contends for the lease, and leads while it holds the lease.

    :param settings: a :class:`~settings.KeeperSettings`
    :param store: the client of the platform's store
    :param dialect: the platform's dialect
    :param log: logger
    """

    MAY_OWN_SUBMISSIONS = True

    def __init__(self, settings, store, dialect, log):
        super().__init__(settings, store, dialect, log)
        self._directory.on_change = self._wake
        self._pool.idle_kept_max = None
        self._lease = lease.LeaseManager(
            settings.name,
            store,
            settings.lease,
            self._clock,
            log,
            address=settings.listen,
            is_reachable=_is_reachable,
        )
        self._retirement_watcher = self._build_watcher(
            dialect.kinds.retirements,
            self._apply_retirements,
            wait_s=RETIREMENTS_WATCH_WAIT_S,
        )
        self._text_cache = texts.TextCache()
        self._text_replicator = texts.TextReplicator(
            self._members, log, settings.zone, self._keep_texts
        )
        forwarder = forwarding.CallForwarder(
            self._directory,
            self._pool,
            dialect,
            settings.zone,
            self._crash_record,
            log,
            self._learned,
        )
        self._scorer = scoring.RewardScorer(
            forwarder,
            self._directory,
            dialect,
            lambda: self._routes.table,
            log,
        )
        self._scorer.on_verdict = self._count_reward_call
        self._departed_remover = departures.DepartedMemberRemover(
            self._members, self._may_lead, self._clock, log
        )
        # None if the platform asks for no reports and no orders.
        self._duties = None
        if settings.duties is not None:
            self._duties = dutyleader.DutyLeader(
                settings,
                store,
                self._members,
                self._directory,
                lambda: self._routes.table,
                dialect,
                self.metrics,
                log,
            )
        self._text_log = None
        if settings.data_dir:
            self._text_log = textlog.TextLog(
                settings.data_dir, self._list_recent_texts, log
            )
        self._owner = None
        # The lease's term in which this process leads, None if it does not.
        self._term = None
        self._version_updater = None
        self._leader_tasks = []
        self._retiring = set()
        self._organisation_labels = metrics.LabelLimiter()
        # Labels whose waiting work was set.
        self._waiting_labels = set()

    def _collect_metrics(self, process_metrics):
        super()._collect_metrics(process_metrics)
        process_metrics.set('leads', int(self._may_lead()))
        self._collect_waiting(process_metrics)
        if self._text_log is not None:
            process_metrics.set('text_log_bytes', self._text_log.written_bytes)
            process_metrics.set('text_log_dropped', self._text_log.dropped)
            process_metrics.set('text_log_failures', self._text_log.failures)

    def _collect_waiting(self, process_metrics):
        """Set the waiting work of each organisation, 0 for those without."""
        waiting = dict.fromkeys(self._waiting_labels, 0.0)
        if self._owner is not None:
            for name, tokens in self._owner.fair_order.waiting.items():
                label = self._organisation_labels.get(name)
                waiting[label] = waiting.get(label, 0.0) + tokens
        self._waiting_labels.update(waiting)
        for label, tokens in waiting.items():
            process_metrics.set(
                'organisation_tokens_waiting',
                round(tokens),
                organisation=label,
            )

    def _list_recent_texts(self):
        return self._text_cache.list_recent(textlog.FILE_BYTES_MAX // 2)

    def _load_texts(self):
        """Load the texts that an earlier process wrote to the disk."""
        parts = self._text_log.load()
        for part in parts:
            self._text_cache.extend(part)
        self._log.info('texts loaded', parts=len(parts))
        self._tasks.supervise(self._text_log.run, 'texts')

    async def start(self):
        """Listen, watch the store and contend for the lease."""
        if self._text_log is not None:
            self._load_texts()
        await self._start_base()
        self._tasks.supervise(self._retirement_watcher.run, 'retirements')
        self._tasks.supervise(self._contend_for_lease, 'lease')
        self._tasks.supervise(self._follow_lease, 'lead')
        self._tasks.supervise(self._complete_retirements, 'retire')
        self._log.info('keeper started', zone=self._settings.zone)

    async def stop(self):
        """Release the lease and stop."""
        self._stopping = True
        self._log.info('keeper stopping', leads=self._owner is not None)
        await self._resign()
        await self._tasks.stop()
        self._log.info('keeper stopped')

    def _wake(self):
        if self._owner is not None:
            self._owner.wake()
        if self._version_updater is not None:
            self._version_updater.wakeup.set()

    def _handle_new_routes(self):
        self._wake()

    # Leading.

    async def _contend_for_lease(self):
        # Keepers that start together should not all write at the same time.
        await asyncio.sleep(random.random() * 0.3)
        await self._lease.run()

    async def _resign(self):
        """Stop leading, replicate the latest texts and release the lease."""
        order_age_s = (
            self._version_updater.order_age_s
            if self._version_updater
            else math.inf
        )
        if self._duties is not None:
            order_age_s = min(order_age_s, self._duties.call_age_s)
        runs = self._owner.list_runs() if self._owner else []
        await self._stop_leading('resigned')
        await self._text_replicator.send(runs)
        await self._lease.release(order_age_s)

    def _may_lead(self):
        """Return whether the lease is held, in the owner's term if any."""
        if self._stopping or not self._lease.holds():
            return False
        return self._term is None or not self._term.ended

    def _may_answer_from(self, owner):
        """Return whether answers of an owner are valid now.

        A wait may outlast the owner's term, and another owner may have
        recorded results since.
        """
        return owner is not None and owner is self._owner and self._may_lead()

    async def _follow_lease(self):
        """Start and stop leading as the lease changes.

        A lapsed lease alone does not stop the owner: its items run on during
        an outage of the store, until another keeper may have taken over.
        """
        try:
            while True:
                if self._owner is None and self._may_lead():
                    await self._lead_within_limits()
                elif self._term is not None and self._term.ended:
                    await self._stop_leading('another keeper may lead')
                await asyncio.sleep(LEADERSHIP_CHECK_INTERVAL_S)
        finally:
            await self._stop_leading('leadership task ended')

    async def _lead_within_limits(self):
        """Start leading once the limits that others know are known.

        The first items, reward calls and probes all start at once, and this
        process may have been silent when the limits were told.
        """
        try:
            async with asyncio.timeout(MEMBERS_TIMEOUT_S):
                await self._members.listed.wait()
        except TimeoutError:
            self._log.warning(
                'limits of endpoints not asked for', reason='members not read'
            )
        await self._limits.gather()
        if self._may_lead():
            self._start_leading()

    def _start_leading(self):
        self._term = lease.Term(self._lease)
        owner = submissionowner.SubmissionOwner(
            self._ledger,
            self._directory,
            self._pool,
            self._dialect,
            lambda: self._routes.table,
            self._may_lead,
            self._log,
            self._settings.retain_s,
            self._text_cache,
            self._text_replicator,
            self._scorer,
            self._limits,
            self._learned,
            self._list_assigned,
        )
        version_updater = versions.VersionUpdater(
            self._settings.name,
            self._directory,
            self._pool,
            self._dialect,
            self._term,
            lambda: self._routes.table,
            owner.requires_single_version,
            owner.measure_demand,
            self._wake,
            self._lease.quiet_s,
            self._log,
        )
        submission_watcher = self._build_watcher(
            ledger.SUBMISSIONS_KIND,
            owner.apply,
            # The list is too large for regular comparisons, so short watches
            # bound how long a lost response goes unnoticed.
            wait_s=SUBMISSIONS_WATCH_WAIT_S,
            check_interval_s=0.0,
        )
        version_watcher = self._build_watcher(
            self._dialect.kinds.versions, version_updater.apply_named_versions
        )
        owner.on_submission = version_updater.note_submission
        owner.on_run_end = self._count_run
        owner.fair_order.on_served = self._count_served
        owner.on_outdated_routes = self._route_watcher.refresh
        self._limits.on_permit = owner.wake
        owner.writer.on_recorded = self._count_recorded
        version_updater.on_outcome = self._count_order
        self._owner = owner
        self._version_updater = version_updater
        self._leader_tasks = [
            self._tasks.supervise(submission_watcher.run, 'submissions'),
            self._tasks.supervise(version_watcher.run, 'versions'),
            self._tasks.supervise(owner.run, 'steps'),
            self._tasks.supervise(owner.stragglers.run, 'stragglers'),
            self._tasks.supervise(version_updater.run, 'orders'),
            self._tasks.start(
                self._text_replicator.run(owner.list_runs), 'text replication'
            ),
            self._tasks.supervise(self._departed_remover.run, 'departures'),
        ]
        if self._duties is not None:
            held_s = self._clock.now() - self._lease.acquired_at
            self._duties.begin(
                self._term,
                self._lease.quiet_s - held_s,
                owner.measure_demand,
            )
            for run in self._duties.list_tasks():
                self._leader_tasks.append(self._tasks.supervise(run, 'duties'))
        self._log.info('leading', fence=self._lease.fence)

    def _list_assigned(self, service, model):
        if self._version_updater is None:
            return None
        return self._version_updater.list_assigned(service, model)

    def _list_candidates(self, service, model):
        assigned = self._list_assigned(service, model) if model else None
        if assigned is not None:
            return assigned
        return super()._list_candidates(service, model)

    def _count_run(self, end, took_s):
        self.metrics.count('item_runs_total', end=end)
        self.metrics.observe('item_run_seconds', took_s)
        if self._duties is not None:
            self._duties.note_run(took_s)

    def _count_served(self, organisation, tokens):
        self.metrics.count(
            'organisation_tokens_total',
            tokens,
            organisation=self._organisation_labels.get(organisation),
        )

    def _count_recorded(self, count):
        self.metrics.count('results_recorded_total', count)

    def _count_reward_call(self, outcome):
        self.metrics.count('reward_calls_total', outcome=outcome)

    def _count_order(self, outcome):
        self.metrics.count('orders_total', outcome=outcome.value)

    async def _stop_leading(self, reason):
        owner, self._owner = self._owner, None
        if owner is None:
            return
        self._term = None
        self._version_updater = None
        self._limits.on_permit = lambda: None
        for task in self._leader_tasks:
            task.cancel()
        if self._duties is not None:
            self._duties.end()
        await owner.stop()
        for state in self._directory.endpoints.values():
            state.loading_models.clear()
        self._log.info('not leading', reason=reason)

    # Questions from gateways and other keepers.

    async def _answer(self, question):
        if isinstance(question, questions.KeepTexts | questions.ReadTexts):
            if self._owner is not None:
                # Puts the latest texts of the owned items into the cache.
                self._owner.keep_texts()
            return self._answer_texts(question)
        if isinstance(question, questions.TellUsage | questions.ReadUsage):
            if self._duties is None:
                return questions.NotLeading(self._lease.known_holder)
            return self._duties.answer(
                question, self._may_lead(), self._lease.known_holder
            )
        owner = self._owner
        if not self._may_answer_from(owner) or not owner.synced:
            return questions.NotLeading(self._lease.known_holder)
        if isinstance(question, questions.SubmissionEnded):
            owner.handle_recorded_end(question.submission_id)
            return questions.Acknowledged()
        entry = owner.open_submissions.get(question.submission_id)
        if entry is None:
            return questions.UnknownSubmission()
        recorded = entry.submission.organisation
        if isinstance(question, questions.FindOrganisation):
            return questions.OrganisationAnswer(recorded)
        if not authorization.may_use(recorded, question.reader):
            return questions.Denied()
        try:
            if isinstance(question, questions.ReadResults):
                page = await owner.read(
                    question.submission_id, question.after, question.wait_s
                )
                if not self._may_answer_from(owner):
                    return questions.NotLeading()
                if page is None:
                    return questions.UnknownSubmission()
                return questions.PageAnswer(page)
            found, body = await owner.read_body(
                question.submission_id, question.item_id
            )
        except errors.PlatformError as error:
            return questions.NotLeading(str(error))
        if not self._may_answer_from(owner):
            return questions.NotLeading()
        if not found:
            return questions.UnknownSubmission()
        return questions.BodyAnswer(body)

    def _keep_texts(self, parts):
        """Keep parts of the owned items in the cache and on the disk."""
        for part in parts:
            self._text_cache.extend(part)
        if self._text_log is not None:
            self._text_log.append(parts)

    def _answer_texts(self, question):
        answer = texts.answer_texts(self._text_cache, question)
        if self._text_log is not None and isinstance(
            question, questions.KeepTexts
        ):
            self._text_log.append(question.parts)
        return answer

    # Retirement of VMs.

    def _apply_retirements(self, objects, removed, whole):
        for retirement in objects:
            status = retirement.status or {}
            if status != self._dialect.encode_retirement(completed=True):
                self._retiring.add(retirement.name)
        self._retiring.difference_update(removed)

    async def _complete_retirements(self):
        """Mark retiring VMs as retired while this process leads.

        A VM can be removed at once, because all persistent state is in the
        platform's store. The leader first releases the lease if its own VM
        retires.
        """
        while True:
            await asyncio.sleep(RETIREMENT_CHECK_INTERVAL_S)
            if self._settings.name in self._retiring and self._may_lead():
                self._log.info('vm of the leader retires')
                await self._resign()
            if not self._may_lead():
                continue
            for name in sorted(self._retiring):
                try:
                    await self._store.write_status(
                        self._dialect.kinds.retirements,
                        name,
                        self._dialect.encode_retirement(completed=True),
                    )
                except errors.PlatformError as error:
                    self._log.info(
                        'retirement status not written', e=str(error)
                    )
                    continue
                self._retiring.discard(name)
                self._log.info('vm retired', vm=name)
