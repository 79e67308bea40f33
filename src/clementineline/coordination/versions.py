"""Bringing engines to the versions that trainers name.

Only the holder of the lease sends orders. After a change of holder it waits
until the last order of the earlier one is as old as a lease.
"""

import asyncio
import collections
import math
import statistics

from clementineline.coordination import placement
from clementineline import errors
from clementineline.protocol import links
from clementineline.state import dialect as dialects

__all__ = ['VersionUpdater']

TICK_S = 0.25
CALL_TIMEOUT_S = 0.8
REPORT_PAUSE_S = 0.2
ORDER_RETRY_S = 0.3
# A load takes about a second, several at once longer.
LOAD_TIMEOUT_S = 8.0
# An engine's report is some hundred milliseconds old; until it must show an
# order that was accepted, the order is not sent again.
ORDER_SHOWN_S = 1.2
BEHIND_NOTED = 3
WORK_NOTED = 4


class VersionUpdater:
    """Sends orders to engines whose version is behind.

    :param holder: name of this VM
    :param directory: the :class:`~directory.Directory`
    :param pool: the :class:`~connections.ConnectionPool`
    :param dialect: the platform's dialect
    :param lease: the :class:`~lease.LeaseKeeper`
    :param get_routes: function that returns the route table in force
    :param needs_whole: function from a model to whether one version must
        make each result
    :param get_demand: function from a model to the
        :class:`~placement.ModelDemand` of open submissions
    :param on_change: called when an engine's version changed
    :param quiet_s: wait after another holder's last possible order
    :param log: logger
    """

    __slots__ = (
        '_accepted',
        '_assignment',
        '_behind',
        '_dialect',
        '_directory',
        '_get_demand',
        '_get_routes',
        '_holder',
        '_lease',
        '_log',
        '_named_at',
        '_needs_whole',
        '_on_change',
        '_pool',
        '_quiet_s',
        '_tasks',
        '_work',
        'last_order_at',
        'named',
        'on_outcome',
        'wakeup',
    )

    def __init__(
        self,
        holder,
        directory,
        pool,
        dialect,
        lease,
        get_routes,
        needs_whole,
        get_demand,
        on_change,
        quiet_s,
        log,
    ):
        self._accepted = {}
        self._assignment = {}
        self._behind = {}
        self._dialect = dialect
        self._directory = directory
        self._get_demand = get_demand
        self._get_routes = get_routes
        self._holder = holder
        self._lease = lease
        self._log = log
        self._needs_whole = needs_whole
        self._on_change = on_change
        self._pool = pool
        self._quiet_s = quiet_s
        self._tasks = {}
        self._work = {}
        self._named_at = {}
        self.last_order_at = None
        self.named = {}
        # Called with the outcome of each order.
        self.on_outcome = lambda outcome: None
        self.wakeup = asyncio.Event()

    def apply_named_versions(self, objects, removed, whole):
        """Take the versions that trainers have named."""
        now = asyncio.get_running_loop().time()
        for found in objects:
            named = self._dialect.decode_named_version(found.value)
            if named is None:
                self._log.warning('unreadable version', name=found.name)
                continue
            model, version = named
            if version > self.named.get(model, 0):
                self.named[model] = version
                self._named_at[model] = now
                self._log.info('version named', model=model, version=version)
        self.wakeup.set()

    @property
    def order_age_s(self):
        """How long ago the last order was sent, in seconds."""
        if self.last_order_at is None:
            return math.inf
        return asyncio.get_running_loop().time() - self.last_order_at

    async def run(self):
        """Send orders until cancelled."""
        await asyncio.sleep(self._quiet_s)
        try:
            while True:
                self.wakeup.clear()
                if self._lease.holds():
                    self._start_orders()
                try:
                    async with asyncio.timeout(TICK_S):
                        await self.wakeup.wait()
                except TimeoutError:
                    continue
        finally:
            for task in list(self._tasks.values()):
                task.cancel()

    def _start_orders(self):
        table = self._get_routes()
        if table is None:
            return
        for service in table.services.values():
            if service.models:
                self._start_service_orders(service)

    def _start_service_orders(self, service):
        engines = {}
        for state in self._directory.list_usable(service.name):
            engines[state.id] = state
        assignment = self._assign(service, engines)
        now = asyncio.get_running_loop().time()
        for model in service.models:
            if model not in self.named:
                continue
            behind = []
            for name, assigned in assignment.items():
                if assigned == model and name not in self._tasks:
                    behind.append(engines[name])
            demand = self._get_demand(model)
            demand.staleness_bound = self._get_versions_behind(model)
            chosen = placement.choose_loads(
                behind,
                (model, self.named[model]),
                demand,
                now - self._named_at[model],
                placement.count_concurrent_loads(len(engines))
                - len(self._tasks),
            )
            for state in chosen:
                self._start_order(state, model)

    def _estimate_work(self, models):
        """Return each model's work a step; the mean for unknown ones."""
        known = {}
        for model in models:
            if self._work.get(model):
                known[model] = statistics.fmean(self._work[model])
        mean = statistics.fmean(known.values()) if known else 1.0
        return {model: known.get(model, mean) for model in models}

    def note_submission(self, submission):
        """Note the work of a step, and how old a version it accepts."""
        work = 0.0
        for item in submission.items:
            work += item.length_hint or item.tokens
        self._work.setdefault(
            submission.model, collections.deque(maxlen=WORK_NOTED)
        ).append(work)
        named = self.named.get(submission.model)
        if named is None:
            return
        noted = self._behind.setdefault(
            submission.model, collections.deque(maxlen=BEHIND_NOTED)
        )
        noted.append(max(0, named - submission.version_min))

    def _get_versions_behind(self, model):
        noted = self._behind.get(model)
        if not noted:
            return placement.DEFAULT_STALENESS_BOUND
        # One that was seen before its version does not count.
        return statistics.median_high(noted)

    def _assign(self, service, engines):
        earlier = self._assignment.get(service.name, {})
        shares = placement.share_engines(
            len(engines),
            self._estimate_work(service.models),
            collections.Counter(earlier.values()),
        )
        assignment = placement.assign_models(
            shares,
            {name: state.versions for name, state in engines.items()},
            earlier,
        )
        if assignment != earlier:
            self._log.info(
                'models assigned',
                service=service.name,
                assignment=assignment,
            )
        self._assignment[service.name] = assignment
        return assignment

    def _start_order(self, state, model):
        task = asyncio.create_task(self._bring(state, model))
        self._tasks[state.id] = task
        task.add_done_callback(
            lambda task, name=state.id: self._note_end(name, task)
        )

    def _note_end(self, name, task):
        self._tasks.pop(name, None)
        if not task.cancelled() and task.exception() is not None:
            self._log.error('order failed', exc_info=task.exception())
        self.wakeup.set()

    async def _bring(self, state, model):
        """Bring an engine to the newest version of a model."""
        deadline = asyncio.get_running_loop().time() + LOAD_TIMEOUT_S
        self._accepted.pop(state.id, None)
        version = self.named[model]
        try:
            while asyncio.get_running_loop().time() < deadline:
                try:
                    if await self._step(state, model, version):
                        return
                except (errors.ProtocolError, TimeoutError) as error:
                    self._log.info(
                        'order not answered',
                        endpoint=state.id,
                        model=model,
                        version=version,
                        reason=repr(error),
                    )
                    await asyncio.sleep(links.jitter(ORDER_RETRY_S))
                if state.id not in self._directory.endpoints:
                    return
        finally:
            state.loading_models.discard(model)
            self._on_change()

    async def _step(self, state, model, version):
        """Ask for the engine's state, and order what it lacks.

        :returns: whether it has the version
        """
        report = await self._read_report(state)
        held = report.versions.get(model, 0)
        state.versions[model] = held
        if held >= version:
            self._log.info(
                'version loaded',
                endpoint=state.id,
                model=model,
                version=held,
            )
            return True
        if report.changing or self._is_unshown(state, report):
            await asyncio.sleep(REPORT_PAUSE_S)
            return False
        if not self._lease.holds():
            raise errors.ProtocolError('the lease is not held')
        state.loading_models.add(model)
        order = dialects.EngineOrder(
            state.id,
            model,
            version,
            self._holder,
            self._lease.fence,
            report.orders_accepted,
            not self._needs_whole(model),
        )
        head, body = self._dialect.build_order_call(order, state.record)
        self.last_order_at = asyncio.get_running_loop().time()
        status, _ = await self._call(state, head, body)
        outcome = self._dialect.read_order_status(status)
        self.on_outcome(outcome)
        self._log.info(
            'order sent',
            endpoint=state.id,
            model=model,
            version=version,
            held=held,
            fence=order.fence,
            expected=order.orders_accepted,
            outcome=outcome.value,
            status=status,
        )
        if outcome is dialects.OrderOutcome.ANOTHER_ENDPOINT:
            return True
        if outcome is dialects.OrderOutcome.ACCEPTED:
            now = asyncio.get_running_loop().time()
            self._accepted[state.id] = (order.orders_accepted, now)
        await asyncio.sleep(REPORT_PAUSE_S)
        return False

    def _is_unshown(self, state, report):
        """Whether a report is older than the order that was accepted."""
        accepted = self._accepted.get(state.id)
        if accepted is None:
            return False
        count, at = accepted
        if report.orders_accepted > count:
            return False
        return asyncio.get_running_loop().time() - at < ORDER_SHOWN_S

    async def _read_report(self, state):
        head = self._dialect.build_report_call(state.record)
        status, body = await self._call(state, head, b'')
        if status != 200:
            raise errors.ProtocolError(f'report: status {status}')
        return self._dialect.decode_report(body)

    async def _call(self, state, head, body):
        async with asyncio.timeout(CALL_TIMEOUT_S):
            reply, answer = await self._pool.exchange(state, head, body)
        return reply.status_code, answer
