"""Updates of engines to the model versions that trainers name.

Only the lease holder sends load orders. A new holder first waits until the
last order of the previous holder is as old as the duration of a lease.
"""

import asyncio
import collections
import math
import statistics

from clementineline.coordination import modelwork
from clementineline.coordination import placement
from clementineline.coordination import ratelimits
from clementineline.coordination import stragglers
from clementineline import errors
from clementineline.protocol import links
from clementineline.state import dialect as dialects

__all__ = ['VersionUpdater']

CHECK_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 0.8
REPORT_INTERVAL_S = 0.2
# The reports of an engine with a limit take the place of items.
LIMITED_REPORT_INTERVAL_S = 0.6
LIMITED_LOAD_MIN_S = 1.1
# Longest wait for the permit that an engine with a limit requires.
PERMIT_WAIT_S = 2.0
# No load takes less, so the engine is not asked before.
LOAD_MIN_S = 0.8
ORDER_RETRY_S = 0.3
# A load takes about a second, and longer if several engines load at once.
LOAD_TIMEOUT_S = 8.0
# An engine's report is a few hundred milliseconds old, so it may not show an
# accepted order yet. The order is sent again only after this time.
ORDER_VISIBLE_S = 1.2
STALENESS_SAMPLES_MAX = 3
WORK_SAMPLES_MAX = 4


class VersionUpdater:
    """Sends load orders to engines that lack a model's target version.

    The target version of a model is the newest that a trainer has named.

    :param holder: name of this VM, as lease holder
    :param directory: the :class:`~directory.Directory`
    :param pool: the :class:`~connections.ConnectionPool`
    :param dialect: the platform's dialect
    :param term: the :class:`~lease.Term` in which the orders are sent
    :param get_routes: function that returns the route table in force
    :param requires_single_version: function from a model to whether each
        result must come from a single version
    :param get_demand: function from a model to the
        :class:`~placement.ModelDemand` of open submissions
    :param on_change: called when an update of an engine ends
    :param quiet_s: time before the first order, in seconds, so that orders of
        the previous holder cannot interfere
    :param log: logger
    """

    __slots__ = (
        '_accepted_orders',
        '_assigned',
        '_assignment',
        '_assignment_basis',
        '_dialect',
        '_directory',
        '_engines',
        '_get_demand',
        '_get_routes',
        '_holder',
        '_item_counts',
        '_latest_reports',
        '_log',
        '_model_work',
        '_on_change',
        '_pool',
        '_quiet_s',
        '_requires_single_version',
        '_staleness_samples',
        '_target_set_at',
        '_tasks',
        '_term',
        '_work_samples',
        'last_order_at',
        'on_outcome',
        'target_versions',
        'wakeup',
    )

    def __init__(
        self,
        holder,
        directory,
        pool,
        dialect,
        term,
        get_routes,
        requires_single_version,
        get_demand,
        on_change,
        quiet_s,
        log,
    ):
        self._accepted_orders = {}
        self._assignment = {}
        # What the assignment of a service was computed from, by service.
        self._assignment_basis = {}
        # Assigned engines by service and model, of the services that have
        # more engines than their models need.
        self._assigned = {}
        # Usable engines by id, and the directory's change count, by service.
        self._engines = {}
        self._item_counts = {}
        # Reports of engines that held the target version, by engine id.
        self._latest_reports = {}
        self._staleness_samples = {}
        self._dialect = dialect
        self._directory = directory
        self._get_demand = get_demand
        self._get_routes = get_routes
        self._holder = holder
        self._term = term
        self._log = log
        self._model_work = modelwork.ModelWork()
        self._requires_single_version = requires_single_version
        self._on_change = on_change
        self._pool = pool
        self._quiet_s = quiet_s
        self._tasks = {}
        self._work_samples = {}
        self._target_set_at = {}
        self.last_order_at = None
        self.target_versions = {}
        # Called with the OrderOutcome of each order.
        self.on_outcome = lambda outcome: None
        self.wakeup = asyncio.Event()

    def apply_named_versions(self, objects, removed, whole):
        """Apply a list or changes of the versions that trainers named."""
        now = asyncio.get_running_loop().time()
        for found in objects:
            target = self._dialect.decode_named_version(found.value)
            if target is None:
                self._log.warning('unreadable version', name=found.name)
                continue
            model, version = target
            if version > self.target_versions.get(model, 0):
                self.target_versions[model] = version
                self._target_set_at[model] = now
                self._log.info('version named', model=model, version=version)
        self.wakeup.set()

    @property
    def order_age_s(self):
        """Time since the last order was sent, in seconds."""
        if self.last_order_at is None:
            return math.inf
        return asyncio.get_running_loop().time() - self.last_order_at

    async def run(self):
        """Send orders until cancelled."""
        await asyncio.sleep(self._quiet_s)
        try:
            while True:
                self.wakeup.clear()
                if self._term.holds():
                    self._update_engines()
                try:
                    async with asyncio.timeout(CHECK_INTERVAL_S):
                        await self.wakeup.wait()
                except TimeoutError:
                    continue
        finally:
            for task in list(self._tasks.values()):
                task.cancel()

    def _update_engines(self):
        table = self._get_routes()
        if table is None:
            return
        for service in table.services.values():
            if service.models:
                self._update_service(service)

    def _update_service(self, service):
        engines = self._index_engines(service)
        assignment = self._assign(service, engines)
        now = asyncio.get_running_loop().time()
        for model in service.models:
            if model not in self.target_versions:
                continue
            idle = []
            for name, assigned in assignment.items():
                if assigned == model and name not in self._tasks:
                    idle.append(engines[name])
            demand = self._get_demand(model)
            demand.staleness_bound = self._get_staleness_bound(model)
            chosen = placement.choose_loads(
                idle,
                (model, self.target_versions[model]),
                demand,
                now - self._target_set_at[model],
                placement.count_concurrent_loads(len(engines))
                - len(self._tasks),
            )
            for state in chosen:
                self._start_update(state, model)

    def _index_engines(self, service):
        """Return a dict from id to engine of a service's usable engines."""
        usable = self._directory.list_usable(service.name)
        changes, engines = self._engines.get(service.name, (None, None))
        if changes != self._directory.changes:
            engines = {state.id: state for state in usable}
            self._engines[service.name] = (self._directory.changes, engines)
        return engines

    def list_assigned(self, service, model):
        """Return the engines that load a model's versions.

        :param service: name of the service
        :returns: list of :class:`~directory.EndpointState`; None if all
            engines of the service are needed, or the models' needs are unknown
        """
        return self._assigned.get((service, model))

    def _count_needed(self, service):
        """Return how many engines each model needs; None if unknown."""
        needed = {}
        for model in service.models:
            counts = self._item_counts.get(model)
            if not counts or not service.slots:
                return None
            needed[model] = placement.count_engines_needed(
                max(counts), service.slots
            )
        return needed

    def _estimate_work(self, service, engines):
        """Estimate each model's work per step.

        Models without submissions so far get the mean of the others. Where
        organisations are in force, their shares bound the work that counts.
        """
        models = service.models
        known = {}
        for model in models:
            if self._work_samples.get(model):
                known[model] = statistics.fmean(self._work_samples[model])
        table = self._get_routes()
        if table is not None and table.organisations is not None:
            event_s = stragglers.find_typical_pace(engines.values())
            capacity = None
            if event_s is not None:
                slots = sum(state.record.slots for state in engines.values())
                capacity = slots * service.event_tokens / event_s
            now = asyncio.get_running_loop().time()
            known = self._model_work.estimate(models, capacity, now)
        mean = statistics.fmean(known.values()) if known else 1.0
        return {model: known.get(model, mean) for model in models}

    def note_submission(self, submission):
        """Record a step's work and the staleness that it accepts."""
        work = 0.0
        for item in submission.items:
            work += item.length_hint or item.tokens
        self._work_samples.setdefault(
            submission.model, collections.deque(maxlen=WORK_SAMPLES_MAX)
        ).append(work)
        self._item_counts.setdefault(
            submission.model, collections.deque(maxlen=WORK_SAMPLES_MAX)
        ).append(len(submission.items))
        table = self._get_routes()
        if table is not None and table.organisations is not None:
            route = table.find(submission.route)
            self._model_work.note(
                submission.model,
                submission.organisation or '',
                work,
                route.due_s if route is not None else 0.0,
                asyncio.get_running_loop().time(),
            )
        target = self.target_versions.get(submission.model)
        if target is None:
            return
        samples = self._staleness_samples.setdefault(
            submission.model, collections.deque(maxlen=STALENESS_SAMPLES_MAX)
        )
        samples.append(max(0, target - submission.version_min))

    def _get_staleness_bound(self, model):
        samples = self._staleness_samples.get(model)
        if not samples:
            return placement.DEFAULT_STALENESS_BOUND
        # A submission may be seen before the version that was named for it,
        # which makes its sample too small; the median ignores such a sample.
        return statistics.median_high(samples)

    def _assign(self, service, engines):
        previous = self._assignment.get(service.name, {})
        needed = self._count_needed(service)
        enough = needed is not None and sum(needed.values()) < len(engines)
        if enough:
            shares = needed
        else:
            shares = placement.share_engines(
                len(engines),
                self._estimate_work(service, engines),
                collections.Counter(previous.values()),
            )
        basis = (self._directory.changes, shares)
        if self._assignment_basis.get(service.name) == basis:
            return previous
        self._assignment_basis[service.name] = basis
        assignment = placement.assign_models(
            shares,
            {name: state.versions for name, state in engines.items()},
            previous,
        )
        if assignment != previous:
            self._log.info(
                'models assigned',
                service=service.name,
                assignment=assignment,
            )
        self._assignment[service.name] = assignment
        self._list_by_model(service, engines, assignment if enough else {})
        return assignment

    def _list_by_model(self, service, engines, assignment):
        for model in service.models:
            self._assigned.pop((service.name, model), None)
        for name, model in assignment.items():
            self._assigned.setdefault((service.name, model), []).append(
                engines[name]
            )

    def _start_update(self, state, model):
        task = asyncio.create_task(self._update_engine(state, model))
        self._tasks[state.id] = task
        task.add_done_callback(
            lambda task, name=state.id: self._on_update_end(name, task)
        )

    def _on_update_end(self, name, task):
        self._tasks.pop(name, None)
        if not task.cancelled() and task.exception() is not None:
            self._log.error('order failed', exc_info=task.exception())
        self.wakeup.set()

    async def _update_engine(self, state, model):
        """Send orders until an engine holds the model's target version."""
        deadline = asyncio.get_running_loop().time() + LOAD_TIMEOUT_S
        self._accepted_orders.pop(state.id, None)
        version = self.target_versions[model]
        try:
            while asyncio.get_running_loop().time() < deadline:
                try:
                    if await self._advance(state, model, version):
                        return
                except (
                    errors.LimitReached,
                    errors.NotReady,
                    errors.ProtocolError,
                    TimeoutError,
                ) as error:
                    self._log.info(
                        'order not answered',
                        endpoint=state.id,
                        model=model,
                        version=version,
                        reason=repr(error),
                    )
                    await asyncio.sleep(links.jitter(ORDER_RETRY_S))
                if state.leaving or state.id not in self._directory.endpoints:
                    return
        finally:
            state.loading_models.discard(model)
            self._on_change()

    async def _advance(self, state, model, version):
        """Read the engine's report and order the version if it is missing.

        :returns: whether the update has ended: the engine holds the version,
            or its address belongs to another endpoint
        """
        report = await self._get_report(state)
        held = report.versions.get(model, 0)
        state.versions[model] = held
        if held >= version:
            self._latest_reports[state.id] = report
            self._log.info(
                'version loaded',
                endpoint=state.id,
                model=model,
                version=held,
            )
            return True
        if report.changing or self._predates_order(state, report):
            await self._wait_for_report(state)
            return False
        state.loading_models.add(model)
        order = dialects.EngineOrder(
            state.id,
            model,
            version,
            self._holder,
            self._term.fence,
            report.orders_accepted,
            not self._requires_single_version(model),
        )
        head, body = self._dialect.build_order_call(order, state.record)
        status, _ = await self._call(
            state, ratelimits.Purpose.ORDER, head, body, order.fence
        )
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
            self._accepted_orders[state.id] = (order.orders_accepted, now)
            await asyncio.sleep(
                LOAD_MIN_S if state.limit is None else LIMITED_LOAD_MIN_S
            )
            return False
        await self._wait_for_report(state)
        return False

    async def _wait_for_report(self, state):
        interval_s = REPORT_INTERVAL_S
        if state.limit is not None:
            interval_s = LIMITED_REPORT_INTERVAL_S
        await asyncio.sleep(interval_s)

    def _predates_order(self, state, report):
        """Return whether a report may predate the last accepted order."""
        accepted = self._accepted_orders.get(state.id)
        if accepted is None:
            return False
        count, accepted_at = accepted
        if report.orders_accepted > count:
            return False
        return (
            asyncio.get_running_loop().time() - accepted_at < ORDER_VISIBLE_S
        )

    async def _get_report(self, state):
        """Return the engine's report.

        An engine with a limit is not asked for its first report of an update
        if the last update ended with one: the order names the number of
        orders that it expects, so the engine refuses it if that has changed.
        """
        latest = self._latest_reports.pop(state.id, None)
        if latest is not None and state.limit is not None:
            return latest
        return await self._read_report(state)

    async def _read_report(self, state):
        head = self._dialect.build_report_call(state.record)
        status, body = await self._call(
            state, ratelimits.Purpose.REPORT, head, b''
        )
        if status != 200:
            raise errors.ProtocolError(f'report: status {status}')
        return self._dialect.decode_report(body)

    async def _call(self, state, purpose, head, body, fence=None):
        """Send a report or an order.

        :param fence: fencing token of an order, None for a report
        :raises errors.NotReady: if the order's token is not valid any more
        """
        client = await self._pool.acquire(
            state, purpose, PERMIT_WAIT_S, repeatable=fence is None
        )
        if fence is not None:
            # The lease may have lapsed during the wait for the connection, or
            # have been acquired again with a higher token.
            if not self._term.holds() or self._term.fence != fence:
                client.close()
                raise errors.NotReady(
                    f'order with token {fence}: the lease is not held with it'
                )
            self.last_order_at = asyncio.get_running_loop().time()
        async with asyncio.timeout(CALL_TIMEOUT_S):
            reply, answer = await self._pool.exchange(
                state, client, head, body
            )
        return reply.status_code, answer
