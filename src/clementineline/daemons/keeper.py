"""The keeper: one of several leads, owns submissions and orders engines."""

import asyncio
import math
import random

from clementineline.coordination import departures
from clementineline.coordination import lease
from clementineline.coordination import ledger
from clementineline.coordination import stepowner
from clementineline.coordination import texts
from clementineline.coordination import versions
from clementineline.daemons import node
from clementineline import errors
from clementineline.state import questions
from clementineline.state import textlog

__all__ = ['Keeper']

LEAD_CHECK_S = 0.05
SUBMISSIONS_WAIT_S = 1.5
RETIREMENT_RETRY_S = 0.5
# VMs are given seconds to be emptied, and nothing lies on them.
RETIREMENTS_WAIT_S = 8.0


class Keeper(node.Node):
    """Contends for the lease and leads while it holds it.

    :param settings: a :class:`~settings.KeeperSettings`
    :param store: the client of the platform's store
    :param dialect: the platform's dialect
    :param log: logger
    """

    KEEPS = True

    def __init__(self, settings, store, dialect, log):
        super().__init__(settings, store, dialect, log)
        self._directory.on_change = self._wake
        self._lease = lease.LeaseKeeper(
            settings.name,
            store,
            settings.lease,
            self._clock,
            log,
            address=settings.listen,
        )
        self._retirements = self._follow(
            dialect.kinds.retirements,
            self._apply_retirements,
            wait_s=RETIREMENTS_WAIT_S,
        )
        self._shelf = texts.TextShelf()
        self._mirror = texts.TextMirror(self._members, log)
        self._departures = departures.DepartureSweeper(
            self._members, self._may_lead, self._clock, log
        )
        self._text_log = None
        if settings.data_dir:
            self._text_log = textlog.TextLog(
                settings.data_dir, self._list_recent_texts, log
            )
        self._owner = None
        self._orders = None
        self._leading = []
        self._retiring = set()

    def _collect(self, counted):
        super()._collect(counted)
        counted.set('leads', int(self._may_lead()))
        if self._text_log is not None:
            counted.set('text_log_bytes', self._text_log.written_bytes)
            counted.set('text_log_dropped', self._text_log.dropped)

    def _list_recent_texts(self):
        return self._shelf.list_recent(textlog.FILE_BYTES_MAX // 2)

    def _load_texts(self):
        """Take the texts that an earlier process left on the disk."""
        parts = self._text_log.load()
        for part in parts:
            self._shelf.extend(part)
        self._log.info('texts loaded', parts=len(parts))
        self._tasks.keep(self._text_log.run, 'texts')

    async def start(self):
        """Listen, follow the store and contend for the lease."""
        if self._text_log is not None:
            self._load_texts()
        await self._start_node()
        self._tasks.keep(self._retirements.run, 'retirements')
        self._tasks.keep(self._contend, 'lease')
        self._tasks.keep(self._lead, 'lead')
        self._tasks.keep(self._complete_retirements, 'retire')
        self._log.info('keeper started', zone=self._settings.zone)

    async def stop(self):
        """Hand the lease on and stop."""
        self._stopping = True
        self._log.info('keeper stopping', leads=self._owner is not None)
        await self._resign()
        await self._tasks.stop()
        self._log.info('keeper stopped')

    def _wake(self):
        if self._owner is not None:
            self._owner.wake()
        if self._orders is not None:
            self._orders.wakeup.set()

    def _note_routes(self):
        self._wake()

    # Leading.

    async def _contend(self):
        # Contenders that start together should not all write at once.
        await asyncio.sleep(random.random() * 0.3)
        await self._lease.run()

    async def _resign(self):
        order_age_s = self._orders.order_age_s if self._orders else math.inf
        runs = self._owner.list_runs() if self._owner else []
        await self._stop_leading('resigned')
        await self._mirror.send(runs)
        await self._lease.release(order_age_s)

    def _may_lead(self):
        return self._lease.holds() and not self._stopping

    async def _lead(self):
        try:
            while True:
                if self._owner is None and self._may_lead():
                    self._start_leading()
                elif self._owner is not None and self._lease.interrupted:
                    await self._stop_leading('another keeper may lead')
                await asyncio.sleep(LEAD_CHECK_S)
        finally:
            await self._stop_leading('the task ended')

    def _start_leading(self):
        owner = stepowner.StepOwner(
            self._ledger,
            self._directory,
            self._pool,
            self._dialect,
            lambda: self._routes.table,
            self._may_lead,
            self._log,
            self._settings.retain_s,
            self._shelf,
            self._mirror,
        )
        orders = versions.VersionKeeper(
            self._settings.name,
            self._directory,
            self._pool,
            self._dialect,
            self._lease,
            lambda: self._routes.table,
            owner.needs_whole,
            owner.measure_demand,
            self._wake,
            self._lease.quiet_s,
            self._log,
        )
        submissions = self._follow(
            ledger.SUBMISSIONS_KIND,
            owner.apply,
            # Too large to be listed often; short watches find a lost answer.
            wait_s=SUBMISSIONS_WAIT_S,
            check_s=0.0,
        )
        named = self._follow(self._dialect.kinds.versions, orders.apply_named)
        owner.on_submission = orders.note_submission
        owner.on_run_end = self._note_run
        owner.writer.on_recorded = self._note_recorded
        orders.on_outcome = self._note_order
        self._owner = owner
        self._orders = orders
        self._leading = [
            self._tasks.keep(submissions.run, 'submissions'),
            self._tasks.keep(named.run, 'versions'),
            self._tasks.keep(owner.run, 'steps'),
            self._tasks.keep(owner.stragglers.run, 'stragglers'),
            self._tasks.keep(orders.run, 'orders'),
            self._tasks.start(self._mirror.run(owner.list_runs), 'mirror'),
            self._tasks.keep(self._departures.run, 'departures'),
        ]
        self._log.info('leading', fence=self._lease.fence)

    def _note_run(self, end, took_s):
        self.metrics.count('item_runs_total', end=end)
        self.metrics.observe('item_run_seconds', took_s)

    def _note_recorded(self, count):
        self.metrics.count('results_recorded_total', count)

    def _note_order(self, outcome):
        self.metrics.count('orders_total', outcome=outcome.value)

    async def _stop_leading(self, reason):
        owner, self._owner = self._owner, None
        if owner is None:
            return
        self._orders = None
        for task in self._leading:
            task.cancel()
        await owner.stop()
        for state in self._directory.endpoints.values():
            state.changing.clear()
        self._log.info('not leading', reason=reason)

    # Answering gateways.

    async def _answer(self, question):
        if isinstance(question, questions.KeepTexts | questions.ReadTexts):
            if self._owner is not None:
                self._owner.keep_texts()
            return self._answer_texts(question)
        owner = self._owner
        if owner is None or not owner.known or not self._may_lead():
            return questions.NotLeading(self._lease.known_holder)
        if isinstance(question, questions.SubmissionEnded):
            owner.note_end(question.submission_id)
            return questions.Acknowledged()
        try:
            if isinstance(question, questions.ReadResults):
                page = await owner.read(
                    question.submission_id, question.after, question.wait_s
                )
                # An owner that lost the lease meanwhile may be behind.
                if not self._may_lead():
                    return questions.NotLeading()
                if page is None:
                    return questions.UnknownSubmission()
                return questions.PageAnswer(page)
            known, body = await owner.read_body(
                question.submission_id, question.item_id
            )
        except errors.PlatformError as error:
            return questions.NotLeading(str(error))
        if not self._may_lead():
            return questions.NotLeading()
        if not known:
            return questions.UnknownSubmission()
        return questions.BodyAnswer(body)

    def _answer_texts(self, question):
        answer = texts.answer_texts(self._shelf, question)
        if self._text_log is not None and isinstance(
            question, questions.KeepTexts
        ):
            self._text_log.append(question.parts)
        return answer

    # VMs that are to be emptied.

    def _apply_retirements(self, objects, removed, whole):
        for found in objects:
            status = found.status or {}
            if status != self._dialect.encode_retirement(completed=True):
                self._retiring.add(found.name)
        self._retiring.difference_update(removed)

    async def _complete_retirements(self):
        """Release VMs: all that lasts is in the platform's store."""
        while True:
            await asyncio.sleep(RETIREMENT_RETRY_S)
            if self._settings.name in self._retiring and self._may_lead():
                self._log.info('this vm is to be emptied')
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
                    self._log.info('retirement not written', e=str(error))
                    continue
                self._retiring.discard(name)
                self._log.info('vm released', vm=name)
